// SPDX-License-Identifier: MIT
// How long an engine takes to its first token, learnt from the answers seen.
#pragma once

#include <gingerdyke/base/units.hpp>

namespace gingerdyke::routing
{
/// \brief Tuning of `first_token_time`.
struct first_token_tuning
{
	/// Tokens that an engine reads in a millisecond with its largest model, assumed before answers tell: the
	/// users' engines read 12 to 19.
	double first_speed = 12;

	/// What that assumption counts, in time of answers: that of one long prompt.
	duration first_time = std::chrono::milliseconds{1000};

	/// What is left of older answers' weight with each new one: about the last 50 count.
	double memory = 0.98;
};

/// \brief Predicts the time to the first token from the work ahead of it, both measured as the router sees
/// them. What the router does not see (work of other VMs that was told late, generated tokens) is in the
/// ratio.
class first_token_time
{
  public:
	explicit first_token_time(first_token_tuning tuning = {})
		: tuning_(tuning), work_(tuning.first_speed * to_milliseconds(tuning.first_time)),
		  time_ms_(to_milliseconds(tuning.first_time))
	{
	}

	/// \brief Notes an answer.
	/// \param work Tokens that were to be read before its first token, its own prompt's included.
	/// \param took From sending to the first token.
	void note(double work, duration took)
	{
		work_ = work_ * tuning_.memory + work;
		time_ms_ = time_ms_ * tuning_.memory + to_milliseconds(took);
	}

	/// \brief Time to the first token with so much work before it.
	[[nodiscard]] duration expected(double work) const
	{
		constexpr double microseconds_per_millisecond = 1000;
		const auto time_ms = work * time_ms_ / work_;
		return duration{static_cast<duration::rep>(time_ms * microseconds_per_millisecond)};
	}

  private:
	first_token_tuning tuning_;

	/// Sums over the answers seen, older ones counting less.
	double work_;
	double time_ms_;
};
} // namespace gingerdyke::routing
