// SPDX-License-Identifier: MIT
// Each attempt that reached a replica counts once for its version, by how it ended. A version that broke off
// half of its responses was completed: the heads counted as successes, and nothing else counted.
#include "../support/proxy_world.hpp"
#include "../support/upload_server.hpp"
#include <algorithm>

using namespace gingerdyke;
using namespace gingerdyke::test;
using std::chrono::milliseconds;

namespace
{
constexpr duration shift_length = std::chrono::seconds{100};

/// Elapsed fractions of a shift before and in the trial of the new version.
constexpr double before_trial = 0.1;
constexpr double in_trial = 0.6;

const std::string half_response =
	"HTTP/1.1 200 OK\r\nRequest-Id: q1\r\nSignature: s\r\nContent-Length: 10\r\n\r\nhalf";

/// Replicas of one version while a shift of their service is running.
struct shifted_version
{
	shifted_version(const char* service_name, std::size_t count, const scripted_replica::script& script,
		const char* version_name = "v2", double elapsed = in_trial, proxy::gateway_tuning tuning = {})
		: service(service_name), version(version_name), world({}, {}, false, {}, tuning)
	{
		for (std::size_t i = 0; i < count; ++i)
		{
			replicas.emplace_back(world.context, script);
		}
		world.data.routes.front().latency_objective = milliseconds{100};
		world.start({});
		set_draining(false);
		const auto now = proxy::steady_now();
		const rollout::registry_time registry_now = now.time_since_epoch();
		auto& versions = world.gateway().versions();
		versions.update_registry_time(registry_now, now);
		rollout::shift_plan plan;
		plan.service = service;
		plan.from_version = "v1";
		plan.to_version = "v2";
		plan.started = registry_now - scaled(shift_length, elapsed);
		plan.length = shift_length;
		plan.order = rollout::row_version{1};
		plan.row = rollout::row_version{2};
		versions.on_plan(plan, now - scaled(shift_length, elapsed));
	}

	void set_draining(bool is_draining)
	{
		auto all = entries();
		for (auto& entry : all)
		{
			entry.is_draining = is_draining;
		}
		world.gateway().set_replicas(std::move(all), proxy::steady_now());
	}

	void set_replicas_without(const routing::address& gone)
	{
		auto all = entries();
		std::erase_if(all, [&](const routing::replica& entry) { return entry.at.port == gone.port; });
		world.gateway().set_replicas(std::move(all), proxy::steady_now());
	}

	[[nodiscard]] std::vector<routing::replica> entries() const
	{
		std::vector<routing::replica> all;
		for (const auto& one : replicas)
		{
			routing::replica entry;
			entry.id = replica_id{"r" + std::to_string(all.size())};
			entry.service = service;
			entry.at = one.at();
			entry.version = version;
			all.push_back(entry);
		}
		return all;
	}

	/// Responses that count, and those of them that count as failures.
	[[nodiscard]] rollout::response_counts counts()
	{
		rollout::response_counts all;
		for (const auto& evidence : world.gateway().versions().own_evidence())
		{
			const auto seen = evidence.seen.all_routes();
			all += version == "v2" ? seen.new_version.sum() : seen.pre_trial;
		}
		return all;
	}

	/// Waits until the process of a broken response has been probed.
	void settle() { pass(milliseconds{100}); }

	void pass(duration span)
	{
		const auto end = proxy::steady_now() + span;
		world.run_until([&] { return proxy::steady_now() >= end; });
	}

	void check_counts(std::uint64_t responses, std::uint64_t failed)
	{
		settle();
		CHECK(counts().responses == responses);
		CHECK(counts().failed == failed);
	}

	service_id service;
	std::string version;
	proxy_world world;
	std::list<scripted_replica> replicas;
};

std::string unsafe_request(const std::string& more = {})
{
	return request_to("POST", "/unsafe/a", "body", more);
}

/// A request, the response to which is sent by the test.
scripted_replica::script silent()
{
	return [](const std::string&) { return scripted_answer{}; };
}
} // namespace

TEST_CASE("a response that breaks off counts as one failure", "[evidence][shift]")
{
	scripted_answer answer;
	SECTION("cut in the body")
	{
		answer = {half_response, true, false};
	}
	SECTION("reset in the body")
	{
		answer = {half_response, false, true};
	}
	SECTION("closed before the head")
	{
		answer = {"", true, false};
	}
	SECTION("reset before the head")
	{
		answer = {"", false, true};
	}
	SECTION("bytes that are no response")
	{
		answer = {"no response at all\r\n\r\n"};
	}
	SECTION("a head without the request's id")
	{
		answer = {"HTTP/1.1 200 OK\r\nSignature: s\r\nContent-Length: 0\r\n\r\n"};
	}
	SECTION("a content encoding")
	{
		answer = {answer_with("200 OK", "x", "Content-Encoding: gzip\r\n")};
	}
	SECTION("a response to another request")
	{
		answer = {
			"HTTP/1.1 200 OK\r\nRequest-Id: q0\r\nSignature: s\r\nContent-Length: 1\r\n\r\nx", true, false};
	}
	SECTION("a server error")
	{
		answer = {answer_with("500 Broken", "")};
	}
	SECTION("a server error that is cut")
	{
		answer = {"HTTP/1.1 500 Broken\r\nRequest-Id: q1\r\nContent-Length: 10\r\n\r\nhalf", true, false};
	}
	SECTION("a refusal status after a run")
	{
		answer = {answer_with("429 Many", "")};
	}
	shifted_version trial{"plain", 1, [&](const std::string&) { return answer; }};
	static_cast<void>(trial.world.ask(unsafe_request()));
	trial.check_counts(1, 1);
}

// Guards against a reset that the write of the upload takes: the part counted as a success.
TEST_CASE("a response that is reset during the upload counts as one failure", "[evidence][shift][upload]")
{
	constexpr std::size_t upload_bytes = std::size_t{16} << 20U;
	shifted_version trial{"plain", 0, silent()};
	const upload_server replica{trial.world.context,
		[](const std::string&)
		{ return std::string{"HTTP/1.1 200 OK\r\nRequest-Id: q1\r\nSignature: s\r\n\r\nhalf"}; },
		upload_ending::reset, upload_bytes};
	trial.world.data.limits.body_bytes = upload_bytes;
	routing::replica entry;
	entry.id = replica_id{"r0"};
	entry.service = trial.service;
	entry.at = replica.at();
	entry.version = trial.version;
	trial.world.gateway().set_replicas({entry}, proxy::steady_now());
	scripted_caller caller{trial.world.context, trial.world.port()};
	caller.send_while_running(request_to("POST", "/unsafe/a", std::string(upload_bytes, 'u')));
	trial.world.run_until([&] { return caller.has_answer() || caller.ended(); });
	CHECK(caller.received().starts_with("HTTP/1.1 502 "));
	trial.check_counts(1, 1);
}

TEST_CASE("the old version's broken responses count before the trial as well", "[evidence][shift]")
{
	shifted_version old{"plain", 1,
		[](const std::string&) {
			return scripted_answer{half_response, true, false};
		},
		"v1", before_trial};
	static_cast<void>(old.world.ask(unsafe_request()));
	old.check_counts(1, 1);
}

TEST_CASE("a whole response counts as one success", "[evidence][shift]")
{
	shifted_version trial{
		"plain", 1, [](const std::string&) { return scripted_answer{answer_with("200 OK", "x")}; }};
	static_cast<void>(trial.world.ask(unsafe_request()));
	trial.check_counts(1, 0);
}

TEST_CASE("each attempt of a repeatable request counts", "[evidence][shift]")
{
	int request_count = 0;
	shifted_version trial{"plain", 2,
		[&](const std::string&)
		{
			return ++request_count == 1 ? scripted_answer{half_response, true, false}
										: scripted_answer{answer_with("200 OK", "x")};
		}};
	CHECK(trial.world.ask(request_to("GET", "/safe/a")).ends_with("x"));
	trial.check_counts(2, 1);
}

TEST_CASE("a stream that breaks off counts as one failure", "[evidence][shift][stream]")
{
	std::string bytes = stream_head() + event_chunk(1);
	SECTION("between two events") {}
	SECTION("within an event")
	{
		bytes += proxy::write_chunk("id: 2\nda");
	}
	SECTION("with an end within an event")
	{
		bytes += proxy::write_chunk("id: 2\nda") + "0\r\n\r\n";
	}
	SECTION("with an event left out")
	{
		bytes += event_chunk(3);
	}
	shifted_version trial{"engine", 1, [&](const std::string&) {
							  return scripted_answer{bytes, true, false};
						  }};
	scripted_caller caller{trial.world.context, trial.world.port()};
	caller.send(request_to("POST", "/stream/a", "p", "Model: *\r\nDeadline-Ms: 2000\r\n"));
	trial.world.run_until([&] { return caller.ended(); });
	trial.check_counts(1, 1);
}

TEST_CASE("a response that breaks off while it is held counts as one failure", "[evidence][shift][held]")
{
	shifted_version trial{"engine", 2,
		[](const std::string& request)
		{
			const bool is_small = request.find("Model: small") != std::string::npos;
			return is_small ? scripted_answer{stream_head("Confidence: 1\r\n") + event_chunk(1), true, false}
							: scripted_answer{stream_head() + event_chunk(1) + "0\r\n\r\n"};
		}};
	scripted_caller caller{trial.world.context, trial.world.port()};
	caller.send(request_to("POST", "/stream/a", "p", "Model: *\r\n"));
	trial.world.run_until([&] { return caller.received().ends_with("0\r\n\r\n"); });
	trial.check_counts(2, 1);
}

TEST_CASE("silence until the deadline of a request that can't be repeated counts as one failure",
	"[evidence][shift]")
{
	std::string bytes;
	SECTION("without a response") {}
	SECTION("in the body")
	{
		bytes = half_response;
	}
	shifted_version trial{"plain", 1, [&](const std::string&) { return scripted_answer{bytes}; }};
	CHECK(trial.world.ask(unsafe_request("Deadline-Ms: 600\r\n")).starts_with("HTTP/1.1 504 "));
	trial.check_counts(1, 1);
}

TEST_CASE(
	"a connection that breaks after a run counts, although it has been used before", "[evidence][shift]")
{
	int request_count = 0;
	shifted_version trial{"plain", 1,
		[&](const std::string&)
		{ return ++request_count == 1 ? scripted_answer{answer_with("200 OK", "x")} : scripted_answer{}; }};
	static_cast<void>(trial.world.ask(unsafe_request()));
	scripted_caller caller{trial.world.context, trial.world.port()};
	caller.send(unsafe_request());
	trial.world.run_until([&] { return request_count == 2; });
	trial.pass(milliseconds{50});
	trial.replicas.front().close_last();
	trial.check_counts(2, 1);
	CHECK(trial.replicas.front().accepted() == 2);
}

// From here on: what says nothing about the version.

TEST_CASE("responses that a replica's exit breaks off do not count against its version", "[evidence][shift]")
{
	constexpr std::size_t together = 10;
	shifted_version trial{"plain", 1, silent()};
	std::list<scripted_caller> callers;
	for (std::size_t i = 0; i < together; ++i)
	{
		callers.emplace_back(trial.world.context, trial.world.port());
		callers.back().send(unsafe_request());
	}
	auto& replica = trial.replicas.front();
	trial.world.run_until([&] { return replica.requests().size() == together; });
	replica.crash();
	trial.world.run_until([&] { return callers.back().has_answer(); });
	trial.check_counts(0, 0);
}

TEST_CASE("a replica that is stopped as planned does not count against its version", "[evidence][shift]")
{
	shifted_version trial{"plain", 1, silent()};
	scripted_caller caller{trial.world.context, trial.world.port()};
	caller.send(unsafe_request());
	auto& replica = trial.replicas.front();
	trial.world.run_until([&] { return replica.requests().size() == 1; });
	trial.set_draining(true);
	replica.close_last();
	trial.world.run_until([&] { return caller.has_answer(); });
	trial.check_counts(0, 0);
}

TEST_CASE("a replica whose entry is gone does not count against its version", "[evidence][shift]")
{
	constexpr std::size_t replica_count = 3;
	shifted_version trial{"plain", replica_count, silent()};
	scripted_caller caller{trial.world.context, trial.world.port()};
	caller.send(unsafe_request());
	const auto has_request = [](const scripted_replica& one) { return !one.requests().empty(); };
	trial.world.run_until(
		[&] { return std::any_of(trial.replicas.begin(), trial.replicas.end(), has_request); });
	const auto target = std::find_if(trial.replicas.begin(), trial.replicas.end(), has_request);
	trial.set_replicas_without(target->at());
	target->close_last();
	trial.world.run_until([&] { return caller.has_answer(); });
	trial.check_counts(0, 0);
}

TEST_CASE(
	"an idle connection that its replica closes does not count against its version", "[evidence][shift]")
{
	// Longer than a test may be held up.
	proxy::gateway_tuning tuning;
	tuning.idle_close_delay = std::chrono::seconds{20};
	int request_count = 0;
	shifted_version trial{"plain", 1,
		[&](const std::string&)
		{
			return ++request_count == 1 ? scripted_answer{answer_with("200 OK", "x")}
										: scripted_answer{"", true, false};
		},
		"v2", in_trial, tuning};
	CHECK(trial.world.ask(unsafe_request()).starts_with("HTTP/1.1 200 "));
	CHECK(trial.world.ask(unsafe_request()).starts_with("HTTP/1.1 502 "));
	CHECK(trial.replicas.front().requests().size() == 2);
	trial.check_counts(1, 0);
}

TEST_CASE("a refused connection does not count against a version", "[evidence][shift]")
{
	shifted_version trial{"plain", 1, silent()};
	trial.replicas.front().crash();
	CHECK(trial.world.ask(unsafe_request()).starts_with("HTTP/1.1 503 "));
	trial.check_counts(0, 0);
}

TEST_CASE("a caller that leaves does not count against a version", "[evidence][shift]")
{
	shifted_version trial{"plain", 1, silent()};
	auto& replica = trial.replicas.front();
	scripted_caller caller{trial.world.context, trial.world.port()};
	caller.send(unsafe_request());
	trial.world.run_until([&] { return replica.requests().size() == 1; });
	caller.leave();
	trial.world.run_until([&] { return replica.ended() == 1; });
	trial.check_counts(0, 0);
}

TEST_CASE("a deadline that is too short does not count against a version", "[evidence][shift]")
{
	shifted_version trial{"plain", 1, silent()};
	CHECK(trial.world.ask(unsafe_request("Deadline-Ms: 60\r\n")).starts_with("HTTP/1.1 504 "));
	trial.check_counts(0, 0);
}

TEST_CASE("a request that a replica did not run does not count for its version", "[evidence][shift]")
{
	shifted_version trial{"plain", 1,
		[](const std::string&) { return scripted_answer{answer_with("503 Full", "", "Not-Run: 1\r\n")}; }};
	CHECK(trial.world.ask(unsafe_request()).starts_with("HTTP/1.1 503 "));
	trial.check_counts(0, 0);
}
