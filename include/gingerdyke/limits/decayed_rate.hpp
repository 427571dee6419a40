// SPDX-License-Identifier: MIT
// Rate of events over the recent past.
#pragma once

#include <cmath>
#include <gingerdyke/base/units.hpp>

namespace gingerdyke::limits
{
/// \brief Rate of events in which each counts less the longer ago it was.
class decayed_rate
{
  public:
	/// \param time_constant Time after which an event's weight has fallen to 1/e.
	explicit decayed_rate(duration time_constant) noexcept : time_constant_(time_constant) {}

	/// \brief Records an event.
	/// \param amount What the event counts, in the unit of the rate.
	void add(double amount, instant now)
	{
		sum_ = sum_at(now) + amount;
		updated_at_ = now;
	}

	/// \brief Returns the rate per second.
	[[nodiscard]] double per_s(instant now) const
	{
		return sum_at(now) / std::chrono::duration<double>(time_constant_).count();
	}

  private:
	[[nodiscard]] double sum_at(instant now) const
	{
		if (sum_ == 0)
		{
			return 0;
		}
		return sum_ * std::exp(-to_milliseconds(now - updated_at_) / to_milliseconds(time_constant_));
	}

	duration time_constant_;
	double sum_ = 0;
	instant updated_at_;
};
} // namespace gingerdyke::limits
