// SPDX-License-Identifier: MIT
// A replica that states in a response that it is draining receives no further requests, whatever the registry
// says.
#include "../support/proxy_world.hpp"

using namespace gingerdyke;
using namespace gingerdyke::test;

namespace
{
/// Two replicas. The nearer one, which is preferred, states in its first response that it is draining.
struct one_draining_replica
{
	one_draining_replica()
	{
		world.start({{"plain", &draining}, {"plain", &other}});
		entry = *world.gateway().replicas().find(replica_id{"r0"});
		entry.domain = failure_domain_id{"a"};
		world.gateway().replicas().put(entry, proxy::steady_now());
	}

	void ask(int requests)
	{
		for (int i = 0; i < requests; ++i)
		{
			CHECK(world.ask(request_to("GET", "/safe/a")).ends_with("x"));
		}
	}

	proxy_world world;
	int request_count = 0;
	scripted_replica draining{
		world.context, [this](const std::string&) {
			return scripted_answer{answer_with("200 OK", "x", ++request_count == 1 ? "Leaving: 1\r\n" : "")};
		}};
	scripted_replica other{
		world.context, [](const std::string&) { return scripted_answer{answer_with("200 OK", "x")}; }};
	routing::replica entry;
};
} // namespace

TEST_CASE("a replica that states in a response that it is draining receives no further requests",
	"[exchange][leaving]")
{
	one_draining_replica fixture;
	fixture.ask(20);
	CHECK(fixture.draining.requests().size() == 1);
}

TEST_CASE("a replica's statement that it is draining outlasts entries that state that it is ready",
	"[exchange][leaving]")
{
	one_draining_replica fixture;
	fixture.ask(3);
	auto& replicas = fixture.world.gateway().replicas();
	fixture.entry.slots = 7;
	replicas.put(fixture.entry, proxy::steady_now());
	fixture.ask(3);
	replicas.remove(fixture.entry.id, proxy::steady_now());
	replicas.put(fixture.entry, proxy::steady_now());
	fixture.ask(10);
	CHECK(fixture.draining.requests().size() == 1);
}

TEST_CASE("the next process under the id of a drained replica receives requests", "[exchange][leaving]")
{
	one_draining_replica fixture;
	fixture.ask(3);
	REQUIRE(fixture.draining.requests().size() == 1);
	auto& replicas = fixture.world.gateway().replicas();
	fixture.entry.incarnation = routing::replica_incarnation{2};
	replicas.put(fixture.entry, proxy::steady_now());
	replicas.forget(replica_id{"r1"});
	fixture.ask(10);
	CHECK(fixture.draining.requests().size() == 11);
}

TEST_CASE("if all replicas of a service are draining, requests are refused immediately as not run",
	"[exchange][leaving]")
{
	proxy_world world;
	scripted_replica draining{world.context,
		[](const std::string&) { return scripted_answer{answer_with("200 OK", "x", "Leaving: 1\r\n")}; }};
	world.start({{"plain", &draining}});
	REQUIRE(world.ask(request_to("GET", "/safe/a")).starts_with("HTTP/1.1 200 "));
	const auto response = world.ask(request_to("GET", "/safe/a"));
	CHECK(response.starts_with("HTTP/1.1 503 "));
	CHECK(response.find("Retry-After: ") != std::string::npos);
	CHECK(draining.requests().size() == 1);
}
