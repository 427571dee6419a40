// SPDX-License-Identifier: MIT
// Collects the usage counted by many VMs.
#include <algorithm>
#include <gingerdyke/usage/usage_board.hpp>

namespace gingerdyke::usage
{
void usage_board::add(const std::string& reporter, const workspace_id& workspace, window_index window)
{
	++counts_[{window, reporter, workspace}];
}

void usage_board::merge(const reported_usage& reported)
{
	for (const auto& cell : reported.cells)
	{
		auto& known = counts_[{cell.window, reported.reporter, cell.workspace}];
		known = std::max(known, cell.requests);
	}
}

std::vector<usage_cell> usage_board::cells_of(const std::string& reporter) const
{
	std::vector<usage_cell> cells;
	for (const auto& [key, requests] : counts_)
	{
		if (key.reporter == reporter)
		{
			cells.push_back({key.window, key.workspace, requests});
		}
	}
	return cells;
}

std::vector<reported_usage> usage_board::all() const
{
	std::map<std::string, std::vector<usage_cell>> by_reporter;
	for (const auto& [key, requests] : counts_)
	{
		by_reporter[key.reporter].push_back({key.window, key.workspace, requests});
	}
	std::vector<reported_usage> reported;
	reported.reserve(by_reporter.size());
	for (auto& [reporter, cells] : by_reporter)
	{
		reported.push_back({reporter, std::move(cells)});
	}
	return reported;
}

workspace_counts usage_board::totals(window_index window) const
{
	workspace_counts sums;
	for (auto cell = counts_.lower_bound({window, {}, {}}); cell != counts_.end(); ++cell)
	{
		if (cell->first.window != window)
		{
			break;
		}
		sums[cell->first.workspace] += cell->second;
	}
	return sums;
}

void usage_board::forget_before(window_index window)
{
	counts_.erase(counts_.begin(), counts_.lower_bound({window, {}, {}}));
}

bool usage_board::contains(window_index window) const
{
	const auto first = counts_.lower_bound({window, {}, {}});
	return first != counts_.end() && first->first.window == window;
}
} // namespace gingerdyke::usage
