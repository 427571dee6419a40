// SPDX-License-Identifier: MIT
// The version that requests would go to has no replicas, for a while or for good.
#include "../support/shift_vm.hpp"

using namespace gingerdyke;
using namespace gingerdyke::rollout;
using namespace gingerdyke::test;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace
{
/// One replica of each version.
std::vector<routing::replica_ptr> replicas_of(std::initializer_list<const char*> versions)
{
	std::vector<routing::replica_ptr> all;
	for (const auto* version : versions)
	{
		const auto one = std::make_shared<routing::replica>();
		one->service = service;
		one->version = version;
		all.push_back(one);
	}
	return all;
}

/// Successful responses of the new version, as one alone gives them.
void serve_alone(vm& one, duration span)
{
	for (const auto until = one.now + span; one.now < until;)
	{
		one.see("v2", 5, 0);
		one.pass(milliseconds{250});
	}
}
} // namespace

// All replicas of the old version went dark during a shift: every request was refused although the new
// version had replicas.
TEST_CASE("the new version serves while the old one has no replicas", "[shift]")
{
	vm one{1};
	one.shift.set_replicas(service, replicas_of({"v1", "v2", "v2"}));
	begin(one);
	REQUIRE(measured_share(one) == 0);
	one.shift.set_replicas(service, replicas_of({"v2", "v2"}));
	CHECK(measured_share(one) == 1);
	for (const auto& replica : replicas_of({"v2", "v2"}))
	{
		CHECK(one.shift.is_in_use(*replica, one.now));
	}
	one.shift.set_replicas(service, replicas_of({"v1", "v2", "v2"}));
	CHECK(measured_share(one) == 0);
}

// The new version was rolled back as unproven while the old one had no replicas; its own were removed, and
// none were left.
TEST_CASE("a version is not rolled back as unproven while no other one has replicas", "[shift]")
{
	vm one{1};
	one.shift.set_replicas(service, replicas_of({"v1", "v2", "v2"}));
	begin(one);
	one.pass(seconds{5});
	one.shift.set_replicas(service, replicas_of({"v2", "v2"}));
	one.pass(seconds{20});
	CHECK(one.shift.due(one.now).empty());
	CHECK(measured_share(one) == 1);
	one.shift.set_replicas(service, replicas_of({"v1", "v2", "v2"}));
	CHECK(written(one, 12).state == shift_state::rolled_back);
}

TEST_CASE("a good version is completed after the old one has lost all of its replicas", "[shift]")
{
	vm one{1};
	one.shift.set_replicas(service, replicas_of({"v1", "v2", "v2"}));
	begin(one);
	one.see("v1", 100, 0);
	one.pass(seconds{5});
	one.shift.set_replicas(service, replicas_of({"v2", "v2"}));
	serve_alone(one, seconds{12});
	const auto promoted = written(one, 12);
	REQUIRE(promoted.promoted);
	one.shift.on_plan(promoted, one.now);
	serve_alone(one, seconds{3});
	CHECK(written(one, 13).state == shift_state::completed);
}

TEST_CASE("a version found bad does not serve although no other one has replicas", "[shift]")
{
	vm one{1};
	one.shift.set_replicas(service, replicas_of({"v1", "v2", "v2"}));
	begin(one);
	one.see("v1", 100, 0);
	one.shift.set_replicas(service, replicas_of({"v2", "v2"}));
	one.see("v2", 40, 30);
	CHECK(measured_share(one) == 0);
	auto rolled_back = written(one, 12);
	CHECK(rolled_back.state == shift_state::rolled_back);
	one.shift.on_plan(rolled_back, one.now);
	CHECK(measured_share(one) == 0);
}

// The old version's failures were too frequent for a verdict, and want of proof no longer counted while the
// new version was alone: it kept all requests with two fifths of them failing.
TEST_CASE("a version with bad responses is rolled back for want of proof although it is alone", "[shift]")
{
	vm one{1};
	one.shift.set_replicas(service, replicas_of({"v1", "v2", "v2"}));
	begin(one);
	one.see("v1", 100, 40);
	one.shift.set_replicas(service, replicas_of({"v2", "v2"}));
	one.see("v2", 30, 12);
	CHECK(measured_share(one) == 1);
	one.pass(milliseconds{3500});
	CHECK(written(one, 12).state == shift_state::rolled_back);
}

// The version in use had no entries before a plan was written: it was kept, and every request was refused.
TEST_CASE("the ordered version serves before its plan is written if no other one has replicas", "[shift]")
{
	vm one{1};
	one.shift.on_order({service, "v2", seconds{20}, row_version{10}}, one.now);
	one.shift.set_replicas(service, replicas_of({"v2", "v2"}));
	CHECK(one.shift.version_for(service, 5, one.now) != "v1");
	one.shift.set_replicas(service, replicas_of({"v1", "v2", "v2"}));
	CHECK(one.shift.version_for(service, 5, one.now) == "v1");
	CHECK(written(one, 11).from_version == "v1");
}

// After a shift the replicas were replaced by those of a third version without an order.
TEST_CASE("a third version serves once neither version of an ended shift has replicas", "[shift]")
{
	const auto state = GENERATE(shift_state::completed, shift_state::rolled_back);
	vm one{1};
	auto plan = begin(one);
	plan.row = row_version{12};
	plan.state = state;
	one.shift.on_plan(plan, one.now);
	one.shift.set_replicas(service, replicas_of({"v3", "v3"}));
	CHECK(one.shift.version_for(service, 5, one.now) == "v3");
}

TEST_CASE("each change of the version that serves is reported once", "[shift]")
{
	std::vector<version_change> changes;
	version_shift shift{seeded_random{1}, [](const shift_event&) {}, {},
		[&](const version_change& change) { changes.push_back(change); }};
	const instant now{seconds{1000}};
	shift.set_replicas(service, replicas_of({"v1", "v1"}));
	shift.set_replicas(service, replicas_of({"v1", "v2", "v2"}));
	shift.on_order({service, "v2", seconds{20}, row_version{10}}, now);
	shift.set_replicas(service, replicas_of({"v2", "v2"}));
	shift.set_replicas(service, replicas_of({"v1", "v2", "v2"}));
	REQUIRE(changes.size() == 3);
	CHECK(changes[0].version == "v1");
	CHECK_FALSE(changes[0].is_substitute);
	CHECK(changes[1].version.empty());
	CHECK(changes[1].is_substitute);
	CHECK(changes[1].replicas.at("v2") == 2);
	CHECK(changes[2].version == "v1");
}
