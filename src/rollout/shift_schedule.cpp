// SPDX-License-Identifier: MIT
// Traffic share of the new version over the course of a shift.
#include <algorithm>
#include <gingerdyke/rollout/shift_schedule.hpp>

namespace gingerdyke::rollout
{
namespace
{
/// Shorter spans, as fractions of a shift's length, are treated as this one to avoid division by zero.
constexpr double min_span = 1e-9;
} // namespace

shift_schedule::shift_schedule(duration length, double exposure_limit, const schedule_tuning& tuning)
	: trial_starts_at_(tuning.trial_starts_at)
{
	const auto length_count = static_cast<double>(std::max(length, duration{1}).count());
	const auto min_completion_margin =
		static_cast<double>(tuning.min_completion_margin.count()) / length_count;
	const auto completion_margin =
		std::min(std::max(tuning.completion_margin, min_completion_margin), (1 - trial_starts_at_) / 2);
	const auto exposure_budget = exposure_limit * tuning.planned_exposure_ratio;
	// Shortens the ramp-up and the hold of short shifts, whose completion margin uses most of the exposure
	// limit.
	const auto trial_time = 1 - completion_margin - tuning.hold - tuning.ramp_up - trial_starts_at_;
	const auto min_trial_exposure = tuning.min_trial_share * std::max(trial_time, 0.0);
	const auto full_ramp_exposure = tuning.hold + tuning.ramp_up / 2;
	const auto shortening =
		std::clamp((exposure_budget - completion_margin - min_trial_exposure) / full_ramp_exposure, 0.0, 1.0);
	completes_at_ = 1 - completion_margin;
	full_share_at_ = completes_at_ - tuning.hold * shortening;
	ramp_up_at_ = full_share_at_ - tuning.ramp_up * shortening;
	peak_load_at_ = trial_starts_at_ + tuning.peak_load_after * (ramp_up_at_ - trial_starts_at_);
	const auto trial_exposure = exposure_budget - completion_margin - full_ramp_exposure * shortening;
	trial_share_ = std::clamp(
		trial_exposure / (ramp_up_at_ - trial_starts_at_), tuning.min_trial_share, tuning.max_trial_share);
}

bool shift_schedule::is_peak_load_phase(double elapsed) const noexcept
{
	return elapsed >= peak_load_at_ && elapsed < ramp_up_at_;
}

double shift_schedule::ramp_up_starts_at(double promoted_at) const noexcept
{
	return std::max(ramp_up_at_, promoted_at);
}

double shift_schedule::completes_at(double promoted_at) const noexcept
{
	const auto ramp_up_start = ramp_up_starts_at(promoted_at);
	return ramp_up_start < completes_at_ ? completes_at_ : ramp_up_start + (completes_at_ - ramp_up_at_);
}

double shift_schedule::share_at(double elapsed, std::optional<double> promoted_at) const noexcept
{
	if (elapsed < trial_starts_at_)
	{
		return 0;
	}
	if (!promoted_at || elapsed < ramp_up_starts_at(*promoted_at))
	{
		return trial_share_;
	}
	const auto ramp_up_start = ramp_up_starts_at(*promoted_at);
	const auto ramp_up_fraction =
		(full_share_at_ - ramp_up_at_) / std::max(completes_at_ - ramp_up_at_, min_span);
	const auto full_at = ramp_up_start + ramp_up_fraction * (completes_at(*promoted_at) - ramp_up_start);
	if (elapsed >= full_at)
	{
		return 1;
	}
	const auto progress = (elapsed - ramp_up_start) / (full_at - ramp_up_start);
	return trial_share_ + progress * (1 - trial_share_);
}
} // namespace gingerdyke::rollout
