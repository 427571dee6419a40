// SPDX-License-Identifier: MIT
// Event-loop timers that take the time during which the machine was suspended into account.
#pragma once

#include <algorithm>
#include <gingerdyke/base/boot_clock.hpp>
#include <utility>

#include <boost/asio/basic_waitable_timer.hpp>

namespace gingerdyke::proxy
{
/// \brief Bounds how long the event loop waits before it reads the clock again. The kernel's wait does not
/// count suspended time, so a timer that expired during a suspension would fire late by the length of the
/// suspension.
struct bounded_wait
{
	/// After a resume, expired timers fire within this time, well within the 3 s that deployments require. It
	/// costs two wake-ups per second on an idle VM.
	static constexpr boot_clock::duration max_wait = std::chrono::milliseconds{500};

	[[nodiscard]] static boot_clock::duration to_wait_duration(const boot_clock::duration& left)
	{
		return std::min(left, max_wait);
	}

	[[nodiscard]] static boot_clock::duration to_wait_duration(const boot_clock::time_point& until)
	{
		return to_wait_duration(until - boot_clock::now());
	}
};

using boot_timer = boost::asio::basic_waitable_timer<boot_clock, bounded_wait>;
} // namespace gingerdyke::proxy
