// SPDX-License-Identifier: MIT
// The one clock that times are measured with: it goes on while the machine is suspended.
#pragma once

#include <chrono>
#include <gingerdyke/base/units.hpp>

namespace gingerdyke
{
/// \brief Reads a clock. Tests put their own in place of the system's.
using time_source = std::chrono::nanoseconds (*)() noexcept;

/// \brief Where `boot_clock` reads: `CLOCK_BOOTTIME`, unless a test has put another source there.
[[nodiscard]] time_source& boot_time_source() noexcept;

/// \brief The time since the machine's start, suspensions included. The steady clock leaves these out: a VM
/// that had slept for seconds took keys, configuration and leaving replicas for as young as before.
struct boot_clock
{
	using duration = std::chrono::nanoseconds;
	using rep = duration::rep;
	using period = duration::period;
	using time_point = std::chrono::time_point<boot_clock>;
	static constexpr bool is_steady = true;

	[[nodiscard]] static time_point now() noexcept { return time_point{boot_time_source()()}; }
};

/// \brief The clock's time as the state machines count it.
[[nodiscard]] inline instant steady_now() noexcept
{
	const auto since = boot_clock::now().time_since_epoch();
	return instant{std::chrono::duration_cast<duration>(since)};
}
} // namespace gingerdyke
