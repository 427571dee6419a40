// SPDX-License-Identifier: MIT
// Requests in progress when their failure domain is evacuated: retries must go to another failure domain.
#include "../support/proxy_world.hpp"

using namespace gingerdyke;
using namespace gingerdyke::test;

namespace
{
routing::replica entry_of(
	const char* id, const char* domain, const char* service, const scripted_replica& instance)
{
	routing::replica entry;
	entry.id = replica_id{id};
	entry.service = service_id{service};
	entry.at = instance.at();
	entry.domain = failure_domain_id{domain};
	entry.version = "v1";
	return entry;
}

/// Two replicas of a failure domain that is evacuated as soon as any of the three replicas receives a
/// request, and one replica of another failure domain.
struct evacuation_during_request
{
	evacuation_during_request(
		const char* service, const scripted_answer& first_response, const scripted_answer& later_response)
		: respond{[this, first_response, later_response](const std::string&)
			  {
				  const bool is_first = request_count++ == 0;
				  world.gateway().evacuated().add(failure_domain_id{"b"});
				  return is_first ? first_response : later_response;
			  }},
		  first{world.context, respond}, sibling{world.context, respond}, other{world.context, respond}
	{
		world.start({});
		world.gateway().set_replicas(
			{entry_of("r0", "b", service, first), entry_of("r1", "b", service, sibling),
				entry_of("r2", "c", service, other)},
			proxy::steady_now());
	}

	proxy_world world;
	int request_count = 0;
	scripted_replica::script respond;
	scripted_replica first;
	scripted_replica sibling;
	scripted_replica other;
};
} // namespace

TEST_CASE("a stream that breaks after its failure domain was evacuated is resumed in another failure domain",
	"[exchange][evacuation]")
{
	evacuation_during_request fixture{"engine", {stream_head() + event_chunk(1), true, false},
		{stream_head() + event_chunk(2) + "0\r\n\r\n"}};
	scripted_caller caller{fixture.world.context, fixture.world.port()};
	caller.send(request_to("POST", "/stream/a", "p", "Model: *\r\n"));
	fixture.world.run_until([&] { return caller.received().ends_with("0\r\n\r\n"); });
	CHECK(fixture.first.requests().size() == 1);
	CHECK(fixture.sibling.requests().empty());
	CHECK(fixture.other.requests().size() == 1);
}

TEST_CASE("a retry is not sent to a failure domain that was evacuated during the first attempt",
	"[exchange][evacuation]")
{
	evacuation_during_request fixture{"plain", {answer_with("500 Broken", "")}, {answer_with("200 OK", "x")}};
	CHECK(fixture.world.ask(request_to("GET", "/safe/a")).starts_with("HTTP/1.1 200 "));
	CHECK(fixture.sibling.requests().empty());
	CHECK(fixture.first.requests().size() + fixture.other.requests().size() == 2);
}
