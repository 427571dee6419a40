// SPDX-License-Identifier: MIT
// Timers of the event loop that notice that the machine was suspended.
#pragma once

#include <algorithm>
#include <gingerdyke/base/boot_clock.hpp>
#include <utility>

#include <boost/asio/basic_waitable_timer.hpp>

namespace gingerdyke::proxy
{
/// \brief How long the event loop waits for a timer before it looks at the clock again. The system's own wait
/// leaves suspensions out: a limit that fell into one would be noticed by its length too late.
struct bounded_wait
{
	/// A VM that wakes up has noticed everything that is overdue after this time, well within the users' 3 s.
	/// On a VM without requests it costs two wake-ups a second.
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
