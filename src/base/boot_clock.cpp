// SPDX-License-Identifier: MIT
// Clock that keeps advancing while the machine is suspended.
#include <ctime>
#include <gingerdyke/base/boot_clock.hpp>

namespace gingerdyke
{
namespace
{
std::chrono::nanoseconds system_boot_time() noexcept
{
	std::timespec read{};
	// Can't fail: Linux has supported CLOCK_BOOTTIME since 2.6.39.
	static_cast<void>(::clock_gettime(CLOCK_BOOTTIME, &read));
	return std::chrono::seconds{read.tv_sec} + std::chrono::nanoseconds{read.tv_nsec};
}
} // namespace

time_source& boot_time_source() noexcept
{
	static time_source source = system_boot_time;
	return source;
}
} // namespace gingerdyke
