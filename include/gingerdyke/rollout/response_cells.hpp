// SPDX-License-Identifier: MIT
// Response counts by group of replicas, used to separate a version's healthy replicas from its faulty ones.
#pragma once

#include <bitset>
#include <cstddef>
#include <cstdint>
#include <map>

namespace gingerdyke::rollout
{
/// \brief Number of responses, and how many of them were bad: failed, or slow when latency is counted.
struct response_counts
{
	std::uint64_t responses{};
	std::uint64_t failed{};

	response_counts& operator+=(const response_counts& other) noexcept;
	response_counts& operator-=(const response_counts& other) noexcept;
	bool operator==(const response_counts&) const = default;

	/// \brief Ratio of bad responses to all responses; 0 if there are none.
	[[nodiscard]] double bad_ratio() const noexcept;
};

/// \brief Number of groups that a version's replicas are hashed into. A few replicas with a fault of their
/// own affect some groups, a bad version affects all of them.
inline constexpr std::size_t replica_group_count = 16;

/// \brief Number of folds that the responses of each group are split into at random: groups are ranked by
/// one fold and evaluated on the other. If both used the same few responses, the best-ranked groups would be
/// best by chance, and a version that fails half of its requests would appear to have no failures.
inline constexpr std::size_t fold_count = 2;

/// \brief Number of cells. A cell is one fold of one group's responses.
inline constexpr std::size_t cell_count = replica_group_count * fold_count;

/// \brief Index of a cell, less than `cell_count`.
using cell_index = std::size_t;

/// \brief A set of cells.
using cell_set = std::bitset<cell_count>;

[[nodiscard]] constexpr cell_index cell_of(std::size_t group, std::size_t fold) noexcept
{
	return (group % replica_group_count) * fold_count + fold % fold_count;
}

/// \brief Counts per cell; cells without responses have no entry.
template <typename Counts>
class by_cell
{
  public:
	[[nodiscard]] Counts& operator[](cell_index cell) { return cells_[cell % cell_count]; }

	/// \brief Counts of a cell, or null if it has none.
	[[nodiscard]] const Counts* find(cell_index cell) const
	{
		const auto found = cells_.find(cell);
		return found == cells_.end() ? nullptr : &found->second;
	}

	/// \brief Sum over the given cells.
	[[nodiscard]] Counts sum(const cell_set& selected) const
	{
		Counts all;
		for (const auto& [cell, counts] : cells_)
		{
			if (selected.test(cell))
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

	/// \brief Subtracts counts that were added before.
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

/// \brief Selects the cells of the groups with the lowest ratio of bad responses, covering about half of all
/// responses. The cells of each fold are selected by the ratios in the other fold.
[[nodiscard]] cell_set healthy_cells(const by_cell<response_counts>& seen);
} // namespace gingerdyke::rollout
