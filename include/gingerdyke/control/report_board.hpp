// SPDX-License-Identifier: MIT
// The open work of the VMs that report to this one. A VM's own open requests say little of a replica's load
// where many VMs send to it; together they do.
#pragma once

#include <gingerdyke/control/peer_report.hpp>
#include <map>

namespace gingerdyke::control
{
/// \brief Tuning of `report_board`.
struct report_board_tuning
{
	/// A report counts for this long. VMs report with their polls, several times a second; work that is older
	/// is mostly done.
	duration lifetime = std::chrono::milliseconds{1500};
};

/// \brief Keeps the last report of each VM and sums them up.
class report_board
{
  public:
	explicit report_board(report_board_tuning tuning = {}) : tuning_(tuning) {}

	/// \brief Takes a VM's report in place of its last one.
	void take(const std::string& reporter, std::vector<routing::replica_work> work, instant now);

	/// \brief Takes what a VM heard of replicas' limits in place of what it told last.
	void take_limits(const std::string& reporter, std::vector<routing::limit_update> limits, instant now);

	/// \brief Sums up the open work of all VMs with a report that still counts, but one.
	/// \param reporter The VM that is left out; it knows its own work better.
	[[nodiscard]] std::vector<routing::replica_work> work_of_others(const std::string& reporter, instant now);

	/// \brief What all VMs with a report that still counts, but one, heard of replicas' limits, as old as it
	/// is now.
	[[nodiscard]] std::vector<routing::limit_update> limits_of_others(
		const std::string& reporter, instant now);

  private:
	struct kept_limits
	{
		std::vector<routing::limit_update> limits;
		instant at;
	};

	struct kept_report
	{
		std::vector<routing::replica_work> work;
		instant at;
	};

	report_board_tuning tuning_;
	std::map<std::string, kept_report> by_reporter_;
	std::map<std::string, kept_limits> limits_by_reporter_;
};
} // namespace gingerdyke::control
