// SPDX-License-Identifier: MIT
// Messages that accompany a VM's polls of another VM: the report it sends and the summary it gets back.
#pragma once

#include <gingerdyke/control/path_board.hpp>
#include <gingerdyke/limits/service_load.hpp>
#include <gingerdyke/quarantine/suspect_list.hpp>
#include <gingerdyke/rollout/version_shift.hpp>
#include <gingerdyke/routing/announced_limits.hpp>
#include <gingerdyke/routing/replica_pace.hpp>
#include <gingerdyke/routing/replica_selector.hpp>
#include <gingerdyke/routing/replica_silence.hpp>
#include <gingerdyke/usage/usage_cell.hpp>
#include <optional>
#include <string>
#include <vector>

namespace gingerdyke::control
{
/// \brief State of one VM that other VMs can use.
struct peer_report
{
	/// Name and incarnation of the reporting VM.
	std::string reporter;

	/// Work that the VM has in progress on replicas.
	std::vector<routing::replica_work> work;

	/// Its evidence on new versions whose shift is in progress.
	std::vector<rollout::shift_evidence> evidence;

	/// New versions that the VM has judged bad. The VM that receives the report may have started after that
	/// verdict, and would otherwise declare the version completed.
	std::vector<rollout::shift_suspension> suspended;

	/// Requests during which replicas recently exited. A single VM may have seen only one exit, while all VMs
	/// together have seen too many.
	std::vector<quarantine::suspicion> suspects;

	/// Rate limits that replicas announced to this VM.
	std::vector<routing::limit_update> limits;

	/// Requests that began running on this VM, for windows that the polled VM has not stored yet.
	std::vector<usage::usage_cell> usage{};

	/// How far this VM's time of day is ahead of the registry's steady clock; none if unknown.
	std::optional<duration> clock_offset{};

	/// Services that the VM can't reach.
	path_report paths{};

	/// Pace of replicas, as observed by this VM.
	std::vector<routing::replica_pace> paces{};

	/// Replicas that lately did not respond to this VM, and those of them that have since.
	std::vector<routing::replica_silence> silences{};

	/// Load of services, as observed by this VM.
	std::vector<limits::service_load> loads{};
};

/// \brief State collected by the polled VM from all VMs that report to it.
struct peer_summary
{
	/// Work in progress on replicas, summed over all VMs but the one that receives the summary.
	std::vector<routing::replica_work> work;

	/// New versions that the polled VM has judged bad.
	std::vector<rollout::shift_suspension> suspended;

	/// Requests during which several replicas recently exited.
	std::vector<quarantine::suspicion> suspects;

	/// Rate limits announced by replicas to the polled VM and to the VMs that report to it, except the one
	/// that receives the summary.
	std::vector<routing::limit_update> limits;

	/// The polled VM has stored the usage of all windows before this one; none if it stores no usage.
	std::optional<usage::window_index> usage_stored_before{};

	/// Median of the clock offsets reported to the polled VM; none if unknown.
	std::optional<duration> clock_offset{};

	/// Services that VMs can't reach.
	path_summary paths{};

	/// Pace of replicas, as observed by all VMs but the one that receives the summary.
	std::vector<routing::replica_pace> paces{};

	/// Replicas that lately did not respond to some VM, the one that receives the summary left out.
	std::vector<routing::replica_silence> silences{};

	/// Load of services, as observed by all VMs together but the one that receives the summary.
	std::vector<limits::service_load> loads{};
};
} // namespace gingerdyke::control
