// SPDX-License-Identifier: MIT
// Decoding of replica rows, which may hold any bytes: valid rows yield a replica, all others a finding.
#include "../support/controlled_vm.hpp"
#include <limits>
#include <row_codec.hpp>

using namespace gingerdyke;
using namespace gingerdyke::test;

namespace
{
json valid_row()
{
	return {{"service", "x"}, {"address", "127.0.0.1:9"}, {"zone", "a"}, {"version", "v1"}, {"slots", 64},
		{"state", "ready"}, {"cold_remaining_ms", 0}, {"sequence", 4}, {"born", 1780000000123}};
}

control::row row_of(const std::string& value)
{
	return {"servers", "r1", value, control::row_version{5}, false};
}

bool is_accepted(const json& entry)
{
	return platform::read_replica(row_of(entry.dump())).has_value();
}
} // namespace

TEST_CASE("a replica row is decoded with the start time of the replica", "[platform][entries]")
{
	const auto read = platform::read_replica(row_of(valid_row().dump()));
	REQUIRE(read);
	CHECK(read->id.str() == "r1");
	CHECK(read->service.str() == "x");
	CHECK(read->domain.str() == "a");
	CHECK(read->version == "v1");
	CHECK(read->slots == 64);
	CHECK_FALSE(read->is_draining);
	CHECK(read->incarnation.value() == 1780000000123);
	auto without_born = valid_row();
	without_born.erase("born");
	CHECK(platform::read_replica(row_of(without_born.dump()))->incarnation.value() == 0);
}

TEST_CASE("a row with a missing field or a field of the wrong type is rejected", "[platform][entries]")
{
	for (const auto* field : {"service", "address", "zone", "version", "slots", "state"})
	{
		CAPTURE(field);
		auto entry = valid_row();
		entry.erase(field);
		CHECK_FALSE(is_accepted(entry));
		for (const auto& replacement : {json{nullptr}, json(7.5), json(-3), json(true),
				 json::array({"ready"}), json::object({{"a", 1}}), json("")})
		{
			CAPTURE(replacement.dump());
			entry[field] = replacement;
			// An empty failure domain is accepted: it matches no other failure domain.
			CHECK(is_accepted(entry) == (std::string_view{field} == "zone" && replacement.is_string()));
		}
	}
	for (const auto& replacement : {json(7.5), json(-3), json("1780000000123"), json(nullptr), json(true)})
	{
		CAPTURE(replacement.dump());
		auto entry = valid_row();
		entry["born"] = replacement;
		CHECK_FALSE(is_accepted(entry));
	}
	for (const auto& replacement : {json(7.5), json(-3), json("0"), json(nullptr), json(true)})
	{
		CAPTURE(replacement.dump());
		auto entry = valid_row();
		entry["cold_remaining_ms"] = replacement;
		CHECK_FALSE(is_accepted(entry));
	}
	auto too_many_slots = valid_row();
	too_many_slots["slots"] = 1ULL << 40U;
	CHECK_FALSE(is_accepted(too_many_slots));
}

TEST_CASE("the remaining cold time of a replica row is optional", "[platform][entries][slow_start]")
{
	auto entry = valid_row();
	CHECK(platform::read_replica(row_of(entry.dump()))->remaining_warmup == duration{0});
	entry["cold_remaining_ms"] = 2750;
	CHECK(platform::read_replica(row_of(entry.dump()))->remaining_warmup == std::chrono::milliseconds{2750});
	entry["cold_remaining_ms"] = std::numeric_limits<std::uint64_t>::max();
	CHECK(platform::read_replica(row_of(entry.dump()))->remaining_warmup == std::chrono::hours{24});
	entry.erase("cold_remaining_ms");
	CHECK_FALSE(platform::read_replica(row_of(entry.dump()))->remaining_warmup);
}

TEST_CASE("a row with an unknown state is rejected", "[platform][entries]")
{
	auto entry = valid_row();
	entry["state"] = "draining";
	CHECK(platform::read_replica(row_of(entry.dump()))->is_draining);
	for (const auto* state : {"paused", "READY", "starting", "ready "})
	{
		entry["state"] = state;
		CHECK_FALSE(is_accepted(entry));
	}
}

TEST_CASE("a value that is not a JSON object is rejected with a finding", "[platform][entries]")
{
	const std::vector<std::string> values{"", "null", "[]", "7", "\"text\"", "{", "\xff\xfe\x00\x80",
		std::string("\0\0", 2), "{\"service\":\"\xff\"}", std::string(2000, '['), valid_row().dump() + "x"};
	for (const auto& value : values)
	{
		const auto read = platform::read_replica(row_of(value));
		REQUIRE_FALSE(read);
		CHECK(read.error().front().str().find("servers/r1") != std::string::npos);
	}
	CHECK(platform::from_base64("not base64!").empty());
}

TEST_CASE("invalid rows do not affect the replicas of other rows", "[platform][entries]")
{
	proxy_world world;
	platform::standin::registry rows{world.context};
	rows.put("servers", "r1", valid_row());
	rows.put("servers", "r2", valid_row());
	const controlled_vm vm{world, rows, "vm1"};
	const auto known = [&](const char* id)
	{ return world.gateway().replicas().find(replica_id{id}) != nullptr; };
	world.run_until([&] { return known("r1") && known("r2"); });
	// r2 is overwritten with an invalid row, r3 is a new invalid row, and r4 is valid, but no route uses its
	// service.
	auto wrong_state = valid_row();
	wrong_state["state"] = 3;
	rows.put("servers", "r2", wrong_state);
	rows.put("servers", "r3", json{{"note", "not a replica"}});
	auto unrouted = valid_row();
	unrouted["service"] = "unnamed";
	rows.put("servers", "r4", unrouted);
	world.run_until([&] { return known("r4"); });
	CHECK(known("r1"));
	CHECK_FALSE(known("r3"));
	// The connection to the registry is still new; a replica that disappears then is suspected before it is
	// removed, and gets no requests meanwhile.
	const auto overwritten = world.gateway().replicas().find(replica_id{"r2"});
	CHECK((!overwritten || world.gateway().replicas().is_suspected(replica_id{"r2"})));
	// r2 writes its row again.
	auto rewritten = valid_row();
	rewritten["born"] = 1780000099000;
	rows.put("servers", "r2", rewritten);
	world.run_until(
		[&]
		{
			const auto rewritten_replica = world.gateway().replicas().find(replica_id{"r2"});
			return rewritten_replica && rewritten_replica->incarnation.value() == 1780000099000;
		});
	CHECK_FALSE(world.gateway().replicas().is_suspected(replica_id{"r2"}));
}

TEST_CASE("a replica that is added and removed within one response of the registry is not used",
	"[platform][entries]")
{
	proxy_world world;
	platform::standin::registry rows{world.context};
	rows.put("op", "config", {{"version", 1}, {"routes", json::array()}, {"services", json::array()}});
	rows.put("servers", "first", valid_row());
	controlled_vm vm{world, rows, "vm1"};
	auto& replicas = world.gateway().replicas();
	world.run_until([&] { return replicas.find(replica_id{"first"}) != nullptr; });
	// After a response with changes the VM waits before the next call, so later changes arrive together.
	rows.put("servers", "second", valid_row());
	world.run_until([&] { return replicas.find(replica_id{"second"}) != nullptr; });
	rows.put("servers", "third", valid_row());
	rows.remove("servers", "third");
	rows.put("servers", "fourth", valid_row());
	world.run_until([&] { return replicas.find(replica_id{"fourth"}) != nullptr; });
	CHECK(replicas.find(replica_id{"third"}) == nullptr);
}
