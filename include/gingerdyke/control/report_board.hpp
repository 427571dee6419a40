// SPDX-License-Identifier: MIT
// Aggregates the reports of other VMs. If many VMs send to a replica, each VM's own requests in progress say
// little about the replica's load; their sum does.
#pragma once

#include <gingerdyke/control/peer_report.hpp>
#include <map>

namespace gingerdyke::control
{
/// \brief Tuning of `report_board`.
struct report_board_tuning
{
	/// Time for which a report counts. VMs report with their polls, several times a second; older work has
	/// mostly completed.
	duration lifetime = std::chrono::milliseconds{1500};
};

/// \brief Keeps the latest report of each VM and aggregates them.
class report_board
{
  public:
	explicit report_board(report_board_tuning tuning = {}) : tuning_(tuning) {}

	/// \brief Replaces the work that a VM reported before.
	void set_work(const std::string& reporter, std::vector<routing::replica_work> work, instant now);

	/// \brief Replaces the rate limits that a VM reported before.
	void set_limits(const std::string& reporter, std::vector<routing::limit_update> limits, instant now);

	/// \brief Returns the work in progress on each replica, summed over all VMs with an unexpired report but
	/// one.
	/// \param reporter The VM to leave out; it knows its own work better.
	[[nodiscard]] std::vector<routing::replica_work> work_excluding(const std::string& reporter, instant now);

	/// \brief Returns the rate limits reported by all VMs with an unexpired report but one, their ages
	/// advanced to `now`.
	/// \param reporter The VM to leave out.
	[[nodiscard]] std::vector<routing::limit_update> limits_excluding(
		const std::string& reporter, instant now);

  private:
	struct kept_limits
	{
		std::vector<routing::limit_update> limits;
		instant at;
	};

	struct kept_work
	{
		std::vector<routing::replica_work> work;
		instant at;
	};

	report_board_tuning tuning_;
	std::map<std::string, kept_work> work_by_reporter_;
	std::map<std::string, kept_limits> limits_by_reporter_;
};
} // namespace gingerdyke::control
