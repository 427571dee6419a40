// SPDX-License-Identifier: MIT
// A replica that announces a load limit in its responses receives no more requests per second than that.
#include "../support/proxy_world.hpp"

using namespace gingerdyke;
using namespace gingerdyke::test;

namespace
{
scripted_replica::script respond_with(const std::string& status, const std::string& extra_headers)
{
	return [=](const std::string&) { return scripted_answer{answer_with(status, "x", extra_headers)}; };
}

/// Number of requests that a VM, while other VMs do not know it yet, may send to a replica after the response
/// that announced the replica's load limit.
constexpr std::size_t max_after_announcement = 1;
} // namespace

TEST_CASE("a replica with a load limit receives no more than that while another replica can serve",
	"[exchange][limit]")
{
	proxy_world world;
	scripted_replica limited{world.context, respond_with("200 OK", "Load-Limit: 1.5\r\n")};
	scripted_replica free{world.context, respond_with("200 OK", "")};
	world.start({{"plain", &limited}, {"plain", &free}});
	// The limited replica is the nearer one, which would be preferred without its limit.
	auto nearer = *world.gateway().replicas().find(replica_id{"r0"});
	nearer.domain = failure_domain_id{"a"};
	world.gateway().replicas().put(nearer, proxy::steady_now());
	for (int i = 0; i < 40; ++i)
	{
		CHECK(world.ask(request_to("GET", "/safe/a")).ends_with("x"));
	}
	CHECK(limited.requests().size() <= 1 + max_after_announcement);
}

TEST_CASE("retries stay within a replica's load limit too", "[exchange][limit]")
{
	proxy_world world;
	scripted_replica limited{world.context, respond_with("200 OK", "Load-Limit: 0.5\r\n")};
	scripted_replica failing{world.context, respond_with("500 Broken", "")};
	world.start({{"plain", &limited}, {"plain", &failing}});
	for (int i = 0; i < 40; ++i)
	{
		static_cast<void>(world.ask(request_to("GET", "/safe/a")));
	}
	CHECK(limited.requests().size() <= 1 + max_after_announcement);
}

TEST_CASE(
	"requests beyond the load limits of all replicas are refused immediately as not run", "[exchange][limit]")
{
	proxy_world world;
	scripted_replica limited{world.context, respond_with("200 OK", "Load-Limit: 0.5\r\n")};
	world.start({{"plain", &limited}});
	REQUIRE(world.ask(request_to("GET", "/safe/a")).starts_with("HTTP/1.1 200 "));
	std::string response;
	for (std::size_t i = 0; i <= max_after_announcement; ++i)
	{
		response = world.ask(request_to("GET", "/safe/a"));
	}
	CHECK(response.starts_with("HTTP/1.1 503 "));
	CHECK(response.find("Retry-After: ") != std::string::npos);
	CHECK(limited.requests().size() <= 1 + max_after_announcement);
}

TEST_CASE("a malformed load limit has no effect", "[exchange][limit]")
{
	const auto value = GENERATE("-1", "nan", "inf", "many", "", "1e999", "1,5");
	CAPTURE(value);
	proxy_world world;
	scripted_replica replica{
		world.context, respond_with("200 OK", std::string{"Load-Limit: "} + value + "\r\n")};
	world.start({{"plain", &replica}});
	for (int i = 0; i < 5; ++i)
	{
		CHECK(world.ask(request_to("GET", "/safe/a")).ends_with("x"));
	}
	CHECK(world.gateway().load_limits().size() == 0);
}

TEST_CASE("a load limit applies even next to a malformed one", "[exchange][limit]")
{
	proxy_world world;
	scripted_replica limited{
		world.context, respond_with("200 OK", "Load-Limit: many\r\nLoad-Limit: 0.5\r\n")};
	world.start({{"plain", &limited}});
	static_cast<void>(world.ask(request_to("GET", "/safe/a")));
	CHECK(world.gateway().load_limits().size() == 1);
}
