// SPDX-License-Identifier: MIT
// Counts of answers by group of replicas.
#include <algorithm>
#include <array>
#include <gingerdyke/rollout/answer_cells.hpp>
#include <numeric>

namespace gingerdyke::rollout
{
namespace
{
using group_order = std::array<std::size_t, replica_groups>;

cell_set cells_of_half(std::size_t half)
{
	cell_set cells;
	for (std::size_t group = 0; group < replica_groups; ++group)
	{
		cells.set(cell_of(group, half));
	}
	return cells;
}

/// Groups by their share of bad answers in one half, the lowest first. A group without answers there may be
/// as good or bad as all together.
group_order ranked_by(const by_cell<answer_counts>& seen, std::size_t half)
{
	const auto share_of_all = seen.sum(cells_of_half(half)).share();
	std::array<double, replica_groups> shares{};
	for (std::size_t group = 0; group < replica_groups; ++group)
	{
		const auto* counts = seen.find(cell_of(group, half));
		const bool is_known = counts != nullptr && counts->answers > 0;
		shares[group] = is_known ? counts->share() : share_of_all;
	}
	group_order order{};
	std::iota(order.begin(), order.end(), std::size_t{0});
	std::stable_sort(
		order.begin(), order.end(), [&](std::size_t a, std::size_t b) { return shares[a] < shares[b]; });
	return order;
}
} // namespace

answer_counts& answer_counts::operator+=(const answer_counts& other) noexcept
{
	answers += other.answers;
	failed += other.failed;
	return *this;
}

answer_counts& answer_counts::operator-=(const answer_counts& other) noexcept
{
	answers -= std::min(answers, other.answers);
	failed -= std::min(failed, other.failed);
	return *this;
}

double answer_counts::share() const noexcept
{
	return answers == 0 ? 0 : static_cast<double>(failed) / static_cast<double>(answers);
}

cell_set better_half(const by_cell<answer_counts>& seen)
{
	cell_set chosen;
	for (std::size_t half = 0; half < answer_halves; ++half)
	{
		const auto wanted = (seen.sum(cells_of_half(half)).answers + 1) / 2;
		std::uint64_t answers = 0;
		for (const auto group : ranked_by(seen, 1 - half))
		{
			if (answers >= wanted)
			{
				break;
			}
			const auto cell = cell_of(group, half);
			const auto* counts = seen.find(cell);
			answers += counts == nullptr ? 0 : counts->answers;
			chosen.set(cell);
		}
	}
	return chosen;
}
} // namespace gingerdyke::rollout
