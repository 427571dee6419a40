// SPDX-License-Identifier: MIT
// Replicas that say that they are cold bear a few requests a second of all VMs together.
#include "../support/registered_replicas.hpp"

using namespace gingerdyke;
using namespace gingerdyke::test;

namespace
{
constexpr int long_cold_ms = 60000;
} // namespace

TEST_CASE("a VM that has just started sends nothing to a cold replica while another is warm",
	"[platform][slow_start]")
{
	registered_replicas of{{"b", "c"}, [](registered_replicas& made) { made.tell_cold("b", long_cold_ms); }};
	CHECK(of.answered_by("b", 40) == 0);
	CHECK(of.answered_by("c", 20) == 20);
}

TEST_CASE("a replica that turns cold without a restart gets no more from a VM without a share",
	"[platform][slow_start]")
{
	registered_replicas of{{"b", "c"}};
	REQUIRE(of.answered_by("b", 40) > 0);
	of.tell_cold("b", long_cold_ms);
	of.world.run_until([&] { return of.answered_by("b", 40) == 0; });
}

TEST_CASE("where all replicas of a service are cold, what they can't bear is refused at once as not run",
	"[platform][slow_start]")
{
	registered_replicas of{{"b"}, [](registered_replicas& made) { made.tell_cold("b", long_cold_ms); }};
	const auto answer = of.ask();
	CHECK(answer.starts_with("HTTP/1.1 503 "));
	CHECK(answer.find("Retry-After: ") != std::string::npos);
}

TEST_CASE("after an evacuation a failure domain's replicas count as cold for the time of a start",
	"[platform][slow_start][evacuation]")
{
	registered_replicas of{{"b", "c"}};
	of.rows.put("op", "evacuate/b", json::object());
	of.world.run_until([&] { return of.answered_by("b", 40) == 0; });
	const auto withdrawn_at = proxy::steady_now();
	of.rows.remove("op", "evacuate/b");
	of.world.run_until([&] { return of.answered_by("b", 40) > 0; });
	CHECK(proxy::steady_now() - withdrawn_at >= of.cold_time());
}
