// SPDX-License-Identifier: MIT
// Requests that may be served in some regions only.
#include "../support/proxy_world.hpp"

using namespace gingerdyke;
using namespace gingerdyke::test;

TEST_CASE(
	"a request that may not be served in any region with replicas is refused at once", "[proxy][regions]")
{
	proxy_world world;
	const scripted_replica replica{
		world.context, [](const std::string&) { return scripted_answer{answer_with("200 OK", "x")}; }};
	world.data.routes[0].regions = {region_id{"elsewhere"}};
	world.start({{"plain", &replica}});
	const auto refused = world.ask(request_to("POST", "/unsafe/a", "b"));
	CHECK(refused.starts_with("HTTP/1.1 503"));
	CHECK(refused.find("Retry-After") != std::string::npos);
	CHECK(replica.requests().empty());
	CHECK(world.ask(request_to("GET", "/safe/a")).starts_with("HTTP/1.1 200"));
}
