// SPDX-License-Identifier: MIT
// What the state machines ask of their host towards other VMs and the platform.
#pragma once

#include <cstdint>
#include <gingerdyke/base/ids.hpp>
#include <gingerdyke/peer/message.hpp>
#include <gingerdyke/platform/store_types.hpp>
#include <variant>
#include <vector>

namespace gingerdyke
{
/// \brief Send a message to a peer; it may be lost.
struct send_peer
{
	vm_id to;
	peer::message body;
};

/// \brief The state machine that a platform answer goes back to.
enum class call_owner
{
	table_reader,
	table_editor,
	claims,
	bills,
	journal,
	rollout,
};

/// \brief Names one platform call within a process.
struct call_id
{
	call_owner owner{};
	std::uint64_t number{};

	auto operator<=>(const call_id&) const = default;
};

/// \brief Run a transaction at the table service.
struct call_store
{
	call_id id;
	store::priority urgency{store::priority::other};
	store::transaction body;
};

/// \brief Read the platform's list of VMs.
struct fetch_members
{
};

/// \brief Effects common to all state machines.
using effect = std::variant<send_peer, call_store, fetch_members>;
using effects = std::vector<effect>;
} // namespace gingerdyke
