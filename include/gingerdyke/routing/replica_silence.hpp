// SPDX-License-Identifier: MIT
// Replicas that do not respond, as VMs report them to each other.
#pragma once

#include <gingerdyke/routing/replica_set.hpp>

namespace gingerdyke::routing
{
/// \brief What one VM, or several together, lately observed of a replica's process that failed to respond.
struct replica_silence
{
	replica_id replica;
	replica_incarnation incarnation;

	/// VMs whose last request or connection got no response.
	unsigned silent_vms{};

	/// VMs that got a response since.
	unsigned answered_vms{};

	bool operator==(const replica_silence&) const = default;
};
} // namespace gingerdyke::routing
