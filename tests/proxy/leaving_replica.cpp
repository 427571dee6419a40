// SPDX-License-Identifier: MIT
// A replica that says in an answer that it leaves gets nothing any more, whatever the registry says.
#include "../support/proxy_world.hpp"

using namespace gingerdyke;
using namespace gingerdyke::test;

namespace
{
/// Two replicas; the nearer one, which is preferred, says once that it leaves.
struct one_leaves
{
	one_leaves()
	{
		world.start({{"plain", &leaving}, {"plain", &other}});
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
	int asked = 0;
	scripted_replica leaving{world.context, [this](const std::string&)
		{ return scripted_answer{answer_with("200 OK", "x", ++asked == 1 ? "Leaving: 1\r\n" : "")}; }};
	scripted_replica other{
		world.context, [](const std::string&) { return scripted_answer{answer_with("200 OK", "x")}; }};
	routing::replica entry;
};
} // namespace

TEST_CASE("a replica that says in an answer that it leaves gets nothing any more", "[exchange][leaving]")
{
	one_leaves of;
	of.ask(20);
	CHECK(of.leaving.requests().size() == 1);
}

TEST_CASE("a replica's word that it leaves outlasts entries that say it is ready", "[exchange][leaving]")
{
	one_leaves of;
	of.ask(3);
	auto& replicas = of.world.gateway().replicas();
	of.entry.slots = 7;
	replicas.put(of.entry, proxy::steady_now());
	of.ask(3);
	replicas.remove(of.entry.id, proxy::steady_now());
	replicas.put(of.entry, proxy::steady_now());
	of.ask(10);
	CHECK(of.leaving.requests().size() == 1);
}

TEST_CASE("the next process under the id of a replica that left gets requests", "[exchange][leaving]")
{
	one_leaves of;
	of.ask(3);
	REQUIRE(of.leaving.requests().size() == 1);
	auto& replicas = of.world.gateway().replicas();
	of.entry.incarnation = routing::replica_incarnation{2};
	replicas.put(of.entry, proxy::steady_now());
	replicas.forget(replica_id{"r1"});
	of.ask(10);
	CHECK(of.leaving.requests().size() == 11);
}

TEST_CASE(
	"where all replicas of a service leave, requests are refused at once as not run", "[exchange][leaving]")
{
	proxy_world world;
	scripted_replica leaving{world.context,
		[](const std::string&) { return scripted_answer{answer_with("200 OK", "x", "Leaving: 1\r\n")}; }};
	world.start({{"plain", &leaving}});
	REQUIRE(world.ask(request_to("GET", "/safe/a")).starts_with("HTTP/1.1 200 "));
	const auto answer = world.ask(request_to("GET", "/safe/a"));
	CHECK(answer.starts_with("HTTP/1.1 503 "));
	CHECK(answer.find("Retry-After: ") != std::string::npos);
	CHECK(leaving.requests().size() == 1);
}
