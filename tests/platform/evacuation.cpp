// SPDX-License-Identifier: MIT
// Evacuation of a failure domain: no requests go to its replicas while the operator's row for it exists.
#include "../support/registered_replicas.hpp"

using namespace gingerdyke;
using namespace gingerdyke::test;

TEST_CASE(
	"an evacuated failure domain gets no requests until the order is withdrawn", "[platform][evacuation]")
{
	registered_replicas setup{{"b", "c"}};
	setup.rows.put("op", "evacuate/b", json::object());
	setup.world.run_until([&] { return setup.answered_by("b", 40) == 0; });
	CHECK(setup.answered_by("c", 20) == 20);
	setup.rows.remove("op", "evacuate/b");
	setup.world.run_until([&] { return setup.answered_by("b", 40) > 0; });
}

TEST_CASE(
	"an evacuation ordered before a VM starts is in effect once the VM is ready", "[platform][evacuation]")
{
	registered_replicas setup{{"b", "c"},
		[](registered_replicas& starting) { starting.rows.put("op", "evacuate/b", json::object()); }};
	CHECK(setup.answered_by("b", 40) == 0);
}

TEST_CASE(
	"an evacuation is over if its withdrawal was lost with the registry's history", "[platform][evacuation]")
{
	registered_replicas setup{{"b", "c"}};
	setup.rows.put("op", "evacuate/b", json::object());
	setup.world.run_until([&] { return setup.answered_by("b", 40) == 0; });
	setup.rows.set_fault(platform::standin::registry_fault::unavailable);
	setup.rows.remove("op", "evacuate/b");
	setup.rows.compact();
	setup.rows.set_fault(platform::standin::registry_fault::none);
	setup.world.run_until([&] { return setup.answered_by("b", 40) > 0; });
}

TEST_CASE("requests are rejected at once as not executed if an evacuation leaves their service no replica",
	"[platform][evacuation]")
{
	registered_replicas setup{{"b", "c"}};
	setup.rows.put("op", "evacuate/c", json::object());
	setup.rows.put("op", "evacuate/b", json::object());
	setup.world.run_until([&] { return setup.ask().starts_with("HTTP/1.1 503 "); });
	CHECK(setup.ask().find("Retry-After: ") != std::string::npos);
	CHECK(setup.answered_by("c", 20) == 0);
}
