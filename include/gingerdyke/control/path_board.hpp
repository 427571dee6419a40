// SPDX-License-Identifier: MIT
// Which VMs can't reach a service, as the VMs that poll this one report it.
#pragma once

#include <cstdint>
#include <gingerdyke/base/units.hpp>
#include <gingerdyke/routing/unreachable_service.hpp>
#include <map>
#include <string>
#include <vector>

namespace gingerdyke::control
{
/// \brief Identifies the content of a summary of unreachable services; 0: there are none.
using path_digest = std::uint64_t;

/// \brief What a VM reports of its paths to the replicas.
struct path_report
{
	vm_id vm;

	/// Services none of whose replicas the VM can reach.
	std::vector<service_id> unreachable;

	/// Digest of the last summary that the VM received. The next one is left out if it is the same.
	path_digest known{};
};

/// \brief Which VMs can't reach a service, as the polled VM knows it.
struct path_summary
{
	path_digest digest{};

	/// Empty if the VM that receives the summary knows this digest already.
	std::vector<routing::unreachable_service> unreachable;
};

/// \brief Tuning of `path_board`.
struct path_board_tuning
{
	/// Time for which a report counts. VMs report with their polls, about once a second.
	duration lifetime = std::chrono::seconds{3};
};

/// \brief Keeps the latest report of each VM and summarizes them.
class path_board
{
  public:
	explicit path_board(path_board_tuning tuning = {}) : tuning_(tuning) {}

	/// \brief Replaces what a VM reported before.
	/// \param reporter Name and incarnation of the VM.
	void set(const std::string& reporter, path_report report, instant now);

	/// \brief Whether no VM reports anything.
	[[nodiscard]] bool empty() const noexcept { return reports_.empty(); }

	/// \brief Returns the VMs that can't reach a service, by service.
	/// \param domain Failure domain of most VMs that report here.
	/// \param domain_vms Its VMs, in ascending order.
	[[nodiscard]] std::vector<routing::unreachable_service> unreachable(
		const failure_domain_id& domain, const std::vector<vm_id>& domain_vms, instant now) const;

	/// \brief Returns the summary for a VM.
	/// \param current What `unreachable` returns now.
	[[nodiscard]] path_summary summary_for(
		const std::string& reporter, std::vector<routing::unreachable_service> current) const;

  private:
	struct kept_report
	{
		path_report report;
		instant at;
	};

	path_board_tuning tuning_;
	std::map<std::string, kept_report> reports_;
};

/// \brief Computes the digest of a summary's content.
[[nodiscard]] path_digest digest_of(const std::vector<routing::unreachable_service>& unreachable);
} // namespace gingerdyke::control
