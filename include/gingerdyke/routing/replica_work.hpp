// SPDX-License-Identifier: MIT
// Work in progress at a replica, as VMs report it to each other.
#pragma once

#include <gingerdyke/base/ids.hpp>

namespace gingerdyke::routing
{
/// \brief Outstanding work at a replica.
struct replica_work
{
	replica_id replica;

	/// Prompt tokens to process, as by the largest model; 0 for services that are not engines.
	double tokens{};

	/// Requests that were sent and have not ended; 0 from a VM of an older build.
	double requests{};

	bool operator==(const replica_work&) const = default;
};
} // namespace gingerdyke::routing
