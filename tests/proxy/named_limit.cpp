// SPDX-License-Identifier: MIT
// A replica that names in its answers how many requests a second it takes gets no more.
#include "../support/proxy_world.hpp"

using namespace gingerdyke;
using namespace gingerdyke::test;

namespace
{
scripted_replica::script answers(const std::string& status, const std::string& more)
{
	return [=](const std::string&) { return scripted_answer{answer_with(status, "x", more)}; };
}

/// What a VM that nobody knows yet may send to a replica that names a limit, beyond the answer that told it.
constexpr std::size_t most_after_news = 1;
} // namespace

TEST_CASE(
	"a replica that names a limit gets no more than that while another one can serve", "[exchange][limit]")
{
	proxy_world world;
	scripted_replica limited{world.context, answers("200 OK", "Load-Limit: 1.5\r\n")};
	scripted_replica free{world.context, answers("200 OK", "")};
	world.start({{"plain", &limited}, {"plain", &free}});
	// It is the nearer one, and preferred but for its limit.
	auto near = *world.gateway().replicas().find(replica_id{"r0"});
	near.domain = failure_domain_id{"a"};
	world.gateway().replicas().put(near, proxy::steady_now());
	for (int i = 0; i < 40; ++i)
	{
		CHECK(world.ask(request_to("GET", "/safe/a")).ends_with("x"));
	}
	CHECK(limited.requests().size() <= 1 + most_after_news);
}

TEST_CASE("second attempts keep a replica's limit too", "[exchange][limit]")
{
	proxy_world world;
	scripted_replica limited{world.context, answers("200 OK", "Load-Limit: 0.5\r\n")};
	scripted_replica failing{world.context, answers("500 Broken", "")};
	world.start({{"plain", &limited}, {"plain", &failing}});
	for (int i = 0; i < 40; ++i)
	{
		static_cast<void>(world.ask(request_to("GET", "/safe/a")));
	}
	CHECK(limited.requests().size() <= 1 + most_after_news);
}

TEST_CASE(
	"what no replica of a service takes by its limit is refused at once as not run", "[exchange][limit]")
{
	proxy_world world;
	scripted_replica limited{world.context, answers("200 OK", "Load-Limit: 0.5\r\n")};
	world.start({{"plain", &limited}});
	REQUIRE(world.ask(request_to("GET", "/safe/a")).starts_with("HTTP/1.1 200 "));
	std::string answer;
	for (std::size_t i = 0; i <= most_after_news; ++i)
	{
		answer = world.ask(request_to("GET", "/safe/a"));
	}
	CHECK(answer.starts_with("HTTP/1.1 503 "));
	CHECK(answer.find("Retry-After: ") != std::string::npos);
	CHECK(limited.requests().size() <= 1 + most_after_news);
}

TEST_CASE("a limit that can't be read limits nothing", "[exchange][limit]")
{
	const auto value = GENERATE("-1", "nan", "inf", "many", "", "1e999", "1,5");
	CAPTURE(value);
	proxy_world world;
	scripted_replica replica{world.context, answers("200 OK", std::string{"Load-Limit: "} + value + "\r\n")};
	world.start({{"plain", &replica}});
	for (int i = 0; i < 5; ++i)
	{
		CHECK(world.ask(request_to("GET", "/safe/a")).ends_with("x"));
	}
	CHECK(world.gateway().load_limits().size() == 0);
}

TEST_CASE("a limit counts beside another one that can't be read", "[exchange][limit]")
{
	proxy_world world;
	scripted_replica limited{world.context, answers("200 OK", "Load-Limit: many\r\nLoad-Limit: 0.5\r\n")};
	world.start({{"plain", &limited}});
	static_cast<void>(world.ask(request_to("GET", "/safe/a")));
	CHECK(world.gateway().load_limits().size() == 1);
}
