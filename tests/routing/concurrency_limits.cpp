// SPDX-License-Identifier: MIT
// All VMs together never have more requests in progress at a brittle replica than it has slots.
#include <catch2/catch.hpp>
#include <gingerdyke/routing/concurrency_limits.hpp>

using namespace gingerdyke;
using namespace gingerdyke::routing;
using std::chrono::seconds;

namespace
{
replica make_replica(const std::string& id, unsigned slots)
{
	replica made;
	made.id = replica_id{id};
	made.service = service_id{"plain"};
	made.slots = slots;
	return made;
}

std::vector<fleet_member> make_members(std::size_t count)
{
	std::vector<fleet_member> members;
	for (std::size_t i = 0; i < count; ++i)
	{
		members.push_back({vm_id{"vm" + std::to_string(i)}, failure_domain_id{std::to_string(i % 3)}});
	}
	return members;
}

/// One VM of a fleet that has known the whole fleet for a while.
struct limited_vm
{
	limited_vm(const vm_id& self, const std::vector<fleet_member>& members)
	{
		list.set(self, members, known_since);
		list.confirm(now);
	}

	/// Requests that it may have in progress at a replica.
	[[nodiscard]] unsigned share(const replica& target) const
	{
		unsigned in_progress = 0;
		while (in_progress <= target.slots && limits.allows_request(target, in_progress, now))
		{
			++in_progress;
		}
		return in_progress;
	}

	instant known_since{seconds{100}};
	instant now{seconds{200}};
	fleet_list list;
	std::vector<bool> announced;
	concurrency_limits limits{list,
		[this](const replica&, std::optional<double> limit) { announced.push_back(limit.has_value()); }};
};
} // namespace

TEST_CASE("the shares of a brittle replica's slots add up to less than all of them", "[limits]")
{
	for (const std::size_t vms : {1U, 7U, 65U, 340U, 985U})
	{
		const auto members = make_members(vms);
		for (const unsigned slots : {1U, 6U, 64U})
		{
			const auto target = make_replica("r1", slots);
			unsigned sum = 0;
			for (const auto& member : members)
			{
				limited_vm vm{member.id, members};
				vm.limits.record_response(target, 1.0, vm.now, vm.now);
				sum += vm.share(target);
			}
			CHECK(sum >= 1);
			CHECK(sum == std::max(1U, slots - std::max(1U, slots / 10)));
		}
	}
}

TEST_CASE("a VM that other VMs don't know yet sends nothing to a brittle replica", "[limits]")
{
	const auto members = make_members(3);
	limited_vm vm{members.front().id, members};
	const auto target = make_replica("r1", 30);
	vm.limits.record_response(target, 2.0, vm.now, vm.now);
	CHECK(vm.limits.allows_request(target, 0, vm.now));
	CHECK_FALSE(vm.limits.allows_request(target, 0, vm.known_since + seconds{1}));
}

TEST_CASE("a replica is brittle until a later request is answered without the statement", "[limits]")
{
	const auto members = make_members(2);
	limited_vm vm{members.front().id, members};
	const auto target = make_replica("r1", 4);
	vm.limits.record_response(target, 2.0, vm.now, vm.now);
	vm.limits.record_response(target, std::nullopt, vm.now - seconds{1}, vm.now);
	CHECK(vm.limits.is_limited(target));
	CHECK(vm.limits.is_any_limited(service_id{"plain"}));
	vm.limits.record_response(target, std::nullopt, vm.now + seconds{1}, vm.now + seconds{1});
	CHECK_FALSE(vm.limits.is_limited(target));
	CHECK(vm.announced == std::vector<bool>{true, false});
}

TEST_CASE(
	"replicas that have not answered are taken for brittle while others of their service are", "[limits]")
{
	const auto members = make_members(2);
	limited_vm vm{members.front().id, members};
	const auto brittle = make_replica("r1", 4);
	const auto unknown = make_replica("r2", 4);
	auto other = make_replica("r3", 4);
	other.service = service_id{"other"};
	vm.limits.record_response(brittle, 2.0, vm.now, vm.now);
	CHECK(vm.limits.is_limited(unknown));
	CHECK_FALSE(vm.limits.is_limited(other));
	vm.limits.record_response(unknown, std::nullopt, vm.now, vm.now);
	CHECK_FALSE(vm.limits.is_limited(unknown));
	CHECK(vm.limits.is_limited(brittle));
}

TEST_CASE("after a rejection a VM waits until the other VMs have had their turn", "[limits]")
{
	const auto target = make_replica("r1", 4);
	const auto few = make_members(2);
	limited_vm of_few{few.front().id, few};
	of_few.limits.record_response(target, 4.0, of_few.now, of_few.now);
	CHECK(of_few.limits.rejection_backoff(target) == seconds{1});
	const auto many = make_members(340);
	limited_vm of_many{many.front().id, many};
	of_many.limits.record_response(target, 1.0, of_many.now, of_many.now);
	CHECK(of_many.limits.rejection_backoff(target) == seconds{5});
}
