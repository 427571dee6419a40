// SPDX-License-Identifier: MIT
// Estimates an engine's time to first token from the responses observed.
#pragma once

#include <cmath>
#include <gingerdyke/base/units.hpp>

namespace gingerdyke::routing
{
/// \brief Tuning of `first_token_estimator`.
struct first_token_tuning
{
	/// Prompt tokens that an engine processes per millisecond with its largest model, assumed while no
	/// responses were observed. At the slow end of the usual range, so that a VM that has just started
	/// sends engines little.
	double assumed_tokens_per_ms = 12;

	/// Weight of that assumption relative to observed responses, as response time: that of one long prompt.
	duration assumption_weight = std::chrono::milliseconds{1000};

	/// Half-life of an observed response's weight; a VM sees 10 to 20 responses of the largest model in
	/// that time.
	/// The decay is by time rather than by the number of responses, because an estimate so high that
	/// nothing is sent any more would otherwise never recover.
	duration half_life = std::chrono::seconds{10};
};

/// \brief Predicts the time to first token from the queued work, using the ratio of the two in the
/// responses that this VM observed. The effect of what this VM does not see (work of other VMs that is
/// reported late, generated tokens) is part of that ratio.
class first_token_estimator
{
  public:
	explicit first_token_estimator(first_token_tuning tuning = {}) : tuning_(tuning) {}

	/// \brief Records a response.
	/// \param work Prompt tokens to process before its first token, those of its own prompt included.
	/// \param took Time from sending the request to the first token.
	void record(double work, duration took, instant now)
	{
		const auto remaining = remaining_weight(now);
		work_ = work_ * remaining + work;
		time_ms_ = time_ms_ * remaining + to_milliseconds(took);
		updated_at_ = now;
	}

	/// \brief Returns the expected time to first token for an amount of queued work, in prompt tokens.
	[[nodiscard]] duration expected(double work, instant now) const
	{
		const auto remaining = remaining_weight(now);
		const auto assumed_ms = to_milliseconds(tuning_.assumption_weight);
		const auto total_work = work_ * remaining + tuning_.assumed_tokens_per_ms * assumed_ms;
		const auto total_time = time_ms_ * remaining + assumed_ms;
		return scaled(std::chrono::milliseconds{1}, work * total_time / total_work);
	}

  private:
	/// Share of the sums' weight that remains at a moment.
	[[nodiscard]] double remaining_weight(instant now) const
	{
		return std::exp2(-to_milliseconds(now - updated_at_) / to_milliseconds(tuning_.half_life));
	}

	first_token_tuning tuning_;

	/// Exponentially decayed sums over the observed responses, as of the last one.
	double work_ = 0;
	double time_ms_ = 0;
	instant updated_at_;
};
} // namespace gingerdyke::routing
