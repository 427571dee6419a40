// SPDX-License-Identifier: MIT
// Watches the responses of each version in use.
#include <algorithm>
#include <gingerdyke/rollout/version_health.hpp>
#include <utility>

namespace gingerdyke::rollout
{
version_health::version_health(change_callback on_change, health_tuning tuning)
	: change_callback_(std::move(on_change)), tuning_(tuning)
{
}

void version_health::record_response(
	const service_id& service, const std::string& version, bool failed, instant now)
{
	add(service, version, {1, failed ? 1U : 0U}, now);
}

void version_health::record_broken_response(
	const service_id& service, const std::string& version, instant now)
{
	add(service, version, {0, 1}, now);
}

void version_health::add(
	const service_id& service, const std::string& version, const response_counts& counts, instant now)
{
	auto& of_service = services_[service];
	auto& state = of_service[version];
	state.last_seen = now;
	state.total += counts;
	if (state.recent.empty() || now - state.recent.back().started_at >= tuning_.interval)
	{
		state.recent.push_back({now, {}});
	}
	state.recent.back().responses += counts;
	const auto recent = recent_of(state, now);
	const auto limit = tuning_.failing_ratio * (state.is_failing ? 0.5 : 1);
	const bool is_known = recent.responses >= tuning_.min_responses;
	const bool is_failing = is_known ? recent.bad_ratio() >= limit : state.is_failing;
	if (std::exchange(state.is_failing, is_failing) != is_failing)
	{
		change_callback_({service, version, is_failing, recent});
	}
	if (of_service.size() > tuning_.max_versions)
	{
		drop_oldest_version(of_service);
	}
}

void version_health::drop_oldest_version(versions& of) const
{
	const auto oldest = std::min_element(of.begin(), of.end(),
		[](const auto& a, const auto& b) { return a.second.last_seen < b.second.last_seen; });
	of.erase(oldest);
}

response_counts version_health::recent_of(version_state& state, instant now) const
{
	const auto period = tuning_.interval * static_cast<duration::rep>(tuning_.intervals);
	while (now - state.recent.front().started_at >= period)
	{
		state.recent.pop_front();
	}
	response_counts sum;
	for (const auto& part : state.recent)
	{
		sum += part.responses;
	}
	return sum;
}

std::vector<version_totals> version_health::totals() const
{
	std::vector<version_totals> all;
	for (const auto& [service, of_service] : services_)
	{
		for (const auto& [version, state] : of_service)
		{
			all.push_back({service, version, state.total});
		}
	}
	return all;
}
} // namespace gingerdyke::rollout
