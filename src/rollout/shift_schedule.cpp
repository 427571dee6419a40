// SPDX-License-Identifier: MIT
// How a shift's share grows over its time.
#include <algorithm>
#include <gingerdyke/rollout/shift_schedule.hpp>

namespace gingerdyke::rollout
{
namespace
{
/// Spans below this part of a shift's time are none.
constexpr double least_span = 1e-9;
} // namespace

shift_schedule::shift_schedule(duration length, double exposure_limit, const schedule_tuning& tuning)
	: trial_at_(tuning.trial_at)
{
	const auto whole = static_cast<double>(std::max(length, duration{1}).count());
	const auto least_spare = static_cast<double>(tuning.least_spare.count()) / whole;
	const auto spare = std::min(std::max(tuning.spare, least_spare), (1 - trial_at_) / 2);
	const auto planned = exposure_limit * tuning.planned_exposure;
	// What is left for the end; a short shift, whose spare takes most of the limit, has a shorter one.
	const auto trial_time = 1 - spare - tuning.hold - tuning.growth - trial_at_;
	const auto least_trial = tuning.least_trial_share * std::max(trial_time, 0.0);
	const auto end = tuning.hold + tuning.growth / 2;
	const auto shrink = std::clamp((planned - spare - least_trial) / end, 0.0, 1.0);
	complete_at_ = 1 - spare;
	full_at_ = complete_at_ - tuning.hold * shrink;
	grow_at_ = full_at_ - tuning.growth * shrink;
	peak_at_ = trial_at_ + tuning.peak_after * (grow_at_ - trial_at_);
	const auto left = planned - spare - end * shrink;
	trial_share_ =
		std::clamp(left / (grow_at_ - trial_at_), tuning.least_trial_share, tuning.most_trial_share);
}

bool shift_schedule::is_at_peak(double part) const noexcept
{
	return part >= peak_at_ && part < grow_at_;
}

double shift_schedule::growth_begins_at(double promoted) const noexcept
{
	return std::max(grow_at_, promoted);
}

double shift_schedule::complete_at(double promoted) const noexcept
{
	const auto from = growth_begins_at(promoted);
	return from < complete_at_ ? complete_at_ : from + (complete_at_ - grow_at_);
}

double shift_schedule::share_at(double part, std::optional<double> promoted) const noexcept
{
	if (part < trial_at_)
	{
		return 0;
	}
	if (!promoted || part < growth_begins_at(*promoted))
	{
		return trial_share_;
	}
	const auto from = growth_begins_at(*promoted);
	const auto growing = (full_at_ - grow_at_) / std::max(complete_at_ - grow_at_, least_span);
	const auto full_at = from + growing * (complete_at(*promoted) - from);
	if (part >= full_at)
	{
		return 1;
	}
	const auto grown = (part - from) / (full_at - from);
	return trial_share_ + grown * (1 - trial_share_);
}
} // namespace gingerdyke::rollout
