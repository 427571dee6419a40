// SPDX-License-Identifier: MIT
// The order of the VMs for a replica, as each VM computes it.
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

TEST_CASE("VMs with the same list have distinct ranks, and the order alternates between failure domains",
	"[routing][fleet_list]")
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

TEST_CASE("adding a VM to the list lowers the rank of no other VM", "[routing][fleet_list]")
{
	constexpr std::size_t max_count = 24;
	for (std::uint64_t replica = 1; replica <= 20; ++replica)
	{
		for (std::size_t vm = 0; vm < max_count; ++vm)
		{
			for (auto count = vm + 1; count < max_count; ++count)
			{
				CHECK(rank_of(vm, vms_up_to(count), replica) <= rank_of(vm, vms_up_to(count + 1), replica));
			}
		}
	}
}
