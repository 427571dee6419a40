// SPDX-License-Identifier: MIT
// Moving a service from one version to another: traffic shares, evidence, and which VM writes what.
#include "../support/shift_vm.hpp"

#include <algorithm>

using namespace gingerdyke;
using namespace gingerdyke::rollout;
using namespace gingerdyke::test;
using std::chrono::milliseconds;
using std::chrono::seconds;

TEST_CASE("without an order all traffic goes to the existing version", "[shift]")
{
	vm local_vm{1};
	CHECK(local_vm.shift.version_for(service, 5, local_vm.now) == "v1");
	const auto new_replica = std::make_shared<routing::replica>();
	new_replica->service = service;
	new_replica->version = "v2";
	const auto old_replica = std::make_shared<routing::replica>();
	old_replica->service = service;
	old_replica->version = "v1";
	local_vm.shift.set_replicas(service, {new_replica, new_replica, old_replica});
	CHECK(local_vm.shift.version_for(service, 5, local_vm.now) == "v1");
}

TEST_CASE(
	"a good shift: no traffic in the first half, then a small share, then all, then completed", "[shift]")
{
	vm local_vm{1};
	const auto plan = begin(local_vm);
	CHECK(plan.from_version == "v1");
	CHECK(plan.state == shift_state::running);
	CHECK(measured_share(local_vm) == 0);
	local_vm.pass(seconds{9});
	CHECK(measured_share(local_vm) == 0);
	local_vm.pass(milliseconds{1500});
	CHECK(measured_share(local_vm) == Approx(0.056).margin(0.002));
	local_vm.pass(milliseconds{6500});
	CHECK(measured_share(local_vm) == Approx(0.056).margin(0.002));
	promote(local_vm);
	local_vm.pass(milliseconds{600});
	CHECK(measured_share(local_vm) > 0.5);
	local_vm.pass(milliseconds{500});
	CHECK(measured_share(local_vm) == 1);
	local_vm.pass(milliseconds{1200});
	const auto last = written(local_vm, 13);
	CHECK(last.state == shift_state::completed);
	CHECK(last.row == row_version{13});
	local_vm.shift.on_plan(last, local_vm.now);
	CHECK(local_vm.shift.version_for(service, 1, local_vm.now) == "v2");
	CHECK_FALSE(local_vm.shift.next_due());
}

TEST_CASE("a session that is on the new version stays there while the share grows", "[shift]")
{
	vm local_vm{1};
	begin(local_vm);
	std::vector<std::uint64_t> on_new;
	constexpr int step_after_trial = 42;
	for (int step = 0; step < 46; ++step)
	{
		local_vm.pass(milliseconds{400});
		if (step == step_after_trial)
		{
			promote(local_vm);
		}
		for (const auto point : on_new)
		{
			REQUIRE(local_vm.shift.version_for(service, point, local_vm.now) == "v2");
		}
		for (std::uint64_t i = 0; i < 64; ++i)
		{
			const auto point = i << 58U;
			if (local_vm.shift.version_for(service, point, local_vm.now) == "v2")
			{
				on_new.push_back(point);
			}
		}
	}
	CHECK(on_new.size() > 64);
}

TEST_CASE("two VMs compute the same version for the same session", "[shift]")
{
	vm local_vm{1};
	const auto plan = begin(local_vm);
	vm other_vm{2};
	other_vm.now = local_vm.now;
	other_vm.hear();
	other_vm.shift.on_plan(plan, other_vm.now);
	local_vm.pass(milliseconds{17100});
	other_vm.pass(milliseconds{17100});
	const auto promoted = promote(local_vm);
	other_vm.pass(local_vm.now - other_vm.now);
	other_vm.shift.on_plan(promoted, other_vm.now);
	local_vm.pass(milliseconds{300});
	other_vm.pass(milliseconds{300});
	CHECK(measured_share(local_vm) > 0.1);
	CHECK(measured_share(local_vm) < 1);
	for (std::uint64_t i = 0; i < 64; ++i)
	{
		CHECK(local_vm.shift.version_for(service, i << 58U, local_vm.now) ==
			  other_vm.shift.version_for(service, i << 58U, other_vm.now));
	}
}

TEST_CASE("a version that fails is suspended at once and rolled back", "[shift]")
{
	vm local_vm{1};
	begin(local_vm);
	local_vm.see("v1", 100, 0);
	local_vm.pass(seconds{11});
	local_vm.see("v2", 10, 6);
	CHECK(measured_share(local_vm) == 0);
	CHECK(written(local_vm, 12).state == shift_state::rolled_back);
}

TEST_CASE("failures that the old version has as well are not attributed to the new one", "[shift]")
{
	vm local_vm{1};
	begin(local_vm);
	local_vm.see("v1", 200, 28);
	local_vm.pass(seconds{11});
	local_vm.see("v2", 50, 8);
	CHECK(measured_share(local_vm) > 0);
}

TEST_CASE("evidence of several VMs together suspends where none alone would", "[shift]")
{
	vm local_vm{1};
	const auto plan = begin(local_vm);
	local_vm.see("v1", 100, 0);
	local_vm.pass(seconds{11});
	local_vm.see("v2", 4, 3);
	CHECK(measured_share(local_vm) > 0);
	local_vm.shift.on_evidence("a", failures(plan, 4, 3, 1), local_vm.now);
	local_vm.shift.on_evidence("b", failures(plan, 4, 3, 2), local_vm.now);
	local_vm.shift.on_evidence("c", failures(plan, 4, 3, 3), local_vm.now);
	CHECK(measured_share(local_vm) == 0);
}

TEST_CASE("a VM that reads for others writes their evidence with its own, and only as it grows", "[shift]")
{
	vm local_vm{1};
	const auto plan = begin(local_vm);
	local_vm.see("v1", 100, 0);
	local_vm.pass(seconds{11});
	const auto evidence_due = [&]
	{
		local_vm.pass(milliseconds{400});
		std::vector<reported_evidence> all;
		for (auto& write : local_vm.shift.due(local_vm.now))
		{
			all.insert(all.end(), write.evidence.begin(), write.evidence.end());
		}
		return all;
	};
	const auto relay = [&](const char* reporter, std::uint64_t responses, std::uint64_t failed)
	{ local_vm.shift.on_relayed_evidence(reporter, failures(plan, responses, failed), local_vm.now); };
	relay("a", 20, 0);
	CHECK(evidence_due().empty());
	// Fewer responses are bad than tolerated: a good version's failures are not written.
	relay("a", 40, 1);
	CHECK(evidence_due().empty());
	relay("a", 41, 12);
	local_vm.see("v2", 20, 0);
	const auto first = evidence_due();
	REQUIRE(first.size() == 2);
	CHECK(first[0].reporter.empty());
	CHECK(first[1].reporter == "a");
	CHECK(first[1].evidence.seen.by_route.at("route").new_version.sum() == response_counts{41, 12});
	relay("a", 50, 13);
	relay("a", 45, 20);
	CHECK(evidence_due().empty());
	relay("b", 30, 8);
	CHECK(evidence_due().size() == 2);
	local_vm.shift.set_reads_registry(false);
	relay("b", 60, 20);
	CHECK(evidence_due().empty());
}

TEST_CASE("evidence that is relayed and also read from the registry counts once", "[shift]")
{
	vm local_vm{1};
	const auto plan = begin(local_vm);
	local_vm.see("v1", 100, 0);
	local_vm.pass(seconds{11});
	const auto seen = failures(plan, 4, 2);
	for (int i = 0; i < 20; ++i)
	{
		local_vm.shift.on_relayed_evidence("a", seen, local_vm.now);
		local_vm.shift.on_evidence("a", seen, local_vm.now);
	}
	CHECK(measured_share(local_vm) > 0);
}

TEST_CASE("another VM's verdict suspends here too, and a reader writes it first", "[shift]")
{
	vm local_vm{1};
	const auto plan = begin(local_vm);
	local_vm.pass(seconds{11});
	local_vm.shift.on_suspension({service, row_version{9}}, local_vm.now);
	CHECK(measured_share(local_vm) > 0);
	local_vm.shift.set_reads_registry(false);
	local_vm.shift.on_suspension({service, plan.order}, local_vm.now);
	CHECK(measured_share(local_vm) == 0);
	REQUIRE(local_vm.shift.suspensions().size() == 1);
	CHECK(*local_vm.shift.next_due() - local_vm.now >= milliseconds{900});
}

TEST_CASE("a version that is several times slower is suspended, cold caches are not", "[shift]")
{
	vm local_vm{1};
	begin(local_vm);
	for (unsigned i = 0; i < 300; ++i)
	{
		local_vm.see("v1", 1, 0, 1 + 0.01 * (i % 100));
	}
	local_vm.pass(seconds{11});
	SECTION("cold caches: a quarter of the responses take twice as long")
	{
		for (unsigned i = 0; i < 60; ++i)
		{
			local_vm.see("v2", 1, 0, i % 4 == 0 ? 3 : 1.2);
		}
		CHECK(measured_share(local_vm) > 0);
	}
	SECTION("eight times slower")
	{
		local_vm.see("v2", 30, 0, 8);
		CHECK(measured_share(local_vm) == 0);
	}
}

TEST_CASE("without contact with the registry the share stays, and nothing is declared completed", "[shift]")
{
	vm local_vm{1};
	begin(local_vm);
	local_vm.pass(milliseconds{11500});
	const auto share = measured_share(local_vm);
	local_vm.now += seconds{60};
	CHECK(measured_share(local_vm) < 1);
	CHECK(measured_share(local_vm) >= share);
	for (const auto& write : local_vm.shift.due(local_vm.now))
	{
		CHECK_FALSE(write.plan);
	}
}

TEST_CASE("an older plan is ignored, and another VM's newer plan replaces this VM's", "[shift]")
{
	vm local_vm{1};
	auto plan = begin(local_vm);
	auto rolled_back_plan = plan;
	rolled_back_plan.state = shift_state::rolled_back;
	rolled_back_plan.row = row_version{20};
	local_vm.shift.on_plan(rolled_back_plan, local_vm.now);
	local_vm.shift.on_plan(plan, local_vm.now);
	local_vm.pass(seconds{13});
	CHECK(measured_share(local_vm) == 0);
	CHECK_FALSE(local_vm.shift.next_due());
}

TEST_CASE("a version stays rolled back after the registry returned from an older copy", "[shift][restored]")
{
	vm local_vm{1};
	const auto running = begin(local_vm);
	auto rolled_back_plan = running;
	rolled_back_plan.state = shift_state::rolled_back;
	rolled_back_plan.row = row_version{20};
	local_vm.shift.on_plan(rolled_back_plan, local_vm.now);
	local_vm.shift.on_registry_restored(local_vm.now);
	SECTION("the copy holds the plan as it was before")
	{
		local_vm.shift.on_plan(running, local_vm.now);
	}
	SECTION("the copy holds no plan") {}
	CHECK(measured_share(local_vm) == 0);
	const auto next = written(local_vm, 12);
	CHECK(next.state == shift_state::rolled_back);
	local_vm.shift.on_plan(next, local_vm.now);
	CHECK(measured_share(local_vm) == 0);
	local_vm.pass(seconds{2});
	CHECK_FALSE(local_vm.shift.next_due());
}

TEST_CASE(
	"a completed version stays in use after the registry returned from an older copy", "[shift][restored]")
{
	vm local_vm{1};
	const auto running = begin(local_vm);
	auto completed = running;
	completed.state = shift_state::completed;
	completed.row = row_version{20};
	local_vm.shift.on_plan(completed, local_vm.now);
	local_vm.shift.on_registry_restored(local_vm.now);
	local_vm.shift.on_plan(running, local_vm.now);
	CHECK(measured_share(local_vm) == 1);
	CHECK(written(local_vm, 12).state == shift_state::completed);
}

TEST_CASE("a new order after a completed one begins a new shift from the current version", "[shift]")
{
	vm local_vm{1};
	auto plan = begin(local_vm);
	plan.state = shift_state::completed;
	plan.row = row_version{20};
	local_vm.shift.on_plan(plan, local_vm.now);
	local_vm.shift.on_order({service, "v3", seconds{20}, row_version{30}}, local_vm.now);
	const auto next = written(local_vm, 31);
	CHECK(next.from_version == "v2");
	CHECK(next.to_version == "v3");
}

TEST_CASE("a shift's time runs from the order, not from the writing of its plan", "[shift]")
{
	vm local_vm{1};
	local_vm.shift.on_order({service, "v2", seconds{20}, row_version{10}}, local_vm.now);
	const auto ordered = local_vm.now.time_since_epoch() + seconds{7};
	CHECK(written(local_vm, 11).started == ordered);
}

TEST_CASE(
	"a VM that knows the replicas before it learns of a shift uses as few of the new ones as the others",
	"[shift]")
{
	const auto replicas = [](const char* version, unsigned count)
	{
		std::vector<routing::replica_ptr> created;
		for (unsigned i = 0; i < count; ++i)
		{
			const auto replica = std::make_shared<routing::replica>();
			replica->id = replica_id{std::string{version} + "-" + std::to_string(i)};
			replica->service = service;
			replica->version = version;
			created.push_back(replica);
		}
		return created;
	};
	const auto new_replicas = replicas("v2", 100);
	auto all = replicas("v1", 100);
	all.insert(all.end(), new_replicas.begin(), new_replicas.end());
	vm early{1};
	const auto plan = begin(early);
	early.shift.set_replicas(service, all);
	// A restarted VM reads the replicas, then the order and the plan; no replica changes after that.
	vm restarted{2};
	restarted.shift.set_replicas(service, all);
	restarted.shift.on_order({service, "v2", seconds{20}, row_version{10}}, restarted.now);
	restarted.shift.on_plan(plan, restarted.now);
	early.pass(milliseconds{10500});
	restarted.pass(milliseconds{10500});
	const auto used = [&new_replicas](const vm& follower)
	{
		return std::count_if(new_replicas.begin(), new_replicas.end(),
			[&follower](const auto& replica) { return follower.shift.is_in_use(*replica, follower.now); });
	};
	CHECK(used(early) < 30);
	CHECK(used(restarted) == used(early));
}
