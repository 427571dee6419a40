// SPDX-License-Identifier: MIT
// Callbacks through which other parts of a VM take part in the exchange with the registry and other VMs.
#pragma once

#include <functional>
#include <gingerdyke/control/peer_report.hpp>
#include <gingerdyke/control/row_store.hpp>
#include <gingerdyke/control/source_selector.hpp>

namespace gingerdyke::control
{
/// \brief Callbacks of `coordinator`; each may be empty.
struct coordinator_hooks
{
	/// Called when this VM starts or stops reading the registry for others.
	std::function<void(bool reads_registry)> reader_role_changed;

	/// Called with the VMs of the fleet when they change.
	std::function<void(const std::vector<peer>&)> vms_changed;

	/// Called with each reading of the registry's clock.
	std::function<void(registry_time)> registry_time_received;

	/// Called to add to a report to another VM, and with each report of another VM.
	std::function<void(peer_report&)> extend_report;
	std::function<void(const peer_report&)> report_received;

	/// Called to add to a summary for another VM, and with each summary of another VM.
	std::function<void(peer_summary&)> extend_summary;
	std::function<void(const peer_summary&)> summary_received;
};
} // namespace gingerdyke::control
