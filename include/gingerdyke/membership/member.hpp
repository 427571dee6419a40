// SPDX-License-Identifier: MIT
// Members: entry VMs and upstream VMs as the platform's list names them.
#pragma once

#include <gingerdyke/base/ids.hpp>
#include <gingerdyke/base/units.hpp>
#include <string>
#include <vector>

namespace gingerdyke::membership
{
/// \brief What the platform says of a VM.
enum class member_state
{
	live,
	leaving,
	gone,
};

/// \brief What a VM is for.
enum class member_kind
{
	entry,
	upstream,
};

/// \brief One VM of the list.
struct member
{
	vm_id vm;
	failure_domain_id failure_domain;
	member_kind kind{member_kind::entry};
	member_state state{member_state::live};

	/// Peer address of an entry VM, `ip:port`.
	std::string address;

	bool operator==(const member&) const = default;
};

/// \brief The platform's list at one of its revisions.
struct member_list
{
	std::int64_t list_revision{};
	std::vector<member> members;
};
} // namespace gingerdyke::membership
