// SPDX-License-Identifier: MIT
// An operator's order to send nothing to a failure domain's replicas: in force while its row is there.
#include "../support/registered_replicas.hpp"

using namespace gingerdyke;
using namespace gingerdyke::test;

TEST_CASE("a failure domain that is evacuated gets no requests until the order is withdrawn",
	"[platform][evacuation]")
{
	registered_replicas of{{"b", "c"}};
	of.rows.put("op", "evacuate/b", json::object());
	of.world.run_until([&] { return of.answered_by("b", 40) == 0; });
	CHECK(of.answered_by("c", 20) == 20);
	of.rows.remove("op", "evacuate/b");
	of.world.run_until([&] { return of.answered_by("b", 40) > 0; });
}

TEST_CASE(
	"an evacuation that began while a VM was away is in force once it is ready", "[platform][evacuation]")
{
	registered_replicas of{
		{"b", "c"}, [](registered_replicas& made) { made.rows.put("op", "evacuate/b", json::object()); }};
	CHECK(of.answered_by("b", 40) == 0);
}

TEST_CASE("an evacuation that was withdrawn while the registry forgot its history is over",
	"[platform][evacuation]")
{
	registered_replicas of{{"b", "c"}};
	of.rows.put("op", "evacuate/b", json::object());
	of.world.run_until([&] { return of.answered_by("b", 40) == 0; });
	of.rows.fail_with(platform::standin::registry_fault::unavailable);
	of.rows.remove("op", "evacuate/b");
	of.rows.compact();
	of.rows.fail_with(platform::standin::registry_fault::none);
	of.world.run_until([&] { return of.answered_by("b", 40) > 0; });
}

TEST_CASE("where an evacuation leaves no replica of a service, its requests are refused at once as not run",
	"[platform][evacuation]")
{
	registered_replicas of{{"b", "c"}};
	of.rows.put("op", "evacuate/c", json::object());
	of.rows.put("op", "evacuate/b", json::object());
	of.world.run_until([&] { return of.ask().starts_with("HTTP/1.1 503 "); });
	CHECK(of.ask().find("Retry-After: ") != std::string::npos);
	CHECK(of.answered_by("c", 20) == 0);
}
