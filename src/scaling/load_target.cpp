// SPDX-License-Identifier: MIT
// How many replicas a service needs for its load.
#include <algorithm>
#include <cmath>
#include <gingerdyke/scaling/load_target.hpp>

namespace gingerdyke::scaling
{
duration load_target::target_wait(duration objective) const
{
	return scaled(objective, tuning_.utilization / std::log(tuning_.utilization / tuning_.late_share));
}

void load_target::record(const service_load& load, instant now)
{
	if (load.replicas == 0 || load.objective <= duration{0})
	{
		return;
	}
	// Without any work the need is unknown: there may be no traffic yet.
	if (load.mean_wait <= duration{0})
	{
		return;
	}
	known_since_ = known_since_.value_or(now);
	const auto ratio = to_milliseconds(load.mean_wait) / to_milliseconds(target_wait(load.objective));
	auto needed = load.replicas * ratio;
	if (!samples_.empty())
	{
		const auto& last = samples_.back();
		const auto kept = std::exp(-to_milliseconds(now - last.at) / to_milliseconds(tuning_.smoothing));
		needed = kept * last.needed + (1 - kept) * needed;
	}
	samples_.push_back({now, needed});
	while (now - samples_.front().at > tuning_.memory)
	{
		samples_.pop_front();
	}
}

std::optional<double> load_target::needed_now() const
{
	return samples_.empty() ? std::nullopt : std::optional{samples_.back().needed};
}

std::optional<double> load_target::needed(instant now) const
{
	if (!known_since_ || now - *known_since_ < tuning_.memory || samples_.empty())
	{
		return std::nullopt;
	}
	const auto highest = std::max_element(samples_.begin(), samples_.end(),
		[](const sample& a, const sample& b) { return a.needed < b.needed; });
	return highest->needed;
}
} // namespace gingerdyke::scaling
