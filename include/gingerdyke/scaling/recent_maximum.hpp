// SPDX-License-Identifier: MIT
// The highest of the values recorded within a period.
#pragma once

#include <algorithm>
#include <deque>
#include <gingerdyke/base/units.hpp>

namespace gingerdyke::scaling
{
/// \brief Keeps the maximum of recent values.
class recent_maximum
{
  public:
	/// \brief Records a value and returns the highest one of the period.
	unsigned record(unsigned value, instant now, duration period)
	{
		// A value is of no interest once a later one is at least as high.
		while (!values_.empty() && values_.back().value <= value)
		{
			values_.pop_back();
		}
		values_.push_back({now, value});
		while (now - values_.front().at > period)
		{
			values_.pop_front();
		}
		return values_.front().value;
	}

  private:
	struct timed_value
	{
		instant at;
		unsigned value{};
	};

	/// Falling values, the oldest first.
	std::deque<timed_value> values_;
};
} // namespace gingerdyke::scaling
