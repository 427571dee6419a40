// SPDX-License-Identifier: MIT
// Detects that a VM is too slow to hold a duty, by how late its timers fire.
#pragma once

#include <gingerdyke/base/units.hpp>

namespace gingerdyke::duty
{
/// \brief Tuning of `lateness_monitor`.
struct lateness_tuning
{
	/// Lateness of a timer that counts as slow: a renewal delayed by it may come too late.
	duration limit = std::chrono::milliseconds{250};

	/// Late timers in a row that make a VM slow. One alone may follow a short pause of the process.
	unsigned late_timers = 2;

	/// Time for which a VM counts as slow.
	duration slow_time = std::chrono::seconds{10};
};

/// \brief Counts late timers.
class lateness_monitor
{
  public:
	explicit lateness_monitor(lateness_tuning tuning = {}) : tuning_(tuning) {}

	/// \brief Records that a timer fired.
	/// \param late By how much it was late.
	void record(duration late, instant now)
	{
		late_in_a_row_ = late > tuning_.limit ? late_in_a_row_ + 1 : 0;
		if (late_in_a_row_ >= tuning_.late_timers)
		{
			slow_until_ = now + tuning_.slow_time;
		}
	}

	/// \brief Whether the VM counts as slow.
	[[nodiscard]] bool is_slow(instant now) const noexcept { return now < slow_until_; }

  private:
	lateness_tuning tuning_;
	unsigned late_in_a_row_ = 0;
	instant slow_until_;
};
} // namespace gingerdyke::duty
