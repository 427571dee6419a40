// SPDX-License-Identifier: MIT
// The clock for all time measurements. It keeps advancing while the machine is suspended.
#pragma once

#include <chrono>
#include <gingerdyke/base/units.hpp>

namespace gingerdyke
{
/// \brief Function that reads a clock. Tests replace the system's clock.
using time_source = std::chrono::nanoseconds (*)() noexcept;

/// \brief The time source of `boot_clock`: `CLOCK_BOOTTIME`, unless a test has replaced it.
[[nodiscard]] time_source& boot_time_source() noexcept;

/// \brief Time since boot, including time spent suspended. `std::chrono::steady_clock` excludes that time:
/// with it, a VM that was suspended for seconds would treat its keys, configuration and replica list as no
/// older than before.
struct boot_clock
{
	using duration = std::chrono::nanoseconds;
	using rep = duration::rep;
	using period = duration::period;
	using time_point = std::chrono::time_point<boot_clock>;
	static constexpr bool is_steady = true;

	[[nodiscard]] static time_point now() noexcept { return time_point{boot_time_source()()}; }
};

/// \brief Current time of `boot_clock` as an `instant` for the state machines.
[[nodiscard]] inline instant steady_now() noexcept
{
	const auto since_boot = boot_clock::now().time_since_epoch();
	return instant{std::chrono::duration_cast<duration>(since_boot)};
}
} // namespace gingerdyke
