// SPDX-License-Identifier: MIT
// Order of requests by the priorities of their workspace and their route.
#include <algorithm>
#include <gingerdyke/routing/catalog.hpp>
#include <gingerdyke/routing/priority_order.hpp>
#include <optional>
#include <set>

namespace gingerdyke::routing
{
priority_order::priority_order(const std::vector<route>& routes, const std::vector<workspace>& workspaces)
{
	std::set<std::optional<unsigned>> of_workspaces;
	for (const auto& one : workspaces)
	{
		of_workspaces.insert(one.priority);
	}
	std::set<level> levels;
	for (const auto& one : routes)
	{
		if (one.is_public || workspaces.empty())
		{
			levels.insert(level_of(one, nullptr));
		}
		for (const auto& priority : of_workspaces)
		{
			levels.insert({priority.value_or(one.priority), one.priority});
		}
	}
	levels_.assign(levels.begin(), levels.end());
}

priority_order::level priority_order::level_of(const route& of, const workspace* from) noexcept
{
	const auto own = from == nullptr ? std::nullopt : from->priority;
	return {own.value_or(of.priority), of.priority};
}

unsigned priority_order::priority_of(const route& of, const workspace* from) const noexcept
{
	const auto found = std::lower_bound(levels_.begin(), levels_.end(), level_of(of, from));
	const auto index = static_cast<std::size_t>(found - levels_.begin());
	const auto scaled = levels_.size() <= priority_count ? index : index * priority_count / levels_.size();
	return std::min(priority_count - 1, static_cast<unsigned>(scaled));
}
} // namespace gingerdyke::routing
