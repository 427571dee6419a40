// SPDX-License-Identifier: MIT
// The parts of the small world.
#pragma once

#include "world.hpp"

namespace gingerdyke::test
{
/// \brief Delay of an effect whose answer is lost.
inline constexpr duration late_effect_after = std::chrono::seconds{5};

/// \brief Something that happens at a moment; ties go in the order in which they were scheduled.
struct world::timed
{
	instant when;
	std::uint64_t number{};
	std::function<void()> what;

	friend bool operator>(const timed& a, const timed& b)
	{
		return std::tie(a.when, a.number) > std::tie(b.when, b.number);
	}
};

/// \brief A request that a VM's handler works on.
struct world::open_request
{
	request_id id;
	request_spec spec;
	session::stream_check check;

	/// Chunks of an answer that is not streamed, as they come.
	std::vector<std::uint64_t> arriving;
	std::set<std::string> arriving_owners;

	/// Chunks of the last whole answer, held back until the node says so. A later attempt that fails leaves
	/// them.
	std::vector<std::uint64_t> held;
	std::set<std::string> held_owners;
	unsigned attempt{};
	bool caller_left{};
};

/// \brief An entry VM: a production core and the requests of its handlers.
struct world::entry_vm
{
	membership::member self;
	std::uint64_t incarnation{};
	bool alive{};
	bool stopping{};
	bool drained{};
	bool forgot{};
	instant frozen_until;
	duration clock_offset{};
	revision last_revision;
	std::unique_ptr<node::core> core;
	std::map<node::request_ref, open_request> requests;
	node::request_ref next_ref = 1;
};

/// \brief An upstream.
struct world::upstream
{
	replica_id id;
	failure_domain_id domain;
	bool alive = true;
	std::optional<instant> leaving_since;
	upstream_mode mode = upstream_mode::good;
	instant mode_until;
};
} // namespace gingerdyke::test
