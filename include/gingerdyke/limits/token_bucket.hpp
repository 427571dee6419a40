// SPDX-License-Identifier: MIT
// Token bucket rate limiter.
#pragma once

#include <algorithm>
#include <gingerdyke/base/units.hpp>

namespace gingerdyke::limits
{
/// \brief Allows a rate on average, and a burst at once.
class token_bucket
{
  public:
	/// \param rate Tokens per second.
	/// \param burst Capacity: the most tokens that may be taken at once.
	token_bucket(double rate, double burst, instant now)
		: rate_(rate), burst_(burst), tokens_(burst), refilled_at_(now)
	{
	}

	/// \brief Changes rate and burst; accumulated tokens are kept up to the new burst.
	void set_rate(double rate, double burst, instant now)
	{
		refill(now);
		rate_ = rate;
		burst_ = burst;
		tokens_ = std::min(tokens_, burst_);
	}

	/// \brief Takes a number of tokens if there are enough.
	[[nodiscard]] bool take(double amount, instant now)
	{
		refill(now);
		if (tokens_ < amount)
		{
			return false;
		}
		tokens_ -= amount;
		return true;
	}

	/// \brief Time until a number of tokens is available; the longest duration if it never will be.
	[[nodiscard]] duration wait_for(double amount, instant now)
	{
		refill(now);
		if (tokens_ >= amount)
		{
			return duration{0};
		}
		if (rate_ <= 0)
		{
			return duration::max();
		}
		constexpr double us_per_second = 1e6;
		return duration{static_cast<duration::rep>((amount - tokens_) / rate_ * us_per_second) + 1};
	}

	[[nodiscard]] double rate() const noexcept { return rate_; }

  private:
	void refill(instant now)
	{
		if (now <= refilled_at_)
		{
			return;
		}
		constexpr double seconds_per_us = 1e-6;
		tokens_ = std::min(
			burst_, tokens_ + rate_ * static_cast<double>((now - refilled_at_).count()) * seconds_per_us);
		refilled_at_ = now;
	}

	double rate_;
	double burst_;
	double tokens_;
	instant refilled_at_;
};
} // namespace gingerdyke::limits
