// SPDX-License-Identifier: MIT
// Distributes replicas over failure domains and kinds of capacity.
#include <algorithm>
#include <cmath>
#include <gingerdyke/scaling/capacity_plan.hpp>
#include <iterator>

namespace gingerdyke::scaling
{
namespace
{
double price_in(const scaling_limits& limits, const failure_domain_id& domain)
{
	const auto found = limits.domain_prices.find(domain);
	return found == limits.domain_prices.end() ? 1 : found->second;
}

/// Whether spot replicas that bear the loss of one failure domain are cheaper than as many on demand as are
/// needed.
bool is_spot_cheaper(const scaling_limits& limits, const std::vector<domain_capacity>& spot_domains)
{
	if (spot_domains.size() < 2)
	{
		return false;
	}
	double sum = 0;
	double cheapest = price_in(limits, spot_domains.front().domain);
	for (const auto& [domain, price] : limits.domain_prices)
	{
		cheapest = std::min(cheapest, price);
	}
	for (const auto& state : spot_domains)
	{
		sum += price_in(limits, state.domain);
	}
	// One replica needed takes 1 / (n - 1) spot replicas in each of n failure domains.
	return sum * limits.spot_price / static_cast<double>(spot_domains.size() - 1) < cheapest;
}

std::vector<domain_capacity> domains_with_spot(const std::vector<domain_capacity>& domains)
{
	std::vector<domain_capacity> usable;
	std::copy_if(domains.begin(), domains.end(), std::back_inserter(usable),
		[](const domain_capacity& state)
		{ return (state.has_spot || state.spot > 0) && !state.is_evacuated; });
	return usable;
}

/// Spot replicas that a failure domain shall have; those it has are kept until on-demand ones replace them.
unsigned spot_target(
	double needed, const scaling_limits& limits, const domain_capacity& state, std::size_t spot_domains)
{
	const auto share = static_cast<unsigned>(std::ceil(needed / static_cast<double>(spot_domains - 1)));
	const auto room = limits.max_replicas - std::min(limits.max_replicas, state.on_demand);
	return std::min(share, std::max(room, state.spot));
}

/// Adds on-demand replicas until `missing` are found, in the cheapest failure domains first.
void add_on_demand(unsigned missing, const scaling_limits& limits,
	const std::vector<domain_capacity>& domains, std::vector<domain_target>& targets)
{
	std::vector<std::size_t> order(targets.size());
	for (std::size_t index = 0; index < order.size(); ++index)
	{
		order[index] = index;
	}
	std::stable_sort(order.begin(), order.end(),
		[&](std::size_t a, std::size_t b)
		{ return price_in(limits, targets[a].domain) < price_in(limits, targets[b].domain); });
	// Replicas that run already are kept before others are ordered.
	for (const bool keeps_running : {true, false})
	{
		for (const auto index : order)
		{
			auto& target = targets[index];
			const auto most = limits.max_replicas - std::min(limits.max_replicas, target.spot);
			const auto wanted = keeps_running ? std::min(most, domains[index].on_demand) : most;
			const auto added = std::min(missing, wanted - std::min(wanted, target.on_demand));
			if (!domains[index].is_evacuated)
			{
				target.on_demand += added;
				missing -= added;
			}
		}
	}
}

/// Replicas on demand that are needed beside the spot replicas that take requests by now. The spare ones that
/// bear the loss of a failure domain are for that case; while they make up for a loss, the next one is not
/// provided for.
unsigned missing_on_demand(double needed, const std::vector<domain_capacity>& domains)
{
	unsigned spot = 0;
	for (const auto& state : domains)
	{
		spot += state.is_evacuated ? 0 : state.spot;
	}
	const auto wanted = static_cast<unsigned>(std::ceil(needed));
	return wanted - std::min(wanted, spot);
}

void keep_minimum(const scaling_limits& limits, std::vector<domain_target>& targets)
{
	for (auto& target : targets)
	{
		const auto total = target.on_demand + target.spot;
		target.on_demand += limits.min_replicas - std::min(limits.min_replicas, total);
	}
}
} // namespace

std::vector<domain_target> plan_capacity(
	double needed, const scaling_limits& limits, const std::vector<domain_capacity>& domains)
{
	const auto spot_domains = domains_with_spot(domains);
	const bool uses_spot = is_spot_cheaper(limits, spot_domains);
	std::vector<domain_target> targets;
	for (const auto& state : domains)
	{
		domain_target target{state.domain, 0, 0};
		if (uses_spot && !state.is_evacuated)
		{
			target.spot =
				state.has_spot ? spot_target(needed, limits, state, spot_domains.size()) : state.spot;
		}
		targets.push_back(target);
	}
	add_on_demand(missing_on_demand(needed, domains), limits, domains, targets);
	keep_minimum(limits, targets);
	return targets;
}
} // namespace gingerdyke::scaling
