// SPDX-License-Identifier: MIT
// Counts of answers by group of replicas, so that a version's sound replicas can be told from its sick ones.
#pragma once

#include <bitset>
#include <cstddef>
#include <cstdint>
#include <map>

namespace gingerdyke::rollout
{
/// \brief Answers, and those among them that were bad: failures, or slow ones.
struct answer_counts
{
	std::uint64_t answers{};
	std::uint64_t failed{};

	answer_counts& operator+=(const answer_counts& other) noexcept;
	answer_counts& operator-=(const answer_counts& other) noexcept;
	bool operator==(const answer_counts&) const = default;

	/// \brief Share of bad ones; 0 where there are no answers.
	[[nodiscard]] double share() const noexcept;
};

/// \brief Groups into which a version's replicas fall by hash. A few replicas that fail for a reason of their
/// own spoil some groups, a bad version all of them.
inline constexpr std::size_t replica_groups = 16;

/// \brief The answers of each group fall into two halves at random: groups are ranked by one half and judged
/// by the other. Ranked and judged by the same few answers, the better groups would be the lucky ones, and
/// of a version that fails half of its requests they would show no failure at all.
inline constexpr std::size_t answer_halves = 2;

/// \brief A cell is one half of one group's answers.
inline constexpr std::size_t answer_cells = replica_groups * answer_halves;

/// \brief Index of a cell, below `answer_cells`.
using cell_index = std::size_t;

/// \brief A choice of cells.
using cell_set = std::bitset<answer_cells>;

[[nodiscard]] constexpr cell_index cell_of(std::size_t group, std::size_t half) noexcept
{
	return (group % replica_groups) * answer_halves + half % answer_halves;
}

/// \brief What was counted in each cell; cells without answers are left out.
template <typename Counts>
class by_cell
{
  public:
	[[nodiscard]] Counts& operator[](cell_index cell) { return cells_[cell % answer_cells]; }

	/// \brief What was counted in a cell, or null.
	[[nodiscard]] const Counts* find(cell_index cell) const
	{
		const auto found = cells_.find(cell);
		return found == cells_.end() ? nullptr : &found->second;
	}

	/// \brief Sum over the chosen cells.
	[[nodiscard]] Counts sum(const cell_set& chosen) const
	{
		Counts all;
		for (const auto& [cell, counts] : cells_)
		{
			if (chosen.test(cell))
			{
				all += counts;
			}
		}
		return all;
	}

	/// \brief Sum over all cells.
	[[nodiscard]] Counts sum() const { return sum(cell_set{}.set()); }

	by_cell& operator+=(const by_cell& other)
	{
		for (const auto& [cell, counts] : other.cells_)
		{
			cells_[cell] += counts;
		}
		return *this;
	}

	/// \brief Takes off what was added before.
	by_cell& operator-=(const by_cell& other)
	{
		for (const auto& [cell, counts] : other.cells_)
		{
			cells_[cell] -= counts;
		}
		return *this;
	}

	[[nodiscard]] auto begin() const noexcept { return cells_.begin(); }
	[[nodiscard]] auto end() const noexcept { return cells_.end(); }

	bool operator==(const by_cell&) const = default;

  private:
	std::map<cell_index, Counts> cells_;
};

/// \brief Cells of the groups with the fewest bad answers, about half of all answers: each half's cells are
/// chosen by what the other half shows.
[[nodiscard]] cell_set better_half(const by_cell<answer_counts>& seen);
} // namespace gingerdyke::rollout
