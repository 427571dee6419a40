// SPDX-License-Identifier: MIT
// Puts the machine to sleep for a test: the clock goes on, everything else stood still.
#pragma once

#include <gingerdyke/base/boot_clock.hpp>

namespace gingerdyke::test
{
/// \brief While it lives, the clock can be moved on as by a suspension of the machine.
class suspended_clock
{
  public:
	suspended_clock() : before_(boot_time_source())
	{
		slept() = {};
		system_source() = before_;
		boot_time_source() = []() noexcept { return system_source()() + slept(); };
	}

	~suspended_clock() { boot_time_source() = before_; }

	suspended_clock(const suspended_clock&) = delete;
	suspended_clock& operator=(const suspended_clock&) = delete;
	suspended_clock(suspended_clock&&) = delete;
	suspended_clock& operator=(suspended_clock&&) = delete;

	/// \brief The machine was suspended until now, for this long.
	static void sleep(std::chrono::nanoseconds span) { slept() += span; }

  private:
	static std::chrono::nanoseconds& slept() noexcept
	{
		static std::chrono::nanoseconds all{};
		return all;
	}

	static time_source& system_source() noexcept
	{
		static time_source source = nullptr;
		return source;
	}

	time_source before_;
};
} // namespace gingerdyke::test
