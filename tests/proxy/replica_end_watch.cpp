// SPDX-License-Identifier: MIT
// What counts as the end of a replica, and what does not.
#include "../support/event_loop.hpp"
#include "../support/scripted_peer.hpp"
#include <gingerdyke/proxy/replica_end_watch.hpp>

using namespace gingerdyke;
using namespace gingerdyke::test;
using quarantine::process_instance;
using quarantine::request_key;

namespace
{
struct watched
{
	watched()
	{
		for (int i = 0; i < 4; ++i)
		{
			replicas.push_back(std::make_unique<scripted_replica>(
				context, [](const std::string&) { return scripted_answer{}; }));
			routing::replica entry;
			entry.id = replica_id{"r" + std::to_string(i)};
			entry.at = replicas.back()->at();
			entries.push_back(std::make_shared<const routing::replica>(entry));
			static_cast<void>(watch.runs().begin(*entries.back(), request_key{"q"}, proxy::steady_now()));
		}
	}

	void break_at(std::size_t index) { watch.note_broken(entries[index], proxy::steady_now()); }

	proxy::asio::io_context context{1};
	std::vector<std::unique_ptr<scripted_replica>> replicas;
	std::vector<routing::replica_ptr> entries;
	unsigned presumed = 0;
	std::vector<bool> settled;
	std::size_t together = 0;
	proxy::replica_end_watch watch{context,
		{[this](const proxy::replica_end&) { ++presumed; },
			[this](const proxy::replica_end& end, bool has_ended, const std::vector<process_instance>& lives)
			{
				CHECK(end.requests == std::vector{request_key{"q"}});
				settled.push_back(has_ended);
				together = lives.size();
			}}};
};
} // namespace

TEST_CASE("an answer that breaks off is no end where the replica takes another connection", "[quarantine]")
{
	watched of;
	of.break_at(0);
	of.break_at(0);
	CHECK(of.presumed == 1);
	run_until(of.context, [&] { return !of.settled.empty(); });
	CHECK(of.settled == std::vector{false});
	of.break_at(0);
	CHECK(of.presumed == 2);
}

TEST_CASE("a replica that refuses connections has ended, and is told once", "[quarantine]")
{
	watched of;
	of.replicas[0]->crash();
	of.break_at(0);
	run_until(of.context, [&] { return !of.settled.empty(); });
	CHECK(of.settled == std::vector{true});
	of.break_at(0);
	of.watch.note_refused(of.entries[0], proxy::steady_now());
	CHECK(of.presumed == 1);
	of.watch.runs().record_connection(*of.entries[0], proxy::steady_now());
	static_cast<void>(of.watch.runs().begin(*of.entries[0], request_key{"q"}, proxy::steady_now()));
	of.watch.note_refused(of.entries[0], proxy::steady_now());
	CHECK(of.settled == std::vector{true, true});
}

TEST_CASE("three replicas that end within moments of each other are told as one loss", "[quarantine]")
{
	watched of;
	for (std::size_t i = 0; i < 2; ++i)
	{
		of.watch.note_refused(of.entries[i], proxy::steady_now());
	}
	CHECK(of.together == 0);
	of.watch.note_refused(of.entries[2], proxy::steady_now());
	CHECK(of.together == 3);
}

TEST_CASE("of several replicas that are lost at once the first end is known as one of them", "[quarantine]")
{
	watched of;
	for (std::size_t i = 0; i < 3; ++i)
	{
		of.replicas[i]->crash();
		of.break_at(i);
	}
	bool was_called = false;
	of.watch.when_settled([&] { was_called = true; });
	run_until(of.context, [&] { return !of.settled.empty(); });
	CHECK(of.together == 3);
	CHECK(was_called);
}
