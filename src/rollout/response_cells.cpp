// SPDX-License-Identifier: MIT
// Response counts by group of replicas.
#include <algorithm>
#include <array>
#include <gingerdyke/rollout/response_cells.hpp>
#include <numeric>

namespace gingerdyke::rollout
{
namespace
{
using group_ranking = std::array<std::size_t, replica_group_count>;

cell_set cells_of_fold(std::size_t fold)
{
	cell_set cells;
	for (std::size_t group = 0; group < replica_group_count; ++group)
	{
		cells.set(cell_of(group, fold));
	}
	return cells;
}

/// Groups ordered by ratio of bad responses in one fold, lowest first. A group without responses in that
/// fold is assigned the ratio over all groups.
group_ranking groups_by_bad_ratio(const by_cell<response_counts>& seen, std::size_t fold)
{
	const auto overall_ratio = seen.sum(cells_of_fold(fold)).bad_ratio();
	std::array<double, replica_group_count> ratios{};
	for (std::size_t group = 0; group < replica_group_count; ++group)
	{
		const auto* counts = seen.find(cell_of(group, fold));
		const bool is_known = counts != nullptr && counts->responses > 0;
		ratios[group] = is_known ? counts->bad_ratio() : overall_ratio;
	}
	group_ranking ranking{};
	std::iota(ranking.begin(), ranking.end(), std::size_t{0});
	std::stable_sort(
		ranking.begin(), ranking.end(), [&](std::size_t a, std::size_t b) { return ratios[a] < ratios[b]; });
	return ranking;
}
} // namespace

response_counts& response_counts::operator+=(const response_counts& other) noexcept
{
	responses += other.responses;
	failed += other.failed;
	return *this;
}

response_counts& response_counts::operator-=(const response_counts& other) noexcept
{
	responses -= std::min(responses, other.responses);
	failed -= std::min(failed, other.failed);
	return *this;
}

double response_counts::bad_ratio() const noexcept
{
	return responses == 0 ? 0 : static_cast<double>(failed) / static_cast<double>(responses);
}

cell_set healthy_cells(const by_cell<response_counts>& seen)
{
	cell_set selected;
	for (std::size_t fold = 0; fold < fold_count; ++fold)
	{
		const auto target_count = (seen.sum(cells_of_fold(fold)).responses + 1) / 2;
		std::uint64_t responses = 0;
		for (const auto group : groups_by_bad_ratio(seen, 1 - fold))
		{
			if (responses >= target_count)
			{
				break;
			}
			const auto cell = cell_of(group, fold);
			const auto* counts = seen.find(cell);
			responses += counts == nullptr ? 0 : counts->responses;
			selected.set(cell);
		}
	}
	return selected;
}
} // namespace gingerdyke::rollout
