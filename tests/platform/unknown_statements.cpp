// SPDX-License-Identifier: MIT
// Unknown names in headers, replica rows and operator rows: each is reported once and always counted, and the
// number of remembered names is bounded.
#include "../support/controlled_vm.hpp"
#include <gingerdyke/proxy/replica_statements.hpp>
#include <gingerdyke/proxy/unknown_statements.hpp>
#include <names.hpp>

using namespace gingerdyke;
using namespace gingerdyke::test;
using proxy::statement_source;

TEST_CASE("each unknown name is reported once, and the number of remembered names is bounded", "[statements]")
{
	std::size_t reported = 0;
	proxy::unknown_statements unknown{[&](statement_source, const std::string& name, const std::string&)
		{
			++reported;
			CHECK(name.size() < 100);
		}};
	for (int i = 0; i < 1000; ++i)
	{
		unknown.record(statement_source::response_header,
			"Server-" + std::to_string(i % 500) + std::string(1000, 'x'), "r1");
	}
	CHECK(reported == 64);
	CHECK(unknown.count() == 1000);
	unknown.record(statement_source::replica_entry, "server-0", "r1");
	CHECK(unknown.count() == 1001);
}

TEST_CASE(
	"response headers with the platform's prefixes that the router does not read are unknown", "[statements]")
{
	proxy::response_head head;
	head.status = 200;
	head.fields = {{"X-Gingerdyke-Request-Id", "q"}, {"x-gingerdyke-server-stamp", "s"},
		{"Server-Limit", "2"}, {"Server-Mood", "good"}, {"X-Gingerdyke-New", "1"}, {"Server", "s"},
		{"X-Other", "1"}, {"X-Gingerdyke-Weight-Versions", "1"}};
	const auto statements = proxy::read_statements(head, platform::header_names(), {});
	CHECK(statements.unknown == std::vector<std::string>{"Server-Mood", "X-Gingerdyke-New"});
}

TEST_CASE(
	"fields of replica rows and rows of operators that the router does not read are unknown", "[statements]")
{
	proxy_world world;
	platform::standin::registry rows{world.context};
	rows.put("op", "config", {{"version", 1}, {"routes", json::array()}, {"services", json::array()}});
	rows.put("op", "forbid/x", json::object());
	controlled_vm vm{world, rows, "vm1"};
	world.run_until([&] { return world.gateway().ready(); });
	CHECK(world.gateway().unknown_names().count() == 1);
	rows.put("servers", "r1",
		{{"service", "x"}, {"address", "127.0.0.1:9"}, {"zone", "a"}, {"version", "v1"}, {"slots", 64},
			{"state", "ready"}, {"sequence", 4}, {"models", json::array()}, {"mood", "good"}});
	world.run_until([&] { return world.gateway().replicas().find(replica_id{"r1"}) != nullptr; });
	CHECK(world.gateway().unknown_names().count() == 2);
}
