// SPDX-License-Identifier: MIT
// Decides which window's usage the holder of that duty reports next, and with which content.
#pragma once

#include <gingerdyke/usage/usage_cell.hpp>
#include <optional>

namespace gingerdyke::usage
{
/// \brief A report as it is stored before it is sent. Its content never changes: whoever sends the report of
/// this window again, sends the same.
struct usage_report
{
	window_index window;
	workspace_counts counts;
};

/// \brief Tuning of `report_schedule`.
struct report_tuning
{
	/// Length of a window.
	duration window_length = std::chrono::seconds{5};

	/// Time after a window's end by which its report has to arrive.
	duration due_after = std::chrono::seconds{10};

	/// Share of `due_after` that is waited for counts of VMs that are late; the rest is for repeating calls.
	double collecting_share = 0.75;

	/// \brief How long after a window's end its report is made.
	[[nodiscard]] duration collecting_time() const { return scaled(due_after, collecting_share); }
};

/// \brief Order of the reports. A report is stored, then sent until it is acknowledged or no longer wanted,
/// before the next one is made.
class report_schedule
{
  public:
	explicit report_schedule(report_tuning tuning) : tuning_(tuning) {}

	/// \brief Records the report that is stored; older ones than the known one are ignored.
	void on_stored(const usage_report& stored);

	/// \brief Records that the stored report was acknowledged.
	void on_acknowledged(window_index window);

	/// \brief Returns the stored report if it has to be sent.
	[[nodiscard]] std::optional<usage_report> to_send(unix_time now) const;

	/// \brief Returns the window whose report has to be made and stored now.
	[[nodiscard]] std::optional<window_index> to_store(unix_time now) const;

	/// \brief Returns when `to_store` returns the next window.
	[[nodiscard]] unix_time next_store_at(unix_time now) const;

	/// \brief Returns the oldest window that may still have to be reported.
	[[nodiscard]] window_index oldest_due(unix_time now) const;

	[[nodiscard]] const report_tuning& tuning() const noexcept { return tuning_; }

  private:
	[[nodiscard]] window_index next_window(unix_time now) const;
	[[nodiscard]] bool is_overdue(window_index window, unix_time now) const;

	report_tuning tuning_;
	std::optional<usage_report> stored_;
	std::optional<window_index> acknowledged_;
};
} // namespace gingerdyke::usage
