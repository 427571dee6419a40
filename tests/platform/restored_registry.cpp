// SPDX-License-Identifier: MIT
// A registry that returned from an older copy: its versions went back, and are given out again.
#include "../support/registered_replicas.hpp"

using namespace gingerdyke;
using namespace gingerdyke::test;

namespace
{
/// Lets the registry's versions rise by many writes, and the VM learn of them.
void raise_versions(registered_replicas& replicas, int configuration_version)
{
	constexpr int writes = 50;
	for (int i = 0; i < writes; ++i)
	{
		replicas.rows.put("op", "note", {{"number", i}});
	}
	auto next = replicas.rows.value("op", "config");
	next["version"] = configuration_version;
	replicas.rows.put("op", "config", next);
	auto entry = replicas.rows.value("servers", "c0");
	entry["slots"] = 100 + configuration_version;
	replicas.rows.put("servers", "c0", entry);
	replicas.world.run_until(
		[&]
		{
			auto& vm = replicas.world.gateway();
			const auto known = vm.replicas().find(replica_id{"c0"});
			return vm.catalog()->version().value() == configuration_version &&
				   known->slots == entry["slots"].get<unsigned>();
		});
}

void set_state(platform::standin::registry& rows, const std::string& id, const char* state)
{
	auto entry = rows.value("servers", id);
	entry["state"] = state;
	rows.put("servers", id, entry);
}

bool is_draining(registered_replicas& replicas, const std::string& id)
{
	const auto known = replicas.world.gateway().replicas().find(replica_id{id});
	return known == nullptr || known->is_draining;
}
} // namespace

TEST_CASE("a replica that drains after the registry returned from an older copy gets no more requests",
	"[platform][restored]")
{
	registered_replicas replicas{{"b", "c"}};
	for (int round = 0; round < 2; ++round)
	{
		const auto id = "b" + std::to_string(round);
		replicas.rows.save_copy();
		raise_versions(replicas, 10 + round);
		replicas.rows.restore_copy();
		set_state(replicas.rows, id, "draining");
		replicas.world.run_until([&] { return is_draining(replicas, id); });
		CHECK(replicas.ask().starts_with("HTTP/1.1 200 "));
	}
}

TEST_CASE("a replica that drained before the registry returned from an older copy is not used again",
	"[platform][restored]")
{
	registered_replicas replicas{{"b", "c"}};
	replicas.rows.save_copy();
	set_state(replicas.rows, "b0", "draining");
	replicas.world.run_until([&] { return is_draining(replicas, "b0"); });
	raise_versions(replicas, 10);
	replicas.rows.restore_copy();
	set_state(replicas.rows, "b1", "draining");
	replicas.world.run_until([&] { return is_draining(replicas, "b1"); });
	CHECK(is_draining(replicas, "b0"));
}

TEST_CASE("a configuration from before the registry returned from an older copy stays in force",
	"[platform][restored]")
{
	registered_replicas replicas{{"b", "c"}};
	replicas.rows.save_copy();
	const auto version = [&] { return replicas.world.gateway().catalog()->version().value(); };
	raise_versions(replicas, 7);
	replicas.rows.restore_copy();
	set_state(replicas.rows, "b1", "draining");
	replicas.world.run_until([&] { return is_draining(replicas, "b1"); });
	CHECK(version() == 7);
	auto next = replicas.rows.value("op", "config");
	next["version"] = 9;
	replicas.rows.put("op", "config", next);
	replicas.world.run_until([&] { return version() == 9; });
}

TEST_CASE(
	"the VM registers again after the registry returned from a copy without its row", "[platform][restored]")
{
	registered_replicas replicas{{"b", "c"}, [](registered_replicas& before) { before.rows.save_copy(); }};
	const auto is_registered = [&] { return !replicas.rows.value("gingerdyke", "vm/vm1").is_null(); };
	replicas.world.run_until(is_registered);
	raise_versions(replicas, 10);
	replicas.rows.restore_copy();
	CHECK_FALSE(is_registered());
	replicas.world.run_until(is_registered);
}

TEST_CASE("a write that an earlier era acknowledges late is not taken for done", "[platform][restored]")
{
	proxy_world world;
	platform::standin::registry rows{world.context};
	platform::registry_client client{world.context, rows.at()};
	std::optional<bool> is_committed;
	const auto write = [&]
	{
		is_committed.reset();
		control::row_change change;
		change.puts.push_back({"gingerdyke", "k", "v"});
		client.change(change, [&](const control::store_result<control::change_result>& result)
			{ is_committed = result && result->committed; });
		world.run_until([&] { return is_committed.has_value(); });
		return *is_committed;
	};
	CHECK(write());
	rows.answer_as_era(2);
	CHECK(write());
	rows.answer_as_era(1);
	CHECK_FALSE(write());
}
