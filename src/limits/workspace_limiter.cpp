// SPDX-License-Identifier: MIT
// This VM's share of each workspace's request limit.
#include <gingerdyke/limits/workspace_limiter.hpp>
#include <set>

namespace gingerdyke::limits
{
namespace
{
/// Burst that is available after a pause, as the number of seconds in which it accumulates at this VM's
/// rate.
constexpr double burst_seconds = 2.0;
constexpr double min_burst = 1.0;
} // namespace

double workspace_limiter::local_rate(const table::table& table, const table::workspace_row& workspace) const
{
	std::set<failure_domain_id> domains;
	for (const auto& [id, replica] : table.replicas())
	{
		domains.insert(replica.failure_domain);
	}
	domains.insert(live_.self().failure_domain);
	const auto vms = live_.entries_of(live_.self().failure_domain).size();
	return workspace.requests_per_second / static_cast<double>(domains.size()) / static_cast<double>(vms);
}

std::optional<duration> workspace_limiter::admit(
	const table::table& table, const table::workspace_row& workspace, instant now)
{
	if (workspace.requests_per_second <= 0)
	{
		return std::nullopt;
	}
	const auto rate = local_rate(table, workspace);
	const auto burst = std::max(min_burst, rate * burst_seconds);
	auto& bucket = buckets_.try_emplace(workspace.id, rate, burst, now).first->second;
	if (bucket.rate() != rate)
	{
		bucket.set_rate(rate, burst, now);
	}
	if (bucket.take(1.0, now))
	{
		return std::nullopt;
	}
	return bucket.wait_for(1.0, now);
}
} // namespace gingerdyke::limits
