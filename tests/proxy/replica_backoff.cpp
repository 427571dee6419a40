// SPDX-License-Identifier: MIT
// A replica that refuses a request with Retry-After receives nothing from this VM until that time is over.
#include "../support/proxy_world.hpp"

using namespace gingerdyke;
using namespace gingerdyke::test;

namespace
{
std::string refusal(const std::string& retry_after)
{
	return answer_with("503 Full", "", "Not-Run: 1\r\nRetry-After: " + retry_after + "\r\n");
}

scripted_replica::script respond_with(std::string bytes)
{
	return [bytes = std::move(bytes)](const std::string&) { return scripted_answer{bytes}; };
}
} // namespace

TEST_CASE("a replica that asks for a back-off receives nothing until it is over", "[exchange][rest]")
{
	proxy_world world;
	scripted_replica backing_off{world.context, respond_with(refusal("30"))};
	scripted_replica other{world.context, respond_with(stream_head() + event_chunk(1) + "0\r\n\r\n")};
	world.start({{"engine", &backing_off}, {"engine", &other}});
	for (int i = 0; i < 20; ++i)
	{
		scripted_caller caller{world.context, world.port()};
		caller.send(request_to("POST", "/stream/a", "p", "Model: *\r\n"));
		world.run_until([&] { return caller.received().ends_with("0\r\n\r\n"); });
	}
	CHECK(other.requests().size() == 20);
	CHECK(backing_off.requests().size() == 1);
}

TEST_CASE("a replica receives requests again once its back-off is over", "[exchange][rest]")
{
	proxy_world world;
	int request_count = 0;
	scripted_replica replica{world.context, [&](const std::string&)
		{ return scripted_answer{++request_count == 1 ? refusal("0.1") : answer_with("200 OK", "x")}; }};
	world.start({{"plain", &replica}});
	CHECK(world.ask(request_to("GET", "/safe/a")).starts_with("HTTP/1.1 503 "));
	test::run_until(
		world.context, [&] { return world.ask(request_to("GET", "/safe/a")).starts_with("HTTP/1.1 200 "); });
	CHECK(request_count == 2);
}

TEST_CASE("if all replicas of a service ask for a back-off, requests are refused until the first one is over",
	"[exchange][rest]")
{
	proxy_world world;
	scripted_replica first{world.context, respond_with(refusal("60"))};
	scripted_replica second{world.context, respond_with(refusal("20"))};
	world.start({{"plain", &first}, {"plain", &second}});
	static_cast<void>(world.ask(request_to("GET", "/safe/a")));
	for (int i = 0; i < 5; ++i)
	{
		const auto response = world.ask(request_to("GET", "/safe/a"));
		CHECK(response.starts_with("HTTP/1.1 503 "));
		const auto found = response.find("Retry-After: ");
		REQUIRE(found != std::string::npos);
		const auto seconds = std::stod(response.substr(found + std::string{"Retry-After: "}.size()));
		CHECK(seconds > 19);
		CHECK(seconds < 31);
	}
	CHECK(first.requests().size() == 1);
	CHECK(second.requests().size() == 1);
}
