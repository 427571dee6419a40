// SPDX-License-Identifier: MIT
// The configuration in force, indexed by host and prefix.
#include <algorithm>
#include <cctype>
#include <gingerdyke/routing/catalog.hpp>

namespace gingerdyke::routing
{
namespace
{
/// Host names compare without regard to case, and the port does not count.
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

catalog::catalog(catalog_data data) : data_(std::move(data))
{
	for (const auto& one : data_.routes)
	{
		by_host_[host_key(one.host)].push_back(&one);
	}
	for (auto& [host, routes] : by_host_)
	{
		std::stable_sort(routes.begin(), routes.end(),
			[](const route* a, const route* b) { return a->path_prefix.size() > b->path_prefix.size(); });
	}
	for (const auto& one : data_.services)
	{
		by_service_[one.id.str()] = &one;
	}
}

const route* catalog::find_route(std::string_view host, std::string_view path) const
{
	const auto found = by_host_.find(host_key(host));
	if (found == by_host_.end())
	{
		return nullptr;
	}
	const auto matches = [path](const route* one) { return path.starts_with(one->path_prefix); };
	const auto longest = std::find_if(found->second.begin(), found->second.end(), matches);
	return longest == found->second.end() ? nullptr : *longest;
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
	double dearest = 0;
	double cost = 0;
	for (const auto& one : models)
	{
		dearest = std::max(dearest, one.cost);
		cost = one.model == model ? one.cost : cost;
	}
	return cost > 0 ? cost / dearest : 1;
}

const service_id& pick_service(const route& route, std::uint64_t point)
{
	std::uint64_t total = 0;
	for (const auto& one : route.services)
	{
		total += one.weight;
	}
	if (total == 0)
	{
		return route.services.front().service;
	}
	auto left = point % total;
	for (const auto& one : route.services)
	{
		if (left < one.weight)
		{
			return one.service;
		}
		left -= one.weight;
	}
	return route.services.back().service;
}
} // namespace gingerdyke::routing
