// SPDX-License-Identifier: MIT
// The time of day as all VMs agree on it.
#include <algorithm>
#include <gingerdyke/usage/fleet_clock.hpp>

namespace gingerdyke::usage
{
void fleet_clock::record_registry_time(rollout::registry_time at, instant now)
{
	const auto offset = at - now.time_since_epoch();
	registry_offset_ = std::max(registry_offset_.value_or(offset), offset);
}

void fleet_clock::record_own_time(unix_time at, instant now)
{
	if (registry_offset_)
	{
		own_offset_ = at - now.time_since_epoch() - *registry_offset_;
	}
}

void fleet_clock::record_offset(const std::string& reporter, duration offset, instant now)
{
	reported_[reporter] = {offset, now};
}

std::optional<duration> fleet_clock::median_offset(instant now)
{
	std::erase_if(
		reported_, [&](const auto& entry) { return now - entry.second.at > tuning_.report_lifetime; });
	std::vector<duration> offsets;
	for (const auto& [reporter, reported] : reported_)
	{
		offsets.push_back(reported.offset);
	}
	if (own_offset_)
	{
		offsets.push_back(*own_offset_);
	}
	if (offsets.empty())
	{
		return std::nullopt;
	}
	const auto middle = offsets.begin() + static_cast<std::ptrdiff_t>(offsets.size() / 2);
	std::nth_element(offsets.begin(), middle, offsets.end());
	return *middle;
}

std::optional<unix_time> fleet_clock::time(instant now) const
{
	const auto offset = agreed_offset_ ? agreed_offset_ : own_offset_;
	if (!registry_offset_ || !offset)
	{
		return std::nullopt;
	}
	return now.time_since_epoch() + *registry_offset_ + *offset;
}
} // namespace gingerdyke::usage
