// SPDX-License-Identifier: MIT
// Replicas that report themselves as cold get only a few requests per second from all VMs together.
#include "../support/registered_replicas.hpp"

using namespace gingerdyke;
using namespace gingerdyke::test;

namespace
{
constexpr int cold_ms = 60000;
} // namespace

TEST_CASE("a VM that has just started sends no requests to a cold replica while another one is warm",
	"[platform][slow_start]")
{
	registered_replicas setup{
		{"b", "c"}, [](registered_replicas& starting) { starting.tell_cold("b", cold_ms); }};
	CHECK(setup.answered_by("b", 40) == 0);
	CHECK(setup.answered_by("c", 20) == 20);
}

TEST_CASE(
	"a replica that becomes cold without a restart gets no requests from a VM without a share of its limit",
	"[platform][slow_start]")
{
	registered_replicas setup{{"b", "c"}};
	REQUIRE(setup.answered_by("b", 40) > 0);
	setup.tell_cold("b", cold_ms);
	setup.world.run_until([&] { return setup.answered_by("b", 40) == 0; });
}

TEST_CASE(
	"if all replicas of a service are cold, requests beyond their limit are rejected at once as not executed",
	"[platform][slow_start]")
{
	registered_replicas setup{{"b"}, [](registered_replicas& starting) { starting.tell_cold("b", cold_ms); }};
	const auto response = setup.ask();
	CHECK(response.starts_with("HTTP/1.1 503 "));
	CHECK(response.find("Retry-After: ") != std::string::npos);
}

TEST_CASE(
	"after an evacuation the replicas of the failure domain count as cold for the length of a cold start",
	"[platform][slow_start][evacuation]")
{
	registered_replicas setup{{"b", "c"}};
	setup.rows.put("op", "evacuate/b", json::object());
	setup.world.run_until([&] { return setup.answered_by("b", 40) == 0; });
	const auto withdrawn_at = proxy::steady_now();
	setup.rows.remove("op", "evacuate/b");
	setup.world.run_until([&] { return setup.answered_by("b", 40) > 0; });
	CHECK(proxy::steady_now() - withdrawn_at >= setup.cold_time());
}
