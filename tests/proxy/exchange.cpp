// SPDX-License-Identifier: MIT
// One request over its attempts: what callers are told, and what replicas get.
#include "../support/proxy_world.hpp"

using namespace gingerdyke;
using namespace gingerdyke::test;

namespace
{
scripted_replica::script answers(std::string bytes)
{
	return [bytes = std::move(bytes)](const std::string&) { return scripted_answer{bytes}; };
}

bool contains(const std::string& text, const std::string& part)
{
	return text.find(part) != std::string::npos;
}
} // namespace

TEST_CASE("an answer comes back unchanged, and the request reaches the replica unchanged", "[exchange]")
{
	proxy_world world;
	scripted_replica replica{world.context, answers(answer_with("201 Made", "hello", "X-Other: 1\r\n"))};
	world.start({{"plain", &replica}});
	const auto answer = world.ask(request_to("POST", "/unsafe/a?b=%20c", "body",
		"X-Kept: 1\r\nConnection: X-Hop\r\nX-Hop: 2\r\nHold: forged\r\nWorkspace: forged\r\nPriority: "
		"0\r\n"));
	CHECK(answer.starts_with("HTTP/1.1 201 Made\r\n"));
	CHECK(contains(answer, "Signature: s\r\n"));
	CHECK(contains(answer, "X-Other: 1\r\n"));
	CHECK(answer.ends_with("\r\n\r\nhello"));
	REQUIRE(replica.requests().size() == 1);
	const auto& sent = replica.requests().front();
	CHECK(sent.starts_with("POST /unsafe/a?b=%20c HTTP/1.1\r\n"));
	CHECK(sent.ends_with("\r\n\r\nbody"));
	CHECK(contains(sent, "X-Kept: 1\r\n"));
	CHECK(contains(sent, "Target-Replica: r0\r\n"));
	CHECK_FALSE(contains(sent, "X-Hop"));
	CHECK_FALSE(contains(sent, "forged"));
	CHECK_FALSE(contains(sent, "Priority"));
}

TEST_CASE(
	"a request that may not be repeated is sent once, and its loss is not called a refusal", "[exchange]")
{
	proxy_world world;
	scripted_replica first{world.context, [](const std::string&) {
							   return scripted_answer{"", true, false};
						   }};
	scripted_replica second{world.context, [](const std::string&) {
								return scripted_answer{"", true, false};
							}};
	world.data.routes.front().attempts = 3;
	world.start({{"plain", &first}, {"plain", &second}});
	const auto answer = world.ask(request_to("POST", "/unsafe/a", "body"));
	CHECK(answer.starts_with("HTTP/1.1 502 "));
	CHECK(first.requests().size() + second.requests().size() == 1);
}

TEST_CASE("a time limit with the request at a replica is not called a refusal", "[exchange]")
{
	proxy_world world;
	scripted_replica replica{world.context, answers("")};
	world.start({{"plain", &replica}});
	const auto answer = world.ask(request_to("POST", "/unsafe/a", "body", "Deadline-Ms: 100\r\n"));
	CHECK(answer.starts_with("HTTP/1.1 504 "));
	CHECK(replica.requests().size() == 1);
}

TEST_CASE("a replica that says that it did not run a request leaves it to another", "[exchange]")
{
	proxy_world world;
	int asked = 0;
	const auto script = [&](const std::string&)
	{
		return scripted_answer{
			++asked == 1 ? answer_with("503 Full", "", "Not-Run: 1\r\n") : answer_with("200 OK", "x")};
	};
	scripted_replica first{world.context, script};
	scripted_replica second{world.context, script};
	world.data.routes.front().attempts = 2;
	world.start({{"plain", &first}, {"plain", &second}});
	CHECK(world.ask(request_to("POST", "/unsafe/a", "body")).starts_with("HTTP/1.1 200 "));
	CHECK(asked == 2);
}

TEST_CASE("a refusal by the only replica is a refusal with the time to come back", "[exchange]")
{
	proxy_world world;
	scripted_replica replica{world.context, answers(answer_with("503 Full", "", "Not-Run: 1\r\n"))};
	world.start({{"plain", &replica}});
	const auto answer = world.ask(request_to("POST", "/unsafe/a", "body"));
	CHECK(answer.starts_with("HTTP/1.1 503 "));
	CHECK(contains(answer, "Retry-After: 0.250\r\n"));
}

TEST_CASE(
	"a replica that can't be reached costs no attempt, not even of a request that runs once", "[exchange]")
{
	proxy_world world;
	scripted_replica good{world.context, answers(answer_with("200 OK", "x"))};
	world.start({{"plain", &good}});
	auto gone = *world.gateway().replicas().of_service(service_id{"plain"}).front();
	proxy::tcp::acceptor probe{world.context, {proxy::asio::ip::address_v4::loopback(), 0}};
	gone.at.port = probe.local_endpoint().port();
	probe.close();
	for (const auto* id : {"gone1", "gone2", "gone3"})
	{
		gone.id = replica_id{id};
		world.gateway().replicas().put(gone, proxy::steady_now());
	}
	for (int i = 0; i < 4; ++i)
	{
		CHECK(world.ask(request_to("POST", "/unsafe/a", "body")).ends_with("x"));
	}
	CHECK(good.requests().size() == 4);
}

TEST_CASE("a request that comes before the VM is ready waits until it is", "[exchange]")
{
	proxy_world world;
	scripted_replica replica{world.context, answers(answer_with("200 OK", "x"))};
	scripted_caller caller{world.context, world.port()};
	caller.send(request_to("POST", "/unsafe/a", "body"));
	world.context.run_for(std::chrono::milliseconds{10});
	CHECK_FALSE(caller.has_answer());
	world.start({{"plain", &replica}});
	world.run_until([&] { return caller.has_answer(); });
	CHECK(caller.received().ends_with("x"));
}

TEST_CASE("where the VM does not become ready soon, the request is refused as not run", "[exchange]")
{
	proxy_world world;
	const auto answer = world.ask(request_to("POST", "/unsafe/a", "body"));
	CHECK(answer.starts_with("HTTP/1.1 503 "));
	CHECK(contains(answer, "Retry-After: 0.250\r\n"));
}

TEST_CASE("a request that may be repeated goes to another replica after a failure", "[exchange]")
{
	proxy_world world;
	int asked = 0;
	const auto script = [&](const std::string&)
	{
		++asked;
		return asked == 1 ? scripted_answer{answer_with("500 Broken", "no")}
						  : scripted_answer{answer_with("200 OK", "yes")};
	};
	scripted_replica first{world.context, script};
	scripted_replica second{world.context, script};
	world.start({{"plain", &first}, {"plain", &second}});
	CHECK(world.ask(request_to("GET", "/safe/a")).ends_with("yes"));
	CHECK(asked == 2);
}

TEST_CASE("a replica's failure is passed on as it is once attempts are used up", "[exchange]")
{
	proxy_world world;
	scripted_replica first{world.context, answers(answer_with("500 Broken", "no"))};
	scripted_replica second{world.context, answers(answer_with("500 Broken", "no"))};
	world.start({{"plain", &first}, {"plain", &second}});
	const auto answer = world.ask(request_to("GET", "/safe/a"));
	CHECK(answer.starts_with("HTTP/1.1 500 Broken\r\n"));
	CHECK(contains(answer, "Signature: s\r\n"));
	CHECK(first.requests().size() + second.requests().size() == 2);
}

TEST_CASE("a late answer to an earlier request is skipped", "[exchange]")
{
	proxy_world world;
	auto foreign = answer_with("200 OK", "foreign");
	foreign.replace(foreign.find("q1"), 2, "q0");
	scripted_replica replica{world.context, answers(foreign + answer_with("200 OK", "mine"))};
	world.start({{"plain", &replica}});
	CHECK(world.ask(request_to("POST", "/unsafe/a", "body")).ends_with("mine"));
}

TEST_CASE("an answer without its signature, or encoded, is not passed on as a success", "[exchange]")
{
	const auto more = GENERATE(std::string{"Content-Encoding: gzip\r\n"}, std::string{});
	auto bytes = answer_with("200 OK", "x", more);
	if (more.empty())
	{
		bytes.erase(bytes.find("Signature: s\r\n"), std::string{"Signature: s\r\n"}.size());
	}
	proxy_world world;
	scripted_replica replica{world.context, answers(bytes)};
	world.start({{"plain", &replica}});
	CHECK(world.ask(request_to("POST", "/unsafe/a", "body")).starts_with("HTTP/1.1 502 "));
}

TEST_CASE("a cut answer never looks whole", "[exchange]")
{
	proxy_world world;
	scripted_replica replica{world.context, [](const std::string&)
		{
			return scripted_answer{
				"HTTP/1.1 200 OK\r\nRequest-Id: q1\r\nSignature: s\r\nContent-Length: 10\r\n\r\nhalf", true,
				false};
		}};
	world.start({{"plain", &replica}});
	CHECK(world.ask(request_to("POST", "/unsafe/a", "body")).starts_with("HTTP/1.1 502 "));
}

TEST_CASE("an answer without a length ends with its connection, but not with a reset", "[exchange]")
{
	const bool resets = GENERATE(false, true);
	proxy_world world;
	scripted_replica replica{
		world.context, [resets](const std::string&) {
			return scripted_answer{
				"HTTP/1.1 200 OK\r\nRequest-Id: q1\r\nSignature: s\r\n\r\nall", !resets, resets};
		}};
	world.start({{"plain", &replica}});
	const auto answer = world.ask(request_to("POST", "/unsafe/a", "body"));
	CHECK(answer.starts_with(resets ? "HTTP/1.1 502 " : "HTTP/1.1 200 "));
}

TEST_CASE("bytes after a whole answer end the connection, and are nobody's answer", "[exchange]")
{
	proxy_world world;
	scripted_replica replica{
		world.context, answers(answer_with("200 OK", "x") + answer_with("200 OK", "extra"))};
	world.start({{"plain", &replica}});
	CHECK(world.ask(request_to("GET", "/safe/a")).ends_with("x"));
	CHECK(world.ask(request_to("GET", "/safe/a")).ends_with("x"));
	CHECK(replica.accepted() == 2);
}

TEST_CASE("a connection is used again, and a stale one costs a repeatable request nothing", "[exchange]")
{
	proxy_world world;
	scripted_replica replica{world.context, answers(answer_with("200 OK", "x"))};
	world.start({{"plain", &replica}});
	CHECK(world.ask(request_to("GET", "/safe/a")).ends_with("x"));
	CHECK(world.ask(request_to("GET", "/safe/a")).ends_with("x"));
	CHECK(replica.accepted() == 1);
	replica.close_last();
	CHECK(world.ask(request_to("GET", "/safe/a")).ends_with("x"));
	CHECK(replica.accepted() == 2);
}

TEST_CASE("a stream is passed on event by event and ends whole", "[exchange][stream]")
{
	proxy_world world;
	scripted_replica replica{
		world.context, answers(stream_head() + event_chunk(1) + event_chunk(2) + "0\r\n\r\n")};
	world.start({{"engine", &replica}});
	scripted_caller caller{world.context, world.port()};
	caller.send(request_to("POST", "/stream/a", "p", "Model: *\r\n"));
	world.run_until([&] { return caller.received().ends_with("0\r\n\r\n"); });
	CHECK(contains(caller.received(), event_chunk(1) + event_chunk(2)));
	CHECK(contains(replica.requests().front(), "Model: small\r\n"));
	CHECK(contains(replica.requests().front(), "Priority: 0\r\n"));
}

TEST_CASE("a stream that breaks goes on elsewhere after its last whole event", "[exchange][stream]")
{
	proxy_world world;
	int asked = 0;
	const auto script = [&](const std::string&)
	{
		++asked;
		return asked == 1
				   ? scripted_answer{stream_head() + event_chunk(1) + event_chunk(2) + "5\r\nid: 3\r\n", true,
						 false}
				   : scripted_answer{stream_head() + event_chunk(3) + "0\r\n\r\n"};
	};
	scripted_replica first{world.context, script};
	scripted_replica second{world.context, script};
	world.start({{"engine", &first}, {"engine", &second}});
	scripted_caller caller{world.context, world.port()};
	caller.send(request_to("POST", "/stream/a", "p", "Model: *\r\n"));
	world.run_until([&] { return caller.received().ends_with("0\r\n\r\n"); });
	CHECK(contains(caller.received(), event_chunk(1) + event_chunk(2) + event_chunk(3)));
	const auto& later = first.requests().empty() || contains(second.requests().back(), "Last-Event-Id")
							? second.requests().back()
							: first.requests().back();
	CHECK(contains(later, "Last-Event-Id: 2\r\n"));
}

TEST_CASE("a stream with a hole is never passed on as whole", "[exchange][stream]")
{
	proxy_world world;
	scripted_replica replica{
		world.context, answers(stream_head() + event_chunk(1) + event_chunk(3) + "0\r\n\r\n")};
	world.data.routes.back().attempts = 1;
	world.start({{"engine", &replica}});
	scripted_caller caller{world.context, world.port()};
	caller.send(request_to("POST", "/stream/a", "p"));
	world.run_until([&] { return caller.ended(); });
	CHECK_FALSE(caller.received().ends_with("0\r\n\r\n"));
	CHECK_FALSE(contains(caller.received(), "id: 3"));
}

TEST_CASE("an answer of little confidence is given up for the largest model's", "[exchange][stream]")
{
	proxy_world world;
	scripted_replica replica{world.context, [](const std::string& request)
		{
			return contains(request, "Model: small")
					   ? scripted_answer{stream_head("Confidence: 12\r\n") + event_chunk(1)}
					   : scripted_answer{stream_head("Confidence: 12\r\nX-From: large\r\n") + event_chunk(1) +
										 "0\r\n\r\n"};
		}};
	world.start({{"engine", &replica}});
	scripted_caller caller{world.context, world.port()};
	caller.send(request_to("POST", "/stream/a", "p", "Model: *\r\n"));
	world.run_until([&] { return caller.received().ends_with("0\r\n\r\n"); });
	CHECK(contains(caller.received(), "X-From: large"));
	CHECK(replica.requests().size() == 2);
	world.run_until([&] { return replica.ended() == 1; });
}

TEST_CASE("an answer of little confidence is kept where the largest model's would come too late",
	"[exchange][stream]")
{
	proxy_world world;
	scripted_replica replica{world.context, [](const std::string&)
		{ return scripted_answer{stream_head("Confidence: 12\r\n") + event_chunk(1) + "0\r\n\r\n"}; }};
	world.data.services.back().models = {{model_id{"small"}, 0.1}, {model_id{"large"}, 1}};
	world.start({{"engine", &replica}});
	// At the speed assumed at first, 12 tokens in a millisecond, this takes 27.5 s: within the time limit of
	// 30 s, far over the objective of 20 s.
	world.gateway().selector().record_sent(*world.gateway().replicas().find(replica_id{"r0"}), 330000);
	scripted_caller caller{world.context, world.port()};
	caller.send(request_to("POST", "/stream/a", "p", "Model: *\r\n"));
	world.run_until([&] { return caller.received().ends_with("0\r\n\r\n"); });
	CHECK(replica.requests().size() == 1);
	CHECK(world.log().count(proxy::request_outcome::served) == 1);
}

TEST_CASE("a request that its engines can't answer in time is refused at once, with when they can",
	"[exchange][stream]")
{
	proxy_world world;
	scripted_replica replica{world.context, answers("")};
	world.start({{"engine", &replica}});
	// At the speed assumed at first, 12 tokens in a millisecond, this takes 65 s; the time limit is 30 s.
	world.gateway().selector().record_sent(*world.gateway().replicas().find(replica_id{"r0"}), 780000);
	const auto answer = world.ask(request_to("POST", "/stream/a", "p", "Model: *\r\n"));
	CHECK(answer.starts_with("HTTP/1.1 503"));
	// In 45 s it would be answered within its objective of 20 s.
	CHECK(contains(answer, "Retry-After: 45.000"));
	CHECK(replica.requests().empty());
	CHECK(world.log().count(proxy::request_outcome::refused) == 1);
}

TEST_CASE("an idle engine is tried whatever is expected of it", "[exchange][stream]")
{
	proxy_world world;
	scripted_replica replica{world.context, answers(stream_head("") + event_chunk(1) + "0\r\n\r\n")};
	world.start({{"engine", &replica}});
	constexpr double few_tokens = 10;
	world.gateway()
		.first_tokens(service_id{"engine"})
		.record(few_tokens, std::chrono::hours{1}, proxy::steady_now());
	scripted_caller caller{world.context, world.port()};
	caller.send(request_to("POST", "/stream/a", "p", "Model: *\r\nTokens: 9000,100\r\n"));
	world.run_until([&] { return caller.received().ends_with("0\r\n\r\n"); });
	CHECK(replica.requests().size() == 1);
}

TEST_CASE("a caller that leaves stops its replica", "[exchange]")
{
	proxy_world world;
	scripted_replica replica{world.context, answers("")};
	world.start({{"plain", &replica}});
	scripted_caller caller{world.context, world.port()};
	caller.send(request_to("POST", "/unsafe/a", "body"));
	world.run_until([&] { return replica.requests().size() == 1; });
	caller.leave();
	world.run_until([&] { return replica.ended() == 1; });
	CHECK(world.log().count(proxy::request_outcome::abandoned) == 1);
}

TEST_CASE("a replica that leaves gets nothing more", "[exchange]")
{
	proxy_world world;
	scripted_replica replica{world.context, answers(answer_with("200 OK", "x"))};
	world.start({{"plain", &replica}});
	auto leaving = *world.gateway().replicas().of_service(service_id{"plain"}).front();
	leaving.leaving = true;
	world.gateway().replicas().put(leaving, proxy::steady_now());
	CHECK(world.ask(request_to("POST", "/unsafe/a", "body")).starts_with("HTTP/1.1 503 "));
	CHECK(replica.requests().empty());
}

TEST_CASE("a replica that leaves while the connection to it comes up gets nothing", "[exchange]")
{
	proxy_world world;
	scripted_replica first{world.context, answers(answer_with("200 OK", "x"))};
	scripted_replica second{world.context, answers(answer_with("200 OK", "x"))};
	world.start({{"plain", &first}, {"plain", &second}});
	scripted_caller caller{world.context, world.port()};
	caller.send(request_to("POST", "/unsafe/a", "body"));
	auto& gateway = world.gateway();
	const auto in_use = [&](const char* id) { return gateway.pool().open(replica_id{id}) > 0; };
	world.run_until([&] { return in_use("r0") || in_use("r1"); });
	const bool is_first = in_use("r0");
	const auto& left = is_first ? first : second;
	const auto& stays = is_first ? second : first;
	const replica_id id{is_first ? "r0" : "r1"};

	SECTION("it says that it drains")
	{
		auto leaving = *gateway.replicas().find(id);
		leaving.leaving = true;
		gateway.replicas().put(leaving, proxy::steady_now());
	}
	SECTION("its entry goes")
	{
		gateway.replicas().mark_registry_available(proxy::steady_now() - std::chrono::hours{1});
		gateway.replicas().remove(id, proxy::steady_now());
	}
	world.run_until([&] { return caller.has_answer(); });
	CHECK(caller.received().starts_with("HTTP/1.1 200 "));
	CHECK(left.requests().empty());
	CHECK(stays.requests().size() == 1);
}

TEST_CASE("a replica at a used address that answers for another one is forgotten", "[exchange]")
{
	proxy_world world;
	scripted_replica replica{
		world.context, answers(answer_with("421 Misdirected", "", "Replica-Id: other\r\n"))};
	world.start({{"plain", &replica}});
	CHECK(world.ask(request_to("POST", "/unsafe/a", "body")).starts_with("HTTP/1.1 503 "));
	CHECK(world.gateway().replicas().size() == 0);
}

TEST_CASE("keys: known, unknown, and not to be trusted", "[exchange][keys]")
{
	proxy_world world{duration{std::chrono::milliseconds{50}}};
	scripted_replica replica{world.context, answers(answer_with("200 OK", "x"))};
	world.data.needs_keys = true;
	world.data.workspaces.push_back({workspace_id{"w"}, 3});
	world.data.keys["secret"] = 0;
	world.start({{"plain", &replica}});
	CHECK(world.ask(request_to("GET", "/safe/a", "", "Authorization: Token wrong\r\n"))
			  .starts_with("HTTP/1.1 401 "));
	world.gateway().confirm(proxy::steady_now() + std::chrono::hours{1});
	CHECK(world.ask(request_to("GET", "/safe/a", "", "Authorization: Token secret\r\n")).ends_with("x"));
	REQUIRE(replica.requests().size() == 1);
	CHECK(contains(replica.requests().front(), "Workspace: w\r\n"));
	CHECK_FALSE(contains(replica.requests().front(), "secret"));
}

TEST_CASE("a configuration that was not confirmed for long refuses keys, known or not", "[exchange][keys]")
{
	proxy_world world{duration{-1}};
	scripted_replica replica{world.context, answers(answer_with("200 OK", "x"))};
	world.data.needs_keys = true;
	world.start({{"plain", &replica}});
	const auto answer = world.ask(request_to("GET", "/safe/a", "", "Authorization: Token any\r\n"));
	CHECK(answer.starts_with("HTTP/1.1 503 "));
	CHECK(contains(answer, "Retry-After"));
	CHECK(replica.requests().empty());
}

TEST_CASE("without a configuration everything is refused, and without a route it is not found", "[exchange]")
{
	proxy_world world;
	CHECK(world.ask(request_to("GET", "/safe/a")).starts_with("HTTP/1.1 503 "));
	scripted_replica replica{world.context, answers("")};
	world.start({{"plain", &replica}});
	CHECK(world.ask(request_to("GET", "/nothing/a")).starts_with("HTTP/1.1 404 "));
}

TEST_CASE("a VM with an old configuration does not say that a route or a key does not exist", "[exchange]")
{
	// Symptom: probes of a route that a configuration had brought 5 s before got 404; 3 s are allowed.
	// Cause: what a VM does not know is answered as unknown for good, however old its configuration.
	// Settled by request lines with reason "no route" and a config_age_ms of 5,120 to 9,224.
	proxy_world world{{}, duration{0}};
	scripted_replica replica{world.context, answers(answer_with("200 OK", "x"))};
	world.data.needs_keys = true;
	world.start({{"plain", &replica}});
	const auto unknown_route = world.ask(request_to("GET", "/nothing/a"));
	CHECK(unknown_route.starts_with("HTTP/1.1 503 "));
	CHECK(contains(unknown_route, "Retry-After"));
	const auto unknown_key = world.ask(request_to("GET", "/safe/a", "", "Authorization: Token new\r\n"));
	CHECK(unknown_key.starts_with("HTTP/1.1 503 "));
	CHECK(replica.requests().empty());
}

TEST_CASE("a VM that is being stopped takes no late streams", "[exchange]")
{
	proxy_world world;
	scripted_replica replica{world.context, answers("")};
	world.start({{"engine", &replica}});
	world.gateway().note_stop(proxy::steady_now() - std::chrono::seconds{4});
	CHECK(world.ask(request_to("POST", "/stream/a", "p")).starts_with("HTTP/1.1 503 "));
	CHECK(replica.requests().empty());
}

TEST_CASE("a caller that does not read its answer is given up, and its replica stopped", "[exchange][stream]")
{
	proxy_world world;
	scripted_replica replica{world.context, answers(stream_head() + event_chunk(1))};
	world.start({{"engine", &replica}});
	proxy::tcp::socket caller{world.context};
	scripted_caller::send_without_reading(
		caller, world.port(), request_to("POST", "/stream/a", "p", "Model: *\r\n"));
	world.run_until([&] { return replica.requests().size() == 1; });
	const std::string large(60000, 'x');
	for (int id = 2; replica.ended() == 0; ++id)
	{
		// Far more than the kernel's buffers and the bound together.
		REQUIRE(id < 2000);
		replica.send_more(proxy::write_chunk("id: " + std::to_string(id) + "\ndata: " + large + "\n\n"));
		world.context.restart();
		world.context.poll();
	}
	CHECK(world.log().count(proxy::request_outcome::abandoned) == 1);
}
