// SPDX-License-Identifier: MIT
// Collects the usage counted by many VMs.
#pragma once

#include <gingerdyke/usage/usage_cell.hpp>
#include <string>

namespace gingerdyke::usage
{
/// \brief Cells of one reporting process.
struct reported_usage
{
	/// Name of the process that counted: its VM and its incarnation.
	std::string reporter;
	std::vector<usage_cell> cells;
};

/// \brief Usage by reporting process. Counts of a process only rise, so the highest one that arrived holds,
/// however often and by whichever way it came.
class usage_board
{
  public:
	/// \brief Counts one request of this process.
	void add(const std::string& reporter, const workspace_id& workspace, window_index window);

	/// \brief Merges counts that a process reported.
	void merge(const reported_usage& reported);

	/// \brief Returns the cells of one process.
	[[nodiscard]] std::vector<usage_cell> cells_of(const std::string& reporter) const;

	/// \brief Returns all cells.
	[[nodiscard]] std::vector<reported_usage> all() const;

	/// \brief Returns the sums over all processes for one window.
	[[nodiscard]] workspace_counts totals(window_index window) const;

	/// \brief Drops all windows before one.
	void forget_before(window_index window);

	/// \brief Whether a window has any counts.
	[[nodiscard]] bool contains(window_index window) const;

  private:
	struct cell_key
	{
		window_index window;
		std::string reporter;
		workspace_id workspace;

		auto operator<=>(const cell_key&) const = default;
	};

	std::map<cell_key, std::uint64_t> counts_;
};
} // namespace gingerdyke::usage
