// SPDX-License-Identifier: MIT
// The response of a smaller model is kept until the larger model's begins.
#include "../support/proxy_world.hpp"
#include <algorithm>
#include <gingerdyke/proxy/held_response.hpp>

using namespace gingerdyke;
using namespace gingerdyke::test;

namespace
{
const std::string end_of_stream = "0\r\n\r\n";
const std::string low_confidence = "Confidence: 12\r\n";

bool contains(const std::string& text, const std::string& part)
{
	return text.find(part) != std::string::npos;
}

scripted_answer refusal()
{
	return {answer_with("503 Full", "", "Not-Run: 1\r\n")};
}

/// An event larger than what is held.
std::string long_event()
{
	return proxy::write_chunk("id: 1\ndata: " + std::string(300000, 'x') + "\n\n");
}

scripted_answer whole_stream(const std::string& from)
{
	const auto event = [&](int id)
	{ return proxy::write_chunk("id: " + std::to_string(id) + "\ndata: " + from + "\n\n"); };
	return {stream_head(low_confidence + "X-From: " + from + "\r\n") + event(1) + event(2) + end_of_stream};
}

/// Replicas of one engine service; each model has its script.
struct cascade
{
	using script = std::function<scripted_answer()>;

	cascade(std::size_t replica_count, script small, script large)
		: answer_small(std::move(small)), answer_large(std::move(large))
	{
		for (std::size_t i = 0; i < replica_count; ++i)
		{
			replicas.emplace_back(world.context, [this](const std::string& text) { return answer(text); });
		}
	}

	scripted_answer answer(const std::string& text)
	{
		const bool is_small = contains(text, "Model: small");
		++(is_small ? small_requests : large_requests);
		return is_small ? answer_small() : answer_large();
	}

	void start()
	{
		std::vector<std::pair<std::string, const scripted_replica*>> entries;
		for (const auto& one : replicas)
		{
			entries.emplace_back("engine", &one);
		}
		world.start(entries);
	}

	/// Sends the caller's request.
	void send(const std::string& more = {})
	{
		caller.emplace(world.context, world.port());
		caller->send(request_to("POST", "/stream/a", "p", "Model: *\r\n" + more));
	}

	[[nodiscard]] bool is_answered() const
	{
		const auto& received = caller->received();
		const bool has_length = contains(received, "Content-Length: ");
		return caller->ended() || (has_length && caller->has_answer()) || received.ends_with(end_of_stream);
	}

	/// Sends the caller's request and waits for the end of its response.
	std::string ask(const std::string& more = {})
	{
		send(more);
		world.run_until([this] { return is_answered(); });
		return caller->received();
	}

	/// No replica has a request of this VM any more, by its own account.
	[[nodiscard]] bool is_balanced()
	{
		auto& gateway = world.gateway();
		const auto all = gateway.replicas().of_service(service_id{"engine"});
		return std::all_of(all.begin(), all.end(),
			[&](const routing::replica_ptr& one)
			{
				return gateway.selector().requests_in_progress(*one) == 0 &&
					   gateway.selector().work_at(*one, proxy::steady_now()) == 0;
			});
	}

	[[nodiscard]] unsigned ended_connections() const
	{
		unsigned count = 0;
		for (const auto& one : replicas)
		{
			count += one.ended();
		}
		return count;
	}

	[[nodiscard]] std::uint64_t served() { return world.log().count(proxy::request_outcome::served); }

	proxy_world world;
	script answer_small;
	script answer_large;
	std::list<scripted_replica> replicas;
	std::optional<scripted_caller> caller;
	unsigned small_requests = 0;
	unsigned large_requests = 0;
};

/// Whether a response is the whole stream of one model and of no other.
void check_is_stream_of(const std::string& response, const std::string& from)
{
	const std::string other = from == "small" ? "large" : "small";
	CHECK(response.starts_with("HTTP/1.1 200 "));
	CHECK(contains(response, "X-From: " + from));
	CHECK(contains(response, "id: 1\ndata: " + from));
	CHECK(contains(response, "id: 2\ndata: " + from));
	CHECK_FALSE(contains(response, other));
	CHECK(response.ends_with(end_of_stream));
}
} // namespace

TEST_CASE("the smaller model's response is used if the larger model's can't be had", "[held]")
{
	const std::size_t replica_count = GENERATE(1, 2);
	scripted_answer larger;
	SECTION("its engine is full")
	{
		larger = refusal();
	}
	SECTION("its connection is reset")
	{
		larger = {"", false, true};
	}
	SECTION("its connection is closed")
	{
		larger = {"", true, false};
	}
	SECTION("it fails")
	{
		larger = {answer_with("500 Broken", "broken")};
	}
	SECTION("it rejects the request")
	{
		larger = {answer_with("400 Too long", "too long")};
	}
	SECTION("its response is invalid")
	{
		larger = {"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"};
	}
	SECTION("its response ends before the first event")
	{
		larger = {stream_head(), true, false};
	}
	cascade fleet{replica_count, [] { return whole_stream("small"); }, [&] { return larger; }};
	fleet.start();
	check_is_stream_of(fleet.ask(), "small");
	CHECK(contains(fleet.world.log().prometheus_text(), "gingerdyke_held_responses_used_total 1"));
	CHECK(fleet.small_requests == 1);
	CHECK(fleet.large_requests >= 1);
	CHECK(fleet.large_requests <= 2);
	CHECK(fleet.served() == 1);
	CHECK(fleet.is_balanced());
}

TEST_CASE("the smaller model's response is used if no replica is left for the larger model", "[held]")
{
	cascade fleet{1, [] { return scripted_answer{stream_head(low_confidence) + event_chunk(1)}; },
		[] { return whole_stream("large"); }};
	fleet.start();
	auto& gateway = fleet.world.gateway();
	fleet.send();
	fleet.world.run_until([&] { return gateway.pool().connection_count(replica_id{"r0"}) == 2; });
	auto draining = *gateway.replicas().find(replica_id{"r0"});
	draining.is_draining = true;
	gateway.replicas().put(draining, proxy::steady_now());
	fleet.world.run_until([&] { return contains(fleet.caller->received(), event_chunk(1)); });
	fleet.replicas.front().send_more(event_chunk(2) + end_of_stream);
	fleet.world.run_until([&] { return fleet.is_answered(); });
	CHECK(fleet.caller->received().ends_with(event_chunk(1) + event_chunk(2) + end_of_stream));
	CHECK(fleet.large_requests == 0);
	CHECK(fleet.is_balanced());
}

TEST_CASE("the smaller model's response is used if the retry budget is used up", "[held]")
{
	cascade fleet{2, [] { return whole_stream("small"); }, [] { return refusal(); }};
	fleet.answer_large = [&]
	{
		auto& budget = fleet.world.gateway().budget(service_id{"engine"});
		while (budget.take(proxy::steady_now()))
		{
		}
		return refusal();
	};
	fleet.start();
	check_is_stream_of(fleet.ask(), "small");
	CHECK(fleet.large_requests == 1);
	CHECK(fleet.is_balanced());
}

TEST_CASE("the smaller model's whole response is used if the larger model is silent", "[held]")
{
	cascade fleet{1, [] { return whole_stream("small"); }, [] { return scripted_answer{}; }};
	SECTION("until the deadline")
	{
		fleet.start();
		check_is_stream_of(fleet.ask("Deadline-Ms: 600\r\n"), "small");
	}
	SECTION("for longer than the route waits for a first byte")
	{
		fleet.world.data.routes.back().attempts = 2;
		fleet.world.data.routes.back().latency_objective = std::chrono::milliseconds{500};
		fleet.start();
		check_is_stream_of(fleet.ask("Deadline-Ms: 15000\r\n"), "small");
	}
	CHECK(fleet.large_requests == 1);
	CHECK(fleet.is_balanced());
	fleet.world.run_until([&] { return fleet.ended_connections() == 1; });
}

TEST_CASE("a response that is not whole at the deadline is not passed on", "[held]")
{
	cascade fleet{1, [] { return scripted_answer{stream_head(low_confidence) + event_chunk(1)}; },
		[] { return scripted_answer{}; }};
	fleet.start();
	CHECK(fleet.ask("Deadline-Ms: 600\r\n").starts_with("HTTP/1.1 504 "));
	CHECK(fleet.is_balanced());
	fleet.world.run_until([&] { return fleet.ended_connections() == 2; });
}

TEST_CASE("a caller that disconnects stops both models' work", "[held]")
{
	cascade fleet{1, [] { return scripted_answer{stream_head(low_confidence) + event_chunk(1)}; },
		[] { return scripted_answer{}; }};
	fleet.start();
	fleet.send();
	fleet.world.run_until([&] { return fleet.large_requests == 1; });
	CHECK(fleet.ended_connections() == 0);
	fleet.caller->leave();
	fleet.world.run_until([&] { return fleet.ended_connections() == 2; });
	CHECK(fleet.world.log().count(proxy::request_outcome::abandoned) == 1);
	CHECK(fleet.is_balanced());
}

TEST_CASE("a response that grows beyond the bound is used at once", "[held]")
{
	cascade fleet{1, [] { return scripted_answer{stream_head(low_confidence) + long_event()}; },
		[] { return scripted_answer{}; }};
	fleet.start();
	fleet.send();
	fleet.world.run_until([&] { return fleet.caller->received().ends_with(long_event()); });
	fleet.world.run_until([&] { return fleet.ended_connections() == fleet.large_requests; });
	CHECK(fleet.world.gateway().selector().requests_in_progress(
			  *fleet.world.gateway().replicas().find(replica_id{"r0"})) == 1);
	fleet.caller->leave();
	fleet.world.run_until([&] { return fleet.is_balanced(); });
}

TEST_CASE("the larger model's response is used alone", "[held]")
{
	scripted_answer smaller;
	unsigned closed_count = 0;
	SECTION("the smaller model's is whole")
	{
		smaller = whole_stream("small");
	}
	SECTION("the smaller model's goes on")
	{
		smaller = {stream_head(low_confidence + "X-From: small\r\n") + event_chunk(1)};
		closed_count = 1;
	}
	SECTION("the smaller model's breaks off")
	{
		smaller = {stream_head(low_confidence + "X-From: small\r\n") + event_chunk(1), true, false};
		// This is the probe that shows that the replica is still there.
		closed_count = 1;
	}
	SECTION("the smaller model's skips an event")
	{
		smaller = {stream_head(low_confidence + "X-From: small\r\n") + event_chunk(1) + event_chunk(3)};
		closed_count = 1;
	}
	cascade fleet{2, [&] { return smaller; }, [] { return whole_stream("large"); }};
	fleet.start();
	check_is_stream_of(fleet.ask(), "large");
	CHECK(fleet.large_requests == 1);
	CHECK(fleet.served() == 1);
	CHECK(fleet.is_balanced());
	fleet.world.run_until([&] { return fleet.ended_connections() == closed_count; });
	CHECK_FALSE(contains(fleet.world.log().prometheus_text(), "gingerdyke_held_responses_used_total 1"));
}

TEST_CASE("a response that broke off while it was held is not used", "[held]")
{
	cascade fleet{1,
		[] {
			return scripted_answer{stream_head(low_confidence) + event_chunk(1), true, false};
		},
		[] { return refusal(); }};
	fleet.start();
	CHECK(fleet.ask().starts_with("HTTP/1.1 502 "));
	CHECK(fleet.is_balanced());
}

TEST_CASE("a response is held during several attempts at the larger model", "[held]")
{
	cascade fleet{2, [] { return whole_stream("small"); }, [] { return scripted_answer{}; }};
	std::string expected;
	SECTION("the last one succeeds")
	{
		fleet.answer_large = [&] { return fleet.large_requests == 1 ? refusal() : whole_stream("large"); };
		expected = "large";
	}
	SECTION("none succeeds")
	{
		fleet.answer_large = [] { return refusal(); };
		expected = "small";
	}
	fleet.start();
	check_is_stream_of(fleet.ask(), expected);
	CHECK(fleet.small_requests == 1);
	CHECK(fleet.large_requests == 2);
	CHECK(fleet.is_balanced());
}

TEST_CASE("a response that is used after all is resumed like any other if it breaks off", "[held]")
{
	cascade fleet{2, [] { return scripted_answer{}; }, [] { return scripted_answer{}; }};
	fleet.answer_small = [&]
	{
		return fleet.small_requests == 1 ? scripted_answer{stream_head(low_confidence) + long_event()}
										 : scripted_answer{stream_head() + event_chunk(2) + end_of_stream};
	};
	fleet.start();
	fleet.send();
	fleet.world.run_until([&] { return fleet.caller->received().ends_with(long_event()); });
	for (auto& one : fleet.replicas)
	{
		if (!one.requests().empty() && contains(one.requests().front(), "Model: small"))
		{
			one.crash();
		}
	}
	fleet.world.run_until([&] { return fleet.is_answered(); });
	CHECK(fleet.caller->received().ends_with(long_event() + event_chunk(2) + end_of_stream));
	CHECK(fleet.small_requests == 2);
	const auto is_resumption = [](const scripted_replica& one)
	{ return !one.requests().empty() && contains(one.requests().back(), "Last-Event-Id: 1\r\n"); };
	CHECK(std::any_of(fleet.replicas.begin(), fleet.replicas.end(), is_resumption));
	CHECK(fleet.served() == 1);
	CHECK(fleet.is_balanced());
}

TEST_CASE("a response that is not a stream is held as well", "[held]")
{
	const bool succeeds = GENERATE(false, true);
	cascade fleet{1, [] { return scripted_answer{answer_with("200 OK", "small", low_confidence)}; },
		[=] { return succeeds ? scripted_answer{answer_with("200 OK", "large")} : refusal(); }};
	fleet.world.data.routes.back().streams = false;
	fleet.world.data.routes.back().repeatable = true;
	fleet.start();
	const auto response = fleet.ask();
	CHECK(response.starts_with("HTTP/1.1 200 OK\r\n"));
	CHECK(response.ends_with(succeeds ? "large" : "small"));
	CHECK(fleet.served() == 1);
	CHECK(fleet.is_balanced());
}

TEST_CASE("the smaller model's response is used if the larger model's can't be had by way of another VM",
	"[held][forwarding]")
{
	scripted_answer answer_of_vm;
	std::string expected = "small";
	const auto forwarded = [](const std::string& status, proxy::forwarding_outcome outcome)
	{
		const proxy::forwarding_result result{outcome, 3, replica_id{"r9"}};
		return scripted_answer{answer_with(status, "by another VM",
			std::string{proxy::forwarding_result_header} + ": " + proxy::write_result(result) + "\r\n")};
	};
	SECTION("the other VM is lost")
	{
		answer_of_vm = {"", false, true};
	}
	SECTION("the other VM has failed")
	{
		answer_of_vm = forwarded("502 Bad Gateway", proxy::forwarding_outcome::failed);
	}
	SECTION("the other VM refuses")
	{
		answer_of_vm = forwarded("503 Unavailable", proxy::forwarding_outcome::refused);
	}
	SECTION("the other VM can't serve it")
	{
		answer_of_vm = forwarded("503 Unavailable", proxy::forwarding_outcome::unavailable);
	}
	SECTION("the replica behind the other VM fails")
	{
		answer_of_vm = forwarded("500 Broken", proxy::forwarding_outcome::answered);
	}
	SECTION("the other VM passes on a stream")
	{
		answer_of_vm = whole_stream("large");
		const proxy::forwarding_result result{proxy::forwarding_outcome::answered, 3, replica_id{"r9"}};
		const std::string first_field = "Request-Id: q1\r\n";
		answer_of_vm.bytes.insert(answer_of_vm.bytes.find(first_field),
			std::string{proxy::forwarding_result_header} + ": " + proxy::write_result(result) + "\r\n");
		expected = "large";
	}
	cascade fleet{1, [] { return whole_stream("small"); }, [] { return refusal(); }};
	scripted_replica other_vm{fleet.world.context, [&](const std::string&) { return answer_of_vm; }};
	fleet.start();
	auto& gateway = fleet.world.gateway();
	auto gone = *gateway.replicas().find(replica_id{"r0"});
	proxy::tcp::acceptor probe{fleet.world.context, {proxy::asio::ip::address_v4::loopback(), 0}};
	gone.at.port = probe.local_endpoint().port();
	probe.close();
	gone.id = replica_id{"gone"};
	gateway.replicas().put(gone, proxy::steady_now());
	routing::forwarding_peer peer;
	peer.vm = vm_id{"other"};
	peer.at = other_vm.at();
	gateway.peers().set_peers({peer});
	check_is_stream_of(fleet.ask(), expected);
	CHECK(other_vm.requests().size() == 1);
	CHECK(fleet.served() == 1);
	CHECK(fleet.is_balanced());
}

TEST_CASE(
	"a VM that serves a request for another one passes the smaller model's response on", "[held][forwarding]")
{
	cascade fleet{1, [] { return whole_stream("small"); }, [] { return refusal(); }};
	fleet.start();
	const proxy::forwarding_terms terms{vm_id{"other"}, 0, 3, {}, 1};
	fleet.caller.emplace(fleet.world.context, fleet.world.listen_for_vms());
	fleet.caller->send(request_to("POST", "/stream/a", "p",
		"Model: *\r\n" + std::string{proxy::forwarding_header} + ": " + proxy::write_terms(terms) + "\r\n"));
	fleet.world.run_until([&] { return fleet.is_answered(); });
	const proxy::forwarding_result result{proxy::forwarding_outcome::answered, 2, replica_id{"r0"}};
	check_is_stream_of(fleet.caller->received(), "small");
	CHECK(contains(fleet.caller->received(), proxy::write_result(result)));
	CHECK(fleet.is_balanced());
}

TEST_CASE("a held response is whole, broken or too large", "[held]")
{
	const auto now = proxy::steady_now();
	proxy::attempt source;
	SECTION("a stream")
	{
		source.is_stream = true;
		proxy::held_response held{source, proxy::event_stream{4}};
		CHECK(held.add("id: 5\ndata: x\n\nid: 6\n", now) == proxy::held_state::arriving);
		CHECK(held.events().size() == 1);
		SECTION("ends after an event")
		{
			CHECK(held.add("data: x\n\n", now) == proxy::held_state::arriving);
			CHECK(held.end() == proxy::held_state::whole);
			CHECK(held.events().size() == 2);
			CHECK(held.parser().last_id() == 6);
		}
		SECTION("ends within an event")
		{
			CHECK(held.end() == proxy::held_state::broken);
		}
		SECTION("skips an event")
		{
			CHECK(held.add("data: x\n\nid: 8\ndata: x\n\n", now) == proxy::held_state::broken);
		}
		SECTION("grows too large")
		{
			const std::string most(proxy::held_response::max_bytes, 'x');
			CHECK(held.add("data: " + most, now) == proxy::held_state::full);
		}
	}
	SECTION("a stream without events")
	{
		source.is_stream = true;
		proxy::held_response held{source, proxy::event_stream{}};
		CHECK(held.end() == proxy::held_state::broken);
	}
	SECTION("no stream")
	{
		proxy::held_response held{source, proxy::event_stream{}};
		const std::string most(proxy::held_response::max_bytes, 'x');
		CHECK(held.add(most, now) == proxy::held_state::arriving);
		SECTION("of the largest size")
		{
			CHECK(held.end() == proxy::held_state::whole);
			CHECK(proxy::body_buffer{held.source().body}.take() == most);
		}
		SECTION("beyond it")
		{
			CHECK(held.add("x", now) == proxy::held_state::full);
			CHECK(held.source().body.size() == most.size() + 1);
		}
	}
}

TEST_CASE(
	"the smaller model's response is used if the request is quarantined meanwhile", "[held][quarantine]")
{
	cascade fleet{2, [] { return whole_stream("small"); }, [] { return refusal(); }};
	fleet.answer_large = [&]
	{
		const auto key = quarantine::key_of({"POST", "example", "/stream/a", "", "p"});
		for (const int process_number : {1, 2, 3})
		{
			const quarantine::process_instance process{process_number};
			fleet.world.gateway().suspects().presume(process, {key}, proxy::steady_now());
			fleet.world.gateway().suspects().confirm(process, {}, proxy::steady_now());
		}
		return refusal();
	};
	fleet.start();
	check_is_stream_of(fleet.ask(), "small");
	CHECK(fleet.large_requests == 1);
	CHECK(fleet.is_balanced());
}
