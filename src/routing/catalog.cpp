// SPDX-License-Identifier: MIT
// The active configuration, indexed by host and path prefix.
#include <algorithm>
#include <cctype>
#include <gingerdyke/routing/catalog.hpp>
#include <iterator>

namespace gingerdyke::routing
{
namespace
{
/// Host names are compared without regard to case, and a port is ignored.
std::string host_key(std::string_view host)
{
	const auto colon = host.find(':');
	std::string key{host.substr(0, colon)};
	for (auto& c : key)
	{
		c = static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
	}
	return key;
}
} // namespace

catalog::catalog(catalog_data data) : data_(std::move(data)), priorities_(data_.routes, data_.workspaces)
{
	for (const auto& item : data_.routes)
	{
		by_host_[host_key(item.host)].push_back(&item);
		for (const auto& to : item.services)
		{
			route_priorities_[to.service].insert(item.priority);
		}
	}
	for (auto& [host, routes] : by_host_)
	{
		std::stable_sort(routes.begin(), routes.end(),
			[](const route* a, const route* b) { return a->path_prefix.size() > b->path_prefix.size(); });
	}
	for (const auto& item : data_.services)
	{
		by_service_[item.id.str()] = &item;
	}
}

unsigned catalog::more_urgent_priorities(const route& than, const service_id& of_service) const
{
	const auto found = route_priorities_.find(of_service);
	if (found == route_priorities_.end())
	{
		return 0;
	}
	const auto& all = found->second;
	return static_cast<unsigned>(std::distance(all.begin(), all.lower_bound(than.priority)));
}

const route* catalog::find_route(std::string_view host, std::string_view path) const
{
	const auto found = by_host_.find(host_key(host));
	if (found == by_host_.end())
	{
		return nullptr;
	}
	const auto matches = [path](const route* candidate) { return path.starts_with(candidate->path_prefix); };
	const auto match = std::find_if(found->second.begin(), found->second.end(), matches);
	return match == found->second.end() ? nullptr : *match;
}

const workspace* catalog::find_workspace(const std::string& key) const
{
	const auto found = data_.keys.find(key);
	return found == data_.keys.end() ? nullptr : &data_.workspaces[found->second];
}

const service* catalog::find_service(const service_id& id) const
{
	const auto found = by_service_.find(id.str());
	return found == by_service_.end() ? nullptr : found->second;
}

double service::relative_cost(const model_id& model) const
{
	double max_cost = 0;
	double cost = 0;
	for (const auto& candidate : models)
	{
		max_cost = std::max(max_cost, candidate.cost);
		cost = candidate.model == model ? candidate.cost : cost;
	}
	return cost > 0 ? cost / max_cost : 1;
}

const service_id& pick_service(const route& route, std::uint64_t hash)
{
	std::uint64_t total = 0;
	for (const auto& option : route.services)
	{
		total += option.weight;
	}
	if (total == 0)
	{
		return route.services.front().service;
	}
	auto remaining = hash % total;
	for (const auto& option : route.services)
	{
		if (remaining < option.weight)
		{
			return option.service;
		}
		remaining -= option.weight;
	}
	return route.services.back().service;
}
} // namespace gingerdyke::routing
