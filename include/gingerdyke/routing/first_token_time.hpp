// SPDX-License-Identifier: MIT
// How long an engine takes to its first token, learnt from the answers seen.
#pragma once

#include <cmath>
#include <gingerdyke/base/units.hpp>

namespace gingerdyke::routing
{
/// \brief Tuning of `first_token_time`.
struct first_token_tuning
{
	/// Tokens that an engine reads in a millisecond with its largest model, assumed where answers tell
	/// nothing: the slower end of what engines do, so that a VM that has just started asks little of them.
	double assumed_speed = 12;

	/// What that assumption counts beside answers, in their time: that of one long prompt.
	duration assumed_time = std::chrono::milliseconds{1000};

	/// Half of an answer's weight is gone after this time, 10 to 20 answers of the largest model at one VM.
	/// By time, and not by answers: an estimate so high that nothing is sent any more would otherwise last.
	duration half_life = std::chrono::seconds{10};
};

/// \brief Predicts the time to the first token from the work ahead of it, both measured as the router sees
/// them. What the router does not see (work of other VMs that was told late, generated tokens) is in the
/// ratio.
class first_token_time
{
  public:
	explicit first_token_time(first_token_tuning tuning = {}) : tuning_(tuning) {}

	/// \brief Notes an answer.
	/// \param work Tokens that were to be read before its first token, its own prompt's included.
	/// \param took From sending to the first token.
	void note(double work, duration took, instant now)
	{
		const auto left = weight_left(now);
		work_ = work_ * left + work;
		time_ms_ = time_ms_ * left + to_milliseconds(took);
		noted_at_ = now;
	}

	/// \brief Time to the first token with so much work before it.
	[[nodiscard]] duration expected(double work, instant now) const
	{
		const auto left = weight_left(now);
		const auto assumed_ms = to_milliseconds(tuning_.assumed_time);
		const auto sum_of_work = work_ * left + tuning_.assumed_speed * assumed_ms;
		const auto sum_of_time = time_ms_ * left + assumed_ms;
		return scaled(std::chrono::milliseconds{1}, work * sum_of_time / sum_of_work);
	}

  private:
	/// Share of the sums' weight that is left at a moment.
	[[nodiscard]] double weight_left(instant now) const
	{
		return std::exp2(-to_milliseconds(now - noted_at_) / to_milliseconds(tuning_.half_life));
	}

	first_token_tuning tuning_;

	/// Sums over the answers seen, older ones counting less, as of the last one.
	double work_ = 0;
	double time_ms_ = 0;
	instant noted_at_;
};
} // namespace gingerdyke::routing
