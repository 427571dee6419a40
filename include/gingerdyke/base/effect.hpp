// SPDX-License-Identifier: MIT
// Actions that the state machines request from their host: messages to other VMs and calls to the platform.
#pragma once

#include <cstdint>
#include <gingerdyke/base/ids.hpp>
#include <gingerdyke/peer/message.hpp>
#include <gingerdyke/platform/store_types.hpp>
#include <variant>
#include <vector>

namespace gingerdyke
{
/// \brief Send a message to a peer. Delivery is not guaranteed.
struct send_peer
{
	vm_id to;
	peer::message body;
};

/// \brief State machine that issued a platform call and receives its response.
enum class call_owner
{
	table_reader,
	table_editor,
	claims,
	bills,
	journal,
	rollout,
};

/// \brief Identifies a platform call; unique within a process.
struct call_id
{
	call_owner owner{};
	std::uint64_t number{};

	auto operator<=>(const call_id&) const = default;
};

/// \brief Execute a transaction on the table service.
struct call_store
{
	call_id id;
	store::priority urgency{store::priority::other};
	store::transaction body;
};

/// \brief Fetch the platform's list of VMs.
struct fetch_members
{
};

/// \brief Actions that any state machine may request.
using effect = std::variant<send_peer, call_store, fetch_members>;
using effects = std::vector<effect>;
} // namespace gingerdyke
