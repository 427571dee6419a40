// SPDX-License-Identifier: MIT
// Pace of a replica relative to its service, as VMs report it to each other.
#pragma once

#include <gingerdyke/routing/replica_set.hpp>

namespace gingerdyke::routing
{
/// \brief What one VM, or several together, observed of the pace of a replica's process.
struct replica_pace
{
	replica_id replica;
	replica_incarnation incarnation;

	/// Mean natural logarithm of observed over expected times; above 0, the replica is slower than its
	/// service.
	double mean_log{};

	/// Weight of the observations, in recent responses.
	double weight{};

	bool operator==(const replica_pace&) const = default;
};
} // namespace gingerdyke::routing
