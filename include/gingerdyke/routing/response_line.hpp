// SPDX-License-Identifier: MIT
// Expected time to first token as a base time plus a time per unit of work, learnt from responses.
#pragma once

#include <gingerdyke/base/units.hpp>

namespace gingerdyke::routing
{
/// \brief Tuning of `response_line`.
struct response_line_tuning
{
	/// Base time and prompt tokens per millisecond assumed while no responses were observed.
	double assumed_base_ms = 15;
	double assumed_tokens_per_ms = 12;

	/// Weight of these assumptions, in responses.
	double assumption_weight = 0.3;

	/// Half-life of an observed response's weight.
	duration half_life = std::chrono::seconds{20};

	/// An observed time counts at most as this multiple of the expected one.
	double max_ratio = 8;
};

/// \brief Learns a line through the times to first token by the least squares of their relative errors:
/// otherwise the longest prompts alone would decide it.
class response_line
{
  public:
	explicit response_line(response_line_tuning tuning = {}) noexcept;

	/// \brief Records a response.
	/// \param work Prompt tokens to process before its first token, as processed by the largest model.
	/// \param took_ms Milliseconds from sending the request to the first token.
	void record(double work, double took_ms, instant now) noexcept;

	/// \brief Milliseconds expected for an amount of work; above 0.
	[[nodiscard]] double expected_ms(double work) const noexcept { return base_ms_ + ms_per_token_ * work; }

  private:
	void fit() noexcept;

	response_line_tuning tuning_;
	double base_ms_;
	double ms_per_token_;

	/// Exponentially decayed sums over the observed responses, as of the last one; each response counts by
	/// the inverse square of its expected time.
	double sum_weight_ = 0;
	double sum_work_ = 0;
	double sum_work_squared_ = 0;
	double sum_time_ = 0;
	double sum_work_time_ = 0;
	instant updated_at_;
};
} // namespace gingerdyke::routing
