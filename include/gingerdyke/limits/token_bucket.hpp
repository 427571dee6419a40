// SPDX-License-Identifier: MIT
// Token bucket: a rate with a burst.
#pragma once

#include <algorithm>
#include <gingerdyke/base/units.hpp>

namespace gingerdyke::limits
{
/// \brief Lets through a rate on average, and a burst at once.
class token_bucket
{
  public:
	/// \param rate Units a second.
	/// \param burst Most units that may pass at once.
	token_bucket(double rate, double burst, instant now) : rate_(rate), burst_(burst), level_(burst), at_(now)
	{
	}

	/// \brief Changes rate and burst; what was saved up stays, within the new burst.
	void set_rate(double rate, double burst, instant now)
	{
		refill(now);
		rate_ = rate;
		burst_ = burst;
		level_ = std::min(level_, burst_);
	}

	/// \brief Takes an amount if there is enough.
	[[nodiscard]] bool take(double amount, instant now)
	{
		refill(now);
		if (level_ < amount)
		{
			return false;
		}
		level_ -= amount;
		return true;
	}

	/// \brief How long until an amount will be there; the longest duration where it never will.
	[[nodiscard]] duration wait_for(double amount, instant now)
	{
		refill(now);
		if (level_ >= amount)
		{
			return duration{0};
		}
		if (rate_ <= 0)
		{
			return duration::max();
		}
		constexpr double microseconds = 1e6;
		return duration{static_cast<duration::rep>((amount - level_) / rate_ * microseconds) + 1};
	}

	[[nodiscard]] double rate() const noexcept { return rate_; }

  private:
	void refill(instant now)
	{
		if (now <= at_)
		{
			return;
		}
		constexpr double seconds = 1e-6;
		level_ = std::min(burst_, level_ + rate_ * static_cast<double>((now - at_).count()) * seconds);
		at_ = now;
	}

	double rate_;
	double burst_;
	double level_;
	instant at_;
};
} // namespace gingerdyke::limits
