// SPDX-License-Identifier: MIT
// Requests that VMs send to a new version in its trial beside the trial's share.
#include "../support/shift_vm.hpp"

using namespace gingerdyke;
using namespace gingerdyke::rollout;
using namespace gingerdyke::test;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace
{
constexpr double fleet_slack = 30;

shift_tuning with_slack()
{
	shift_tuning tuning;
	tuning.exposure_slack = fleet_slack;
	return tuning;
}

/// One VM of a fleet, which follows a shift of 20 s.
struct fleet_vm
{
	fleet_vm(std::size_t index, std::size_t vms) : one(index + 1, with_slack())
	{
		constexpr std::size_t failure_domains = 3;
		std::vector<routing::fleet_member> members;
		for (std::size_t other = 0; other < vms; ++other)
		{
			members.push_back({name_of(other), failure_domain_id{std::to_string(other % failure_domains)}});
		}
		fleet.set(name_of(index), members, one.now);
		one.show_new_version();
	}

	static vm_id name_of(std::size_t index) { return vm_id{"vm" + std::to_string(index)}; }

	/// Takes a request if there is one; the list of VMs is as fresh as the registry's news.
	bool take()
	{
		fleet.confirm(one.now);
		return one.shift.take_trial_request(service, fleet, one.now);
	}

	/// Number of trial requests that the VM takes in a time in which it gets 20 requests a second.
	unsigned count_taken(duration span)
	{
		constexpr duration pause = milliseconds{50};
		unsigned taken = 0;
		for (const auto until = one.now + span; one.now < until;)
		{
			one.pass(pause);
			taken += take() ? 1 : 0;
		}
		return taken;
	}

	vm one;
	routing::fleet_list fleet;
};
} // namespace

TEST_CASE("all VMs together take the planned number of trial requests", "[shift]")
{
	for (const std::size_t vms : {1, 7, 85, 340, 985})
	{
		unsigned taken = 0;
		for (std::size_t index = 0; index < vms; ++index)
		{
			fleet_vm vm{index, vms};
			begin(vm.one);
			taken += vm.count_taken(seconds{20});
		}
		CAPTURE(vms);
		CHECK(taken <= fleet_slack);
		CHECK(taken >= fleet_slack * 0.8);
	}
}

TEST_CASE("trial requests are taken during the trial only", "[shift]")
{
	fleet_vm vm{0, 1};
	begin(vm.one);
	CHECK(vm.count_taken(seconds{9}) == 0);
	CHECK(vm.count_taken(seconds{8}) > fleet_slack / 2);
	vm.one.pass(seconds{1});
	CHECK_FALSE(vm.take());
}

TEST_CASE("a VM that joins a trial late takes its part of the rest only", "[shift]")
{
	fleet_vm early{0, 1};
	begin(early.one);
	fleet_vm late{0, 1};
	late.one.pass(milliseconds{14500});
	late.one.shift.on_plan(*early.one.shift.plan_of(service), late.one.now);
	const auto taken = late.count_taken(seconds{5});
	CHECK(taken > 0);
	CHECK(taken < fleet_slack / 2);
}

TEST_CASE("no trial requests go to a suspended version, or to one without replicas", "[shift]")
{
	fleet_vm vm{0, 1};
	begin(vm.one);
	vm.one.pass(seconds{12});
	SECTION("suspended")
	{
		vm.one.shift.on_suspension({service, row_version{10}}, vm.one.now);
	}
	SECTION("without replicas")
	{
		vm.one.shift.set_replicas(service, {test::vm::replica_of("v1")});
	}
	CHECK_FALSE(vm.take());
}

TEST_CASE("a VM that does not know how many there are takes no trial requests", "[shift]")
{
	fleet_vm vm{0, 1};
	begin(vm.one);
	vm.one.pass(seconds{12});
	SECTION("the list is old")
	{
		routing::fleet_list old;
		old.set(
			fleet_vm::name_of(0), {{fleet_vm::name_of(0), failure_domain_id{"0"}}}, vm.one.now - seconds{12});
		old.confirm(vm.one.now - seconds{6});
		CHECK_FALSE(vm.one.shift.take_trial_request(service, old, vm.one.now));
	}
	SECTION("there is none")
	{
		routing::fleet_list none;
		none.confirm(vm.one.now);
		CHECK_FALSE(vm.one.shift.take_trial_request(service, none, vm.one.now));
	}
}
