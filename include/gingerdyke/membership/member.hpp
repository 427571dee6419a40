// SPDX-License-Identifier: MIT
// Members: entry VMs and upstream VMs as listed by the platform.
#pragma once

#include <gingerdyke/base/ids.hpp>
#include <gingerdyke/base/units.hpp>
#include <string>
#include <vector>

namespace gingerdyke::membership
{
/// \brief State of a VM as reported by the platform.
enum class member_state
{
	live,
	draining,
	gone,
};

/// \brief Role of a VM.
enum class member_kind
{
	/// An entry VM: runs the router and accepts callers' requests.
	entry,
	/// An upstream VM: hosts upstreams, i.e. engines or services, to which entry VMs send requests.
	upstream,
};

/// \brief A VM of the member list.
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

/// \brief One revision of the platform's member list.
struct member_list
{
	std::int64_t list_revision{};
	std::vector<member> members;
};
} // namespace gingerdyke::membership
