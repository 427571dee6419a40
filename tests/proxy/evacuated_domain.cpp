// SPDX-License-Identifier: MIT
// Requests under way when their failure domain is evacuated: what is sent again goes elsewhere.
#include "../support/proxy_world.hpp"

using namespace gingerdyke;
using namespace gingerdyke::test;

namespace
{
routing::replica entry_of(
	const char* id, const char* domain, const char* service, const scripted_replica& one)
{
	routing::replica entry;
	entry.id = replica_id{id};
	entry.service = service_id{service};
	entry.at = one.at();
	entry.domain = failure_domain_id{domain};
	entry.version = "v1";
	return entry;
}

/// Two replicas of one failure domain, which is evacuated as soon as the first of them has a request, and one
/// of another.
struct evacuated_while_asked
{
	evacuated_while_asked(
		const char* service, const scripted_answer& first_answer, const scripted_answer& later_answer)
		: answer{[this, first_answer, later_answer](const std::string&)
			  {
				  const bool is_first = asked++ == 0;
				  world.gateway().evacuated().add(failure_domain_id{"b"});
				  return is_first ? first_answer : later_answer;
			  }},
		  first{world.context, answer}, beside{world.context, answer}, elsewhere{world.context, answer}
	{
		world.start({});
		world.gateway().set_replicas(
			{entry_of("r0", "b", service, first), entry_of("r1", "b", service, beside),
				entry_of("r2", "c", service, elsewhere)},
			proxy::steady_now());
	}

	proxy_world world;
	int asked = 0;
	scripted_replica::script answer;
	scripted_replica first;
	scripted_replica beside;
	scripted_replica elsewhere;
};
} // namespace

TEST_CASE("a stream that breaks after its failure domain was evacuated goes on in another one",
	"[exchange][evacuation]")
{
	evacuated_while_asked of{"engine", {stream_head() + event_chunk(1), true, false},
		{stream_head() + event_chunk(2) + "0\r\n\r\n"}};
	scripted_caller caller{of.world.context, of.world.port()};
	caller.send(request_to("POST", "/stream/a", "p", "Model: *\r\n"));
	of.world.run_until([&] { return caller.received().ends_with("0\r\n\r\n"); });
	CHECK(of.first.requests().size() == 1);
	CHECK(of.beside.requests().empty());
	CHECK(of.elsewhere.requests().size() == 1);
}

TEST_CASE(
	"a second attempt does not go to a failure domain that was evacuated meanwhile", "[exchange][evacuation]")
{
	evacuated_while_asked of{"plain", {answer_with("500 Broken", "")}, {answer_with("200 OK", "x")}};
	CHECK(of.world.ask(request_to("GET", "/safe/a")).starts_with("HTTP/1.1 200 "));
	CHECK(of.beside.requests().empty());
	CHECK(of.first.requests().size() + of.elsewhere.requests().size() == 2);
}
