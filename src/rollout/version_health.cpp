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
	state.recent += counts;
	const auto failing = is_failing(state);
	if (std::exchange(state.is_failing, failing) != failing)
	{
		change_callback_({service, version, failing, state.recent});
	}
	if (state.recent.responses >= 2 * tuning_.min_responses)
	{
		state.recent = {state.recent.responses / 2, state.recent.failed / 2};
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

/// What is known of a version stays until it has enough responses.
bool version_health::is_failing(const version_state& state) const
{
	if (state.recent.responses < tuning_.min_responses)
	{
		return state.is_failing;
	}
	const auto limit = state.is_failing ? tuning_.failing_ratio / 2 : tuning_.failing_ratio;
	return state.recent.bad_ratio() >= limit;
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
