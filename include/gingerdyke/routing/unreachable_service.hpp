// SPDX-License-Identifier: MIT
// VMs that have lost their paths to all replicas of a service.
#pragma once

#include <gingerdyke/base/ids.hpp>
#include <optional>
#include <vector>

namespace gingerdyke::routing
{
/// \brief The VMs that can't reach a service, as known to one VM.
struct unreachable_service
{
	service_id service;

	/// If set, the service is unreachable for all VMs of this failure domain except those of the list. It
	/// keeps the list short if a whole failure domain is cut off.
	std::optional<failure_domain_id> domain{};

	/// The VMs that can't reach the service, or the exceptions; in ascending order.
	std::vector<vm_id> vms;

	auto operator<=>(const unreachable_service&) const = default;
};
} // namespace gingerdyke::routing
