// SPDX-License-Identifier: MIT
// A refusal status of a replica that ran the request doesn't reach the caller, whom it would tell that
// nothing ran.
#include "../support/captured_log.hpp"
#include "../support/lost_path.hpp"

using namespace gingerdyke;
using namespace gingerdyke::test;

namespace
{
const std::string statements = "Retry-After: 7\r\n";

/// A replica that answers what it ran with this status.
scripted_replica::script answer_after_run(const std::string& status)
{
	return [status](const std::string&)
	{ return scripted_answer{answer_with(status, "the ledger is away", statements)}; };
}

bool contains(const std::string& text, const std::string& part)
{
	return text.find(part) != std::string::npos;
}

std::string status_that_refuses()
{
	return GENERATE(std::string{"408 Late"}, std::string{"429 Many"}, std::string{"503 Away"});
}

/// The caller is told that the request may have run, and nothing that the replica stated.
void check_is_own_failure(const std::string& response)
{
	CHECK(response.starts_with("HTTP/1.1 502 "));
	CHECK(contains(response, "Request-Id: q1\r\n"));
	CHECK_FALSE(contains(response, "Signature"));
	CHECK_FALSE(contains(response, "Retry-After"));
	CHECK_FALSE(contains(response, "ledger"));
}

/// A VM without a path to its replica, and another VM that answers what it forwards.
struct forwarding_world
{
	explicit forwarding_world(const scripted_answer& answer)
		: other_vm(world.context, [answer](const std::string&) { return answer; })
	{
		start_without_path(world, "plain", other_vm.at());
	}

	proxy_world world;
	scripted_replica other_vm;
};

scripted_answer forwarded(const std::string& status, proxy::forwarding_outcome outcome)
{
	return {answer_with(status, "the ledger is away", statements + forwarding_result_line(outcome))};
}
} // namespace

// Guards against callers who repeat a request that ran, as its 503 said that it had not.
TEST_CASE("a refusal status after a run is no refusal, request that can't be repeated", "[refusal]")
{
	proxy_world world;
	scripted_replica replica{world.context, answer_after_run(status_that_refuses())};
	world.start({{"plain", &replica}});
	check_is_own_failure(world.ask(request_to("POST", "/unsafe/a", "body")));
	CHECK(replica.requests().size() == 1);
}

TEST_CASE("a refusal status after a run is no refusal, all attempts used up", "[refusal]")
{
	proxy_world world;
	const auto script = answer_after_run(status_that_refuses());
	scripted_replica first{world.context, script};
	scripted_replica second{world.context, script};
	world.start({{"plain", &first}, {"plain", &second}});
	check_is_own_failure(world.ask(request_to("GET", "/safe/a")));
	CHECK(first.requests().size() + second.requests().size() == 2);
}

TEST_CASE("a refusal status after a run is no refusal, retry budget used up", "[refusal]")
{
	proxy_world world;
	const auto script = answer_after_run(status_that_refuses());
	scripted_replica first{world.context, script};
	scripted_replica second{world.context, script};
	world.start({{"plain", &first}, {"plain", &second}});
	auto& budget = world.gateway().budget(service_id{"plain"});
	while (budget.take(proxy::steady_now()))
	{
	}
	check_is_own_failure(world.ask(request_to("GET", "/safe/a")));
	CHECK(first.requests().size() + second.requests().size() == 1);
}

TEST_CASE("a refusal status after a run is no refusal, route with streams", "[refusal][stream]")
{
	proxy_world world;
	scripted_replica replica{world.context, answer_after_run(status_that_refuses())};
	world.data.routes.back().resumable = false;
	world.start({{"engine", &replica}});
	check_is_own_failure(world.ask(request_to("POST", "/stream/a", "p", "Model: *\r\n")));
	CHECK(replica.requests().size() == 1);
}

TEST_CASE("a refusal status after a run is no refusal, request by HEAD", "[refusal]")
{
	proxy_world world;
	scripted_replica replica{world.context, answer_after_run("503 Away")};
	world.start({{"plain", &replica}});
	scripted_caller caller{world.context, world.port()};
	caller.send("HEAD /unsafe/a HTTP/1.1\r\nHost: example\r\nRequest-Id: q1\r\n\r\n");
	world.run_until([&] { return contains(caller.received(), "\r\n\r\n") || caller.ended(); });
	check_is_own_failure(caller.received());
}

TEST_CASE(
	"a repeatable request goes to another replica after a refusal status that followed a run", "[refusal]")
{
	proxy_world world;
	const auto status = status_that_refuses();
	int request_count = 0;
	const auto script = [&](const std::string&) {
		return scripted_answer{
			++request_count == 1 ? answer_with(status, "no") : answer_with("200 OK", "yes")};
	};
	scripted_replica first{world.context, script};
	scripted_replica second{world.context, script};
	world.start({{"plain", &first}, {"plain", &second}});
	CHECK(world.ask(request_to("GET", "/safe/a")).ends_with("yes"));
	CHECK(request_count == 2);
}

// The VM that forwarded may be an older build, which passes such an answer on.
TEST_CASE("a refusal status after a run is no refusal, by way of another VM", "[refusal][forwarding]")
{
	const auto outcome = GENERATE(proxy::forwarding_outcome::answered, proxy::forwarding_outcome::failed);
	forwarding_world fleet{forwarded(status_that_refuses(), outcome)};
	check_is_own_failure(fleet.world.ask(request_to("POST", "/unsafe/a", "body")));
	CHECK(fleet.other_vm.requests().size() == 1);
}

TEST_CASE(
	"a refusal by way of another VM that sent the request to no replica stays one", "[refusal][forwarding]")
{
	forwarding_world fleet{forwarded("503 Away", proxy::forwarding_outcome::refused)};
	const auto response = fleet.world.ask(request_to("POST", "/unsafe/a", "body"));
	CHECK(response.starts_with("HTTP/1.1 503 "));
	CHECK(contains(response, "Retry-After: 7\r\n"));
}

TEST_CASE("a refusal by a replica that did not run the request stays one", "[refusal]")
{
	proxy_world world;
	scripted_replica replica{world.context,
		[](const std::string&) { return scripted_answer{answer_with("503 Full", "", "Not-Run: 1\r\n")}; }};
	world.start({{"plain", &replica}});
	const auto response = world.ask(request_to("POST", "/unsafe/a", "body"));
	CHECK(response.starts_with("HTTP/1.1 503 "));
	CHECK(contains(response, "Retry-After: "));
}

// The line is all that is left of the replica's status.
TEST_CASE("the line of a request names the refusal status that was replaced", "[refusal]")
{
	proxy_world world;
	scripted_replica replica{world.context, answer_after_run("429 Many")};
	world.start({{"plain", &replica}});
	std::string logged;
	{
		const captured_log log;
		static_cast<void>(world.ask(request_to("POST", "/unsafe/a", "body")));
		logged = log.text();
	}
	CHECK(contains(logged, "\"replaced_status\":429"));
	CHECK(contains(logged, "\"status\":502"));
	CHECK(contains(logged, "\"replica\":\"r0\""));
	CHECK(contains(logged, "refusal status"));
}

// A stated back-off holds whether or not the request ran: others that can't be repeated would be lost there.
TEST_CASE("a replica that asks for a back-off after a run receives nothing until it is over", "[refusal]")
{
	proxy_world world;
	scripted_replica replica{world.context, answer_after_run("503 Away")};
	world.start({{"plain", &replica}});
	check_is_own_failure(world.ask(request_to("POST", "/unsafe/a", "body")));
	const auto second = world.ask(request_to("POST", "/unsafe/a", "body"));
	CHECK(second.starts_with("HTTP/1.1 503 "));
	CHECK(contains(second, "Retry-After: "));
	CHECK(replica.requests().size() == 1);
}
