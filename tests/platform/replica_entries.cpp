// SPDX-License-Identifier: MIT
// Entries of replicas: what names one to use, and what does not, whoever wrote it.
#include "../support/controlled_vm.hpp"
#include <limits>
#include <row_codec.hpp>

using namespace gingerdyke;
using namespace gingerdyke::test;

namespace
{
json whole_entry()
{
	return {{"service", "x"}, {"address", "127.0.0.1:9"}, {"zone", "a"}, {"version", "v1"}, {"slots", 64},
		{"state", "ready"}, {"cold_remaining_ms", 0}, {"sequence", 4}, {"born", 1780000000123}};
}

control::row row_of(const std::string& value)
{
	return {"servers", "r1", value, control::row_version{5}, false};
}

bool is_read(const json& entry)
{
	return platform::read_replica(row_of(entry.dump())).has_value();
}
} // namespace

TEST_CASE("a replica's entry is read with the moment of its start", "[platform][entries]")
{
	const auto read = platform::read_replica(row_of(whole_entry().dump()));
	REQUIRE(read);
	CHECK(read->id.str() == "r1");
	CHECK(read->service.str() == "x");
	CHECK(read->domain.str() == "a");
	CHECK(read->version == "v1");
	CHECK(read->slots == 64);
	CHECK_FALSE(read->leaving);
	CHECK(read->incarnation.value() == 1780000000123);
	auto older = whole_entry();
	older.erase("born");
	CHECK(platform::read_replica(row_of(older.dump()))->incarnation.value() == 0);
}

TEST_CASE("an entry without a field, or with one of another type, names no replica", "[platform][entries]")
{
	for (const auto* field : {"service", "address", "zone", "version", "slots", "state"})
	{
		CAPTURE(field);
		auto entry = whole_entry();
		entry.erase(field);
		CHECK_FALSE(is_read(entry));
		for (const auto& other : {json{nullptr}, json(7.5), json(-3), json(true), json::array({"ready"}),
				 json::object({{"a", 1}}), json("")})
		{
			CAPTURE(other.dump());
			entry[field] = other;
			// No failure domain is named by an empty text, which harms nobody.
			CHECK(is_read(entry) == (std::string_view{field} == "zone" && other.is_string()));
		}
	}
	for (const auto& other : {json(7.5), json(-3), json("1780000000123"), json(nullptr), json(true)})
	{
		CAPTURE(other.dump());
		auto entry = whole_entry();
		entry["born"] = other;
		CHECK_FALSE(is_read(entry));
	}
	for (const auto& other : {json(7.5), json(-3), json("0"), json(nullptr), json(true)})
	{
		CAPTURE(other.dump());
		auto entry = whole_entry();
		entry["cold_remaining_ms"] = other;
		CHECK_FALSE(is_read(entry));
	}
	auto many = whole_entry();
	many["slots"] = 1ULL << 40U;
	CHECK_FALSE(is_read(many));
}

TEST_CASE("a replica's entry tells how long it is cold, or does not say", "[platform][entries][slow_start]")
{
	auto entry = whole_entry();
	CHECK(platform::read_replica(row_of(entry.dump()))->remaining_warmup == duration{0});
	entry["cold_remaining_ms"] = 2750;
	CHECK(platform::read_replica(row_of(entry.dump()))->remaining_warmup == std::chrono::milliseconds{2750});
	entry["cold_remaining_ms"] = std::numeric_limits<std::uint64_t>::max();
	CHECK(platform::read_replica(row_of(entry.dump()))->remaining_warmup == std::chrono::hours{24});
	entry.erase("cold_remaining_ms");
	CHECK_FALSE(platform::read_replica(row_of(entry.dump()))->remaining_warmup);
}

TEST_CASE("a state that is not known names no replica to use", "[platform][entries]")
{
	auto entry = whole_entry();
	entry["state"] = "draining";
	CHECK(platform::read_replica(row_of(entry.dump()))->leaving);
	for (const auto* state : {"paused", "READY", "starting", "ready "})
	{
		entry["state"] = state;
		CHECK_FALSE(is_read(entry));
	}
}

TEST_CASE("bytes that are no entry name no replica, and are told as a finding", "[platform][entries]")
{
	const std::vector<std::string> values{"", "null", "[]", "7", "\"text\"", "{", "\xff\xfe\x00\x80",
		std::string("\0\0", 2), "{\"service\":\"\xff\"}", std::string(2000, '['), whole_entry().dump() + "x"};
	for (const auto& value : values)
	{
		const auto read = platform::read_replica(row_of(value));
		REQUIRE_FALSE(read);
		CHECK(read.error().front().str().find("servers/r1") != std::string::npos);
	}
	CHECK(platform::from_base64("not base64!").empty());
}

TEST_CASE("entries of other writers leave the others in use", "[platform][entries]")
{
	proxy_world world;
	platform::standin::registry rows{world.context};
	rows.put("servers", "r1", whole_entry());
	rows.put("servers", "r2", whole_entry());
	const controlled_vm vm{world, rows, "vm1"};
	const auto known = [&](const char* id)
	{ return world.gateway().replicas().find(replica_id{id}) != nullptr; };
	world.run_until([&] { return known("r1") && known("r2"); });
	// One is written over, one comes anew; a third writer's service is one that no route names.
	auto foreign = whole_entry();
	foreign["state"] = 3;
	rows.put("servers", "r2", foreign);
	rows.put("servers", "r3", json{{"note", "not a replica"}});
	auto unnamed = whole_entry();
	unnamed["service"] = "unnamed";
	rows.put("servers", "r4", unnamed);
	world.run_until([&] { return known("r4"); });
	CHECK(known("r1"));
	CHECK_FALSE(known("r3"));
	// The registry was just found; what is missing then is suspected first, and gets no work.
	const auto overwritten = world.gateway().replicas().find(replica_id{"r2"});
	CHECK((!overwritten || world.gateway().replicas().is_suspected(replica_id{"r2"})));
	// The replica writes its entry again.
	auto again = whole_entry();
	again["born"] = 1780000099000;
	rows.put("servers", "r2", again);
	world.run_until(
		[&]
		{
			const auto one = world.gateway().replicas().find(replica_id{"r2"});
			return one && one->incarnation.value() == 1780000099000;
		});
	CHECK_FALSE(world.gateway().replicas().is_suspected(replica_id{"r2"}));
}

TEST_CASE("a replica that came and went within one answer of the registry is gone", "[platform][entries]")
{
	proxy_world world;
	platform::standin::registry rows{world.context};
	rows.put("op", "config", {{"version", 1}, {"routes", json::array()}, {"services", json::array()}});
	rows.put("servers", "first", whole_entry());
	controlled_vm vm{world, rows, "vm1"};
	auto& replicas = world.gateway().replicas();
	world.run_until([&] { return replicas.find(replica_id{"first"}) != nullptr; });
	// The VM gathers changes for a while after an answer that held some.
	rows.put("servers", "second", whole_entry());
	world.run_until([&] { return replicas.find(replica_id{"second"}) != nullptr; });
	rows.put("servers", "third", whole_entry());
	rows.remove("servers", "third");
	rows.put("servers", "fourth", whole_entry());
	world.run_until([&] { return replicas.find(replica_id{"fourth"}) != nullptr; });
	CHECK(replicas.find(replica_id{"third"}) == nullptr);
}
