// SPDX-License-Identifier: MIT
// VMs that start read replicas, orders and plans in any order.
#include "../support/shift_vm.hpp"

#include <algorithm>
#include <array>
#include <functional>

using namespace gingerdyke;
using namespace gingerdyke::rollout;
using namespace gingerdyke::test;
using std::chrono::seconds;

namespace
{
std::vector<routing::replica_ptr> replicas_of(unsigned old_version, unsigned new_version)
{
	std::vector<routing::replica_ptr> all;
	for (unsigned i = 0; i < old_version + new_version; ++i)
	{
		const auto one = std::make_shared<routing::replica>();
		one->service = service;
		one->version = i < old_version ? "v1" : "v2";
		all.push_back(one);
	}
	return all;
}

/// A VM that has started and read nothing yet.
struct started_vm : vm
{
	explicit started_vm(std::uint64_t seed) : vm(seed)
	{
		shift = version_shift{seeded_random{seed}, [](const shift_event&) {}};
		hear();
	}
};

shift_plan plan_within_one_version(shift_state state)
{
	shift_plan plan;
	plan.service = service;
	plan.from_version = "v2";
	plan.to_version = "v2";
	plan.length = seconds{20};
	plan.order = row_version{10};
	plan.row = row_version{11};
	plan.state = state;
	return plan;
}
} // namespace

// An order was given while all VMs were down; the new version had more entries than the old one, was taken
// for the version in use, and the service stayed on it when its replicas had gone.
TEST_CASE("a version is not taken for the one in use where it has been ordered", "[shift]")
{
	const auto stored = GENERATE(0, 1, 2);
	std::array<int, 3> read{0, 1, 2};
	do
	{
		CAPTURE(stored, read[0], read[1], read[2]);
		started_vm one{1};
		const std::array<std::function<void()>, 3> tables{[&]
			{ one.shift.set_replicas(service, replicas_of(2, 3)); },
			[&] {
				one.shift.on_order({service, "v2", seconds{20}, row_version{10}}, one.now);
			},
			[&]
			{
				if (stored > 0)
				{
					const auto state = stored == 1 ? shift_state::running : shift_state::rolled_back;
					one.shift.on_plan(plan_within_one_version(state), one.now);
				}
			}};
		for (const auto table : read)
		{
			tables.at(static_cast<std::size_t>(table))();
		}
		CHECK(one.shift.version_for(service, 5, one.now) == "v1");
		const auto plan = written(one, 12);
		CHECK(plan.from_version == "v1");
		CHECK(plan.to_version == "v2");
	} while (std::next_permutation(read.begin(), read.end()));
}

// The registry gives its versions out anew, so a plan that names an earlier one could never be written.
TEST_CASE("a replaced plan's row is forgotten when the registry returns from an older copy", "[shift]")
{
	started_vm one{1};
	one.shift.set_replicas(service, replicas_of(2, 3));
	one.shift.on_plan(plan_within_one_version(shift_state::running), one.now);
	one.shift.on_registry_restored(one.now);
	one.shift.on_order({service, "v2", seconds{20}, row_version{5}}, one.now);
	CHECK(written(one, 6).from_version == "v1");
	for (const auto& write : one.shift.due(one.now + seconds{2}))
	{
		REQUIRE(write.plan);
		CHECK(write.plan->row == row_version{0});
	}
}

TEST_CASE("a plan is written once the version in use has an entry again", "[shift]")
{
	started_vm one{1};
	one.shift.set_replicas(service, replicas_of(0, 3));
	one.shift.on_order({service, "v2", seconds{20}, row_version{10}}, one.now);
	for (int i = 0; i < 20; ++i)
	{
		one.pass(std::chrono::milliseconds{100});
		CHECK(one.shift.due(one.now).empty());
	}
	one.shift.set_replicas(service, replicas_of(1, 3));
	CHECK(written(one, 12).from_version == "v1");
	CHECK(one.shift.version_for(service, 5, one.now) == "v1");
}

// The order's row was gone and only an older build's plan told of it: the new version, with more entries, was
// taken for the one in use.
TEST_CASE("a version is not taken for the one in use where only a stored plan names it", "[shift]")
{
	const auto state = GENERATE(shift_state::running, shift_state::rolled_back);
	const bool is_plan_first = GENERATE(false, true);
	CAPTURE(name_of(state), is_plan_first);
	started_vm one{1};
	if (is_plan_first)
	{
		one.shift.on_plan(plan_within_one_version(state), one.now);
	}
	one.shift.set_replicas(service, replicas_of(2, 3));
	if (!is_plan_first)
	{
		one.shift.on_plan(plan_within_one_version(state), one.now);
	}
	CHECK(one.shift.version_for(service, 5, one.now) == "v1");
}

// A plan within one version that was declared completed has had the other version's replicas stopped.
TEST_CASE("a service stays on the version of a completed plan within it", "[shift]")
{
	started_vm one{1};
	one.shift.on_plan(plan_within_one_version(shift_state::completed), one.now);
	one.shift.set_replicas(service, replicas_of(0, 3));
	CHECK(one.shift.version_for(service, 5, one.now) == "v2");
}

// A VM of an older build wrote its plan over the one in force, which could then never be written again.
TEST_CASE("a plan in force is written over an older build's plan within one version", "[shift]")
{
	vm one{1};
	begin(one);
	auto stored = plan_within_one_version(shift_state::rolled_back);
	stored.row = row_version{20};
	one.shift.on_plan(stored, one.now);
	const auto rewritten = written(one, 21);
	CHECK(rewritten.from_version == "v1");
	CHECK(rewritten.state == shift_state::running);
	for (const auto& write : one.shift.due(one.now + seconds{2}))
	{
		REQUIRE(write.plan);
		CHECK(write.plan->row == row_version{20});
	}
	one.shift.on_plan(rewritten, one.now);
	one.pass(seconds{2});
	CHECK(one.shift.due(one.now).empty());
}

// Replicas that drain after a roll-back outnumbered those in use, and their version was taken for the one in
// use by a VM that started.
TEST_CASE("a version whose replicas all drain is not taken for the one in use", "[shift]")
{
	started_vm one{1};
	auto all = replicas_of(2, 0);
	for (int i = 0; i < 3; ++i)
	{
		auto draining = std::make_shared<routing::replica>(*all.front());
		draining->version = "v2";
		draining->is_draining = true;
		all.push_back(draining);
	}
	one.shift.set_replicas(service, all);
	CHECK(one.shift.version_for(service, 5, one.now) == "v1");
}
