// SPDX-License-Identifier: MIT
// The order of the VMs for a replica, as each of them works it out.
#include "../support/fleet.hpp"

#include <algorithm>
#include <catch2/catch.hpp>
#include <set>

using namespace gingerdyke;
using namespace gingerdyke::routing;
using gingerdyke::test::vm_named;
using gingerdyke::test::vms_up_to;

namespace
{
std::size_t rank_of(std::size_t vm, const std::vector<fleet_member>& vms, std::uint64_t replica)
{
	fleet_list list;
	list.set(vm_named(vm), vms, instant{});
	return list.rank(replica);
}
} // namespace

TEST_CASE(
	"VMs with the same list have different ranks, and failure domains take turns", "[routing][fleet_list]")
{
	constexpr std::size_t vms = 31;
	constexpr std::size_t domains = 3;
	for (std::uint64_t replica = 1; replica <= 20; ++replica)
	{
		std::set<std::size_t> ranks;
		std::set<std::size_t> domains_of_first;
		for (std::size_t vm = 0; vm < vms; ++vm)
		{
			const auto rank = rank_of(vm, vms_up_to(vms), replica);
			CHECK(rank < vms);
			ranks.insert(rank);
			if (rank < domains)
			{
				domains_of_first.insert(vm % domains);
			}
		}
		CHECK(ranks.size() == vms);
		CHECK(domains_of_first.size() == domains);
	}
}

TEST_CASE("a VM added to the list brings no other one forward", "[routing][fleet_list]")
{
	constexpr std::size_t most = 24;
	for (std::uint64_t replica = 1; replica <= 20; ++replica)
	{
		for (std::size_t vm = 0; vm < most; ++vm)
		{
			for (auto count = vm + 1; count < most; ++count)
			{
				CHECK(rank_of(vm, vms_up_to(count), replica) <= rank_of(vm, vms_up_to(count + 1), replica));
			}
		}
	}
}
