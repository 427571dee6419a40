// SPDX-License-Identifier: MIT
// Expected time to first token as a base time plus a time per unit of work.
#include <algorithm>
#include <cmath>
#include <gingerdyke/routing/response_line.hpp>

namespace gingerdyke::routing
{
namespace
{
/// Bounds of what is learnt: an expectation of 0 would make every response infinitely late.
constexpr double min_base_ms = 0.5;
constexpr double min_ms_per_token = 1e-4;

/// Callers state the size of their prompts: one absurd number must not decide the line.
constexpr double max_work = 1e6;
} // namespace

response_line::response_line(response_line_tuning tuning) noexcept
	: tuning_(tuning), base_ms_(tuning.assumed_base_ms), ms_per_token_(1 / tuning.assumed_tokens_per_ms)
{
}

void response_line::record(double work, double took_ms, instant now) noexcept
{
	const auto remaining =
		std::exp2(-to_milliseconds(now - updated_at_) / to_milliseconds(tuning_.half_life));
	updated_at_ = now;
	work = std::clamp(work, 0.0, max_work);
	const auto expected = expected_ms(work);
	const auto time = std::clamp(took_ms, expected / tuning_.max_ratio, expected * tuning_.max_ratio);
	const auto weight = 1 / (expected * expected);
	sum_weight_ = sum_weight_ * remaining + weight;
	sum_work_ = sum_work_ * remaining + weight * work;
	sum_work_squared_ = sum_work_squared_ * remaining + weight * work * work;
	sum_time_ = sum_time_ * remaining + weight * time;
	sum_work_time_ = sum_work_time_ * remaining + weight * work * time;
	fit();
}

/// The assumptions count as responses whose base time and time per token were measured apart, with the
/// relative errors that all responses have.
void response_line::fit() noexcept
{
	const auto assumed_ms_per_token = 1 / tuning_.assumed_tokens_per_ms;
	const auto base_weight = tuning_.assumption_weight / (base_ms_ * base_ms_);
	const auto slope_weight = tuning_.assumption_weight / (ms_per_token_ * ms_per_token_);
	const auto base_sum = sum_weight_ + base_weight;
	const auto slope_sum = sum_work_squared_ + slope_weight;
	const auto base_side = sum_time_ + base_weight * tuning_.assumed_base_ms;
	const auto slope_side = sum_work_time_ + slope_weight * assumed_ms_per_token;
	// Above 0, as the assumptions add to both sums of squares.
	const auto determinant = base_sum * slope_sum - sum_work_ * sum_work_;
	base_ms_ = std::max(min_base_ms, (base_side * slope_sum - slope_side * sum_work_) / determinant);
	ms_per_token_ = std::max(min_ms_per_token, (slope_side * base_sum - base_side * sum_work_) / determinant);
}
} // namespace gingerdyke::routing
