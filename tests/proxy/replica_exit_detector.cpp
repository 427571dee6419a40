// SPDX-License-Identifier: MIT
// What counts as the exit of a replica's process, and what does not.
#include "../support/event_loop.hpp"
#include "../support/scripted_peer.hpp"
#include <gingerdyke/proxy/replica_exit_detector.hpp>

using namespace gingerdyke;
using namespace gingerdyke::test;
using quarantine::content_key;
using quarantine::process_instance;

namespace
{
struct exit_detector_fixture
{
	exit_detector_fixture()
	{
		for (int i = 0; i < 4; ++i)
		{
			replicas.push_back(std::make_unique<scripted_replica>(
				context, [](const std::string&) { return scripted_answer{}; }));
			routing::replica entry;
			entry.id = replica_id{"r" + std::to_string(i)};
			entry.at = replicas.back()->at();
			entries.push_back(std::make_shared<const routing::replica>(entry));
			static_cast<void>(
				detector.runs().begin(*entries.back(), {content_key{"q"}, {}}, proxy::steady_now()));
		}
	}

	void break_response(std::size_t index)
	{
		detector.record_broken_response(entries[index], proxy::steady_now());
	}

	proxy::asio::io_context context{1};
	std::vector<std::unique_ptr<scripted_replica>> replicas;
	std::vector<routing::replica_ptr> entries;
	unsigned presumed_count = 0;
	std::vector<bool> resolved;
	std::size_t correlated = 0;
	proxy::replica_exit_detector detector{
		context, {[this](const proxy::replica_exit&) { ++presumed_count; },
					 [this](const proxy::replica_exit& exited, bool has_exited,
						 const std::vector<process_instance>& processes)
					 {
						 CHECK(exited.contents == std::vector{content_key{"q"}});
						 resolved.push_back(has_exited);
						 correlated = processes.size();
					 }}};
};
} // namespace

TEST_CASE("a broken response is no exit if the replica accepts another connection", "[quarantine]")
{
	exit_detector_fixture fixture;
	fixture.break_response(0);
	fixture.break_response(0);
	CHECK(fixture.presumed_count == 1);
	run_until(fixture.context, [&] { return !fixture.resolved.empty(); });
	CHECK(fixture.resolved == std::vector{false});
	fixture.break_response(0);
	CHECK(fixture.presumed_count == 2);
}

TEST_CASE("a replica that refuses connections has exited, which is reported once", "[quarantine]")
{
	exit_detector_fixture fixture;
	fixture.replicas[0]->crash();
	fixture.break_response(0);
	run_until(fixture.context, [&] { return !fixture.resolved.empty(); });
	CHECK(fixture.resolved == std::vector{true});
	fixture.break_response(0);
	fixture.detector.record_refused_connection(fixture.entries[0], proxy::steady_now());
	CHECK(fixture.presumed_count == 1);
	fixture.detector.runs().record_connection(*fixture.entries[0], proxy::steady_now());
	static_cast<void>(
		fixture.detector.runs().begin(*fixture.entries[0], {content_key{"q"}, {}}, proxy::steady_now()));
	fixture.detector.record_refused_connection(fixture.entries[0], proxy::steady_now());
	CHECK(fixture.resolved == std::vector{true, true});
}

TEST_CASE("three replicas that exit within the correlation window are reported as one loss", "[quarantine]")
{
	exit_detector_fixture fixture;
	for (std::size_t i = 0; i < 2; ++i)
	{
		fixture.detector.record_refused_connection(fixture.entries[i], proxy::steady_now());
	}
	CHECK(fixture.correlated == 0);
	fixture.detector.record_refused_connection(fixture.entries[2], proxy::steady_now());
	CHECK(fixture.correlated == 3);
}

TEST_CASE("the first of several simultaneous exits is also reported as correlated", "[quarantine]")
{
	exit_detector_fixture fixture;
	for (std::size_t i = 0; i < 3; ++i)
	{
		fixture.replicas[i]->crash();
		fixture.break_response(i);
	}
	bool was_called = false;
	fixture.detector.when_resolved([&] { was_called = true; });
	run_until(fixture.context, [&] { return !fixture.resolved.empty(); });
	CHECK(fixture.correlated == 3);
	CHECK(was_called);
}

TEST_CASE("a probe tells whether a replica's process runs", "[evidence]")
{
	exit_detector_fixture fixture;
	std::vector<proxy::process_state> states;
	const auto record = [&](proxy::process_state found) { states.push_back(found); };
	auto expected = proxy::process_state::running;
	SECTION("it accepts connections") {}
	SECTION("it has exited")
	{
		fixture.replicas[0]->crash();
		expected = proxy::process_state::exited;
	}
	SECTION("its host can't be reached")
	{
		auto unreachable = *fixture.entries[0];
		unreachable.at.ip = "no address";
		fixture.entries[0] = std::make_shared<const routing::replica>(unreachable);
		expected = proxy::process_state::unknown;
	}
	fixture.detector.when_state_known(fixture.entries[0], record);
	fixture.detector.when_state_known(fixture.entries[0], record);
	run_until(fixture.context, [&] { return states.size() == 2; });
	CHECK(states == std::vector{expected, expected});
	CHECK(fixture.presumed_count == 0);
}

TEST_CASE("a broken response during a probe is presumed to be an exit", "[evidence][quarantine]")
{
	exit_detector_fixture fixture;
	fixture.replicas[0]->crash();
	unsigned known_count = 0;
	const auto record = [&](proxy::process_state) { ++known_count; };
	fixture.detector.when_state_known(fixture.entries[0], record);
	fixture.break_response(0);
	fixture.detector.when_state_known(fixture.entries[0], record);
	run_until(fixture.context, [&] { return known_count == 2; });
	CHECK(fixture.resolved == std::vector{true});
	fixture.detector.when_state_known(fixture.entries[0], record);
	CHECK(known_count == 3);
	CHECK(fixture.replicas[0]->accepted() == 0);
}
