// SPDX-License-Identifier: MIT
// What a VM tells the VM that it reads the registry through, and what it is told in return.
#pragma once

#include <gingerdyke/quarantine/suspect_list.hpp>
#include <gingerdyke/rollout/version_shift.hpp>
#include <gingerdyke/routing/announced_limits.hpp>
#include <gingerdyke/routing/replica_selector.hpp>
#include <string>
#include <vector>

namespace gingerdyke::control
{
/// \brief What one VM sees that others can use.
struct peer_report
{
	/// Name and incarnation of the VM that reports.
	std::string reporter;

	/// Work that it has open at replicas.
	std::vector<routing::replica_work> work;

	/// What it saw of new versions under way.
	std::vector<rollout::shift_evidence> evidence;

	/// New versions that it found bad. The VM that it reads from may have started after the verdict, and
	/// would declare such a version completed.
	std::vector<rollout::shift_suspension> suspended;

	/// Requests under which replicas ended lately. Each VM may have seen one end only, and all of them too
	/// many.
	std::vector<quarantine::suspicion> suspects;

	/// What it heard itself of limits that replicas name.
	std::vector<routing::limit_update> limits;
};

/// \brief What a VM knows of all the others that report to it.
struct peer_summary
{
	/// Work that VMs other than the one that is told have open at replicas.
	std::vector<routing::replica_work> work;

	/// New versions that it found bad.
	std::vector<rollout::shift_suspension> suspended;

	/// Requests under which several replicas ended lately.
	std::vector<quarantine::suspicion> suspects;

	/// What it and the VMs that report to it, other than the one that is told, heard of limits that replicas
	/// name.
	std::vector<routing::limit_update> limits;
};
} // namespace gingerdyke::control
