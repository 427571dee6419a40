// SPDX-License-Identifier: MIT
// Callers of a VM that has lost its path to the replicas are served through other VMs.
#include "../support/partitioned_fleet.hpp"

using namespace gingerdyke;
using namespace gingerdyke::test;
using platform::standin::once_prefix;
using platform::standin::repeatable_prefix;
using platform::standin::stream_prefix;
using soak::link_fault;

namespace
{
constexpr int ok = 200;

/// Requests of all kinds, one after the other, to a VM.
/// \returns How many of them were served at the first attempt.
std::size_t served_of(partitioned_fleet& fleet, std::size_t vm_index, std::size_t rounds)
{
	std::size_t served = 0;
	for (std::size_t i = 0; i < rounds; ++i)
	{
		for (const auto* prefix : {once_prefix, repeatable_prefix, stream_prefix})
		{
			served += fleet.ask(vm_index, prefix) == ok ? 1 : 0;
		}
	}
	return served;
}

/// Compares a VM that is cut from all replicas with another one, once the cut is known.
void check_cut_vm_serves(link_fault fault)
{
	constexpr std::size_t until_known = 2;
	constexpr std::size_t rounds = 4;
	constexpr std::size_t kinds = 3;
	partitioned_fleet fleet{2};
	REQUIRE(served_of(fleet, 0, 1) == kinds);
	REQUIRE(served_of(fleet, 1, 1) == kinds);
	fleet.set_links(0, fault);
	static_cast<void>(served_of(fleet, 0, until_known));
	CHECK(served_of(fleet, 0, rounds) == rounds * kinds);
	CHECK(served_of(fleet, 1, rounds) == rounds * kinds);
}
} // namespace

TEST_CASE("callers of a VM whose connections to replicas are refused are served", "[forwarding]")
{
	check_cut_vm_serves(link_fault::refused);
}

TEST_CASE("callers of a VM whose new connections to replicas are refused are served", "[forwarding]")
{
	constexpr std::size_t together = 12;
	partitioned_fleet fleet{2};
	REQUIRE(served_of(fleet, 0, 1) == 3);
	fleet.set_links(0, link_fault::refused_new);
	for (const auto* prefix : {once_prefix, repeatable_prefix, stream_prefix})
	{
		static_cast<void>(fleet.ask_together(0, prefix, together));
		CHECK(fleet.ask_together(0, prefix, together) == together);
	}
}

TEST_CASE("callers of a VM whose connections to replicas hang are served", "[forwarding]")
{
	check_cut_vm_serves(link_fault::unanswered);
}
