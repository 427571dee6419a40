// SPDX-License-Identifier: MIT
// Responses whose status is none of HTTP's, or an interim one that nobody asked for. Guards against a VM that
// skips such a response as an interim one, waits for another, and passes on what it finds in its body.
#include "../support/captured_log.hpp"
#include "../support/own_failure.hpp"

using namespace gingerdyke;
using namespace gingerdyke::test;

namespace
{
std::string invalid_status_text()
{
	return GENERATE(as<std::string>{}, "000 ", "001 Broken", "099 Broken", "101 Switching Protocols",
		"600 Broken", "999 Broken");
}

/// A response without a body whose connection stays open.
std::string bare_response(const std::string& status, const std::string& more = {})
{
	return "HTTP/1.1 " + status + "\r\nRequest-Id: q1\r\nSignature: s\r\n" + more + "\r\n";
}

} // namespace

TEST_CASE("a response with an invalid status ends its attempt at once", "[exchange][status]")
{
	const auto status = invalid_status_text();
	const auto service = GENERATE(as<std::string>{}, "plain", "engine");
	CAPTURE(status, service);
	proxy_world world;
	scripted_replica replica{
		world.context, [&](const std::string&) { return scripted_answer{bare_response(status)}; }};
	world.data.routes.back().resumable = false;
	world.start({{service, &replica}});
	const auto path = service == "plain" ? "/unsafe/a" : "/stream/a";
	check_is_own_failure(world.ask(request_to("POST", path, "b")), "other");
	CHECK(replica.requests().size() == 1);
	world.run_until([&] { return replica.ended() == replica.accepted(); });
}

TEST_CASE("a response to HEAD with an invalid status ends its attempt at once", "[exchange][status]")
{
	const auto status = invalid_status_text();
	CAPTURE(status);
	proxy_world world;
	scripted_replica replica{
		world.context, [&](const std::string&) { return scripted_answer{bare_response(status)}; }};
	world.start({{"plain", &replica}});
	scripted_caller caller{world.context, world.port()};
	caller.send("HEAD /unsafe/a HTTP/1.1\r\nHost: example\r\nRequest-Id: q1\r\n\r\n");
	world.run_until([&] { return contains(caller.received(), "\r\n\r\n") || caller.ended(); });
	check_is_own_failure(caller.received(), "other");
}

TEST_CASE("a repeatable request goes on elsewhere after an invalid status", "[exchange][status]")
{
	const auto status = invalid_status_text();
	CAPTURE(status);
	proxy_world world;
	unsigned request_count = 0;
	const auto script = [&](const std::string&)
	{ return scripted_answer{++request_count == 1 ? bare_response(status) : answer_with("200 OK", "well")}; };
	scripted_replica first{world.context, script};
	scripted_replica second{world.context, script};
	world.start({{"plain", &first}, {"plain", &second}});
	CHECK(world.ask(request_to("GET", "/safe/a")).ends_with("well"));
	CHECK(request_count == 2);
}

TEST_CASE("what follows a response with an invalid status is not passed on", "[exchange][status]")
{
	const auto status = invalid_status_text();
	const bool is_one_segment = GENERATE(true, false);
	CAPTURE(status, is_one_segment);
	const auto body = answer_with("200 OK", "other");
	const auto head = bare_response(status, "Content-Length: " + std::to_string(body.size()) + "\r\n");
	proxy_world world;
	scripted_replica replica{world.context,
		[&](const std::string&) { return scripted_answer{is_one_segment ? head + body : head}; }};
	world.start({{"plain", &replica}});
	scripted_caller caller{world.context, world.port()};
	caller.send(request_to("POST", "/unsafe/a", "b"));
	world.run_until([&] { return !replica.requests().empty(); });
	if (!is_one_segment)
	{
		// By the time of the loop's next turns the head has been read.
		world.context.restart();
		world.context.poll();
		replica.send_more(body);
	}
	world.run_until([&] { return caller.has_answer() || caller.ended(); });
	check_is_own_failure(caller.received(), "other");
}

TEST_CASE("an invalid status by way of another VM is not passed on", "[exchange][status][forwarding]")
{
	const auto status = invalid_status_text();
	CAPTURE(status);
	proxy_world world;
	scripted_replica other_vm{world.context, [&](const std::string&)
		{
			const auto result = forwarding_result_line(proxy::forwarding_outcome::answered);
			return scripted_answer{bare_response(status, result)};
		}};
	start_without_path(world, "plain", other_vm.at());
	check_is_own_failure(world.ask(request_to("POST", "/unsafe/a", "b")), "other");
}

TEST_CASE("interim responses are skipped", "[exchange][status]")
{
	const auto status =
		GENERATE(as<std::string>{}, "100 Continue", "102 Processing", "103 Early Hints", "199 Unassigned");
	const bool is_one_segment = GENERATE(true, false);
	CAPTURE(status, is_one_segment);
	const auto interim = "HTTP/1.1 " + status + "\r\nLink: x\r\n\r\n";
	const auto last = answer_with("200 OK", "well");
	proxy_world world;
	scripted_replica replica{world.context, [&](const std::string&)
		{ return scripted_answer{is_one_segment ? interim + interim + last : interim}; }};
	world.start({{"plain", &replica}});
	scripted_caller caller{world.context, world.port()};
	caller.send(request_to("POST", "/unsafe/a", "b"));
	world.run_until([&] { return !replica.requests().empty(); });
	if (!is_one_segment)
	{
		replica.send_more(last);
	}
	world.run_until([&] { return caller.has_answer() || caller.ended(); });
	CHECK(caller.received().starts_with("HTTP/1.1 200 "));
	CHECK(caller.received().ends_with("well"));
	CHECK_FALSE(contains(caller.received(), "Link"));
}

TEST_CASE("every status from 200 to 599 that promises nothing is passed on", "[exchange][status]")
{
	const auto status = GENERATE(as<std::string>{}, "200 OK", "299 Odd", "302 Found", "404 Not Found",
		"499 Odd", "500 Internal Server Error", "599 Odd");
	CAPTURE(status);
	proxy_world world;
	scripted_replica replica{
		world.context, [&](const std::string&) { return scripted_answer{answer_with(status, "well")}; }};
	world.start({{"plain", &replica}});
	const auto response = world.ask(request_to("POST", "/unsafe/a", "b"));
	CHECK(response.starts_with("HTTP/1.1 " + status));
	CHECK(response.ends_with("well"));
}

TEST_CASE("the log tells what is invalid in a response", "[exchange][status]")
{
	proxy_world world;
	scripted_replica replica{
		world.context, [](const std::string&) { return scripted_answer{bare_response("000 ")}; }};
	world.start({{"plain", &replica}});
	std::string lines;
	{
		const captured_log log;
		static_cast<void>(world.ask(request_to("POST", "/unsafe/a", "b")));
		lines = log.text();
	}
	CHECK(contains(lines, "\"invalid head of a response\""));
	CHECK(contains(lines, "\"from\":\"r0\""));
	CHECK(contains(lines, "\"status\":0"));
	CHECK(contains(lines, proxy::name_of(proxy::upstream_fault::invalid_response)));
}
