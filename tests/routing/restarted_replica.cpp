// SPDX-License-Identifier: MIT
// A replica that restarts under the same id is a new process: the previous process's state and records do
// not apply to it.
#include "../support/replicas.hpp"

#include <catch2/catch.hpp>
#include <gingerdyke/proxy/upstream_pool.hpp>
#include <gingerdyke/routing/replica_selector.hpp>
#include <set>

using namespace gingerdyke;
using namespace gingerdyke::routing;
using gingerdyke::test::at;
using gingerdyke::test::make_replica;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace
{
replica make_process(const std::string& id, std::int64_t started_at)
{
	auto made = make_replica(id);
	made.incarnation = replica_incarnation{started_at};
	return made;
}

/// Two replicas, the first of which can be restarted.
struct restart_fixture
{
	restart_fixture()
	{
		set.mark_registry_available(at(milliseconds{-60000}));
		set.replace_all({make_process("r0", 1000), make_process("r1", 1000)}, at(milliseconds{-60000}));
		changes.clear();
	}

	void restart() { set.put(make_process("r0", 2000), at(milliseconds{0})); }

	[[nodiscard]] std::set<std::string> chosen() const
	{
		selection request;
		request.service = service_id{"s"};
		request.usable = [](const replica&) { return true; };
		std::set<std::string> chosen_ids;
		for (int i = 0; i < 50; ++i)
		{
			chosen_ids.insert(selector.choose(request, at(milliseconds{100}))->id.str());
		}
		return chosen_ids;
	}

	std::vector<replica_change> changes;
	replica_set set{[this](const replica& updated, replica_change change)
		{
			changes.push_back(change);
			if (change == replica_change::restarted)
			{
				selector.forget(updated.id);
			}
		}};
	replica_selector selector{
		set, failure_domain_id{}, seeded_random{5}, [](const replica_id&, double, duration) {}};
};
} // namespace

TEST_CASE("a restart of a replica under the same id is reported once", "[routing][restart]")
{
	restart_fixture fixture;
	fixture.set.put(make_process("r0", 1000), at(milliseconds{0}));
	CHECK(fixture.changes.empty());
	fixture.restart();
	fixture.restart();
	REQUIRE(fixture.changes.size() == 1);
	CHECK(fixture.changes.front() == replica_change::restarted);
	CHECK(fixture.set.of_service(service_id{"s"}).size() == 2);
	CHECK(fixture.set.find(replica_id{"r0"})->incarnation == replica_incarnation{2000});
}

TEST_CASE("no requests are sent to a process that has restarted since it was chosen", "[routing][restart]")
{
	restart_fixture fixture;
	const auto before = *fixture.set.find(replica_id{"r0"});
	CHECK(fixture.set.accepts_requests(before));
	fixture.restart();
	CHECK_FALSE(fixture.set.accepts_requests(before));
	CHECK(fixture.set.accepts_requests(*fixture.set.find(replica_id{"r0"})));
}

TEST_CASE("an ejection ends with the process that was ejected", "[routing][restart]")
{
	restart_fixture fixture;
	const auto before = *fixture.set.find(replica_id{"r0"});
	fixture.selector.record_result(before, replica_result::not_connected, duration{}, at(milliseconds{0}));
	CHECK(fixture.chosen() == std::set<std::string>{"r1"});
	fixture.restart();
	CHECK(fixture.chosen().contains("r0"));
	// A late result of the previous process does not apply to this one.
	fixture.selector.record_result(before, replica_result::not_connected, duration{}, at(milliseconds{50}));
	CHECK(fixture.chosen().contains("r0"));
}

TEST_CASE("outstanding work ends with the process that it was sent to", "[routing][restart]")
{
	restart_fixture fixture;
	const auto before = *fixture.set.find(replica_id{"r0"});
	fixture.selector.record_sent(before, 5000);
	fixture.selector.set_remote_work({{replica_id{"r0"}, 3000}}, at(milliseconds{0}));
	CHECK(fixture.selector.work_at(before, at(milliseconds{0})) == 8000);
	fixture.restart();
	const auto after = *fixture.set.find(replica_id{"r0"});
	CHECK(fixture.selector.work_at(after, at(milliseconds{0})) == 0);
	fixture.selector.record_sent(after, 700);
	// The requests to the previous process end only now.
	fixture.selector.record_progress(before, 4000);
	fixture.selector.record_completion(before, 1000);
	CHECK(fixture.selector.work_at(after, at(milliseconds{0})) == 700);
	fixture.selector.record_completion(after, 700);
	CHECK(fixture.selector.outstanding_work().empty());
}

TEST_CASE("an entry that expired and came back is the same process and stays ejected", "[routing][restart]")
{
	restart_fixture fixture;
	const auto entry = *fixture.set.find(replica_id{"r0"});
	fixture.selector.record_result(entry, replica_result::not_connected, duration{}, at(milliseconds{0}));
	fixture.set.mark_registry_unavailable(at(milliseconds{10}));
	fixture.set.remove(replica_id{"r0"}, at(milliseconds{20}));
	fixture.set.put(entry, at(milliseconds{30}));
	CHECK(fixture.chosen() == std::set<std::string>{"r1"});
}

TEST_CASE("connections to the previous process are not used for the restarted one", "[pool][restart]")
{
	proxy::asio::io_context context{1};
	proxy::upstream_pool pool{context, "Request-Id", std::make_shared<limits::memory_account>()};
	const auto before = std::make_shared<const replica>(make_process("r0", 1000));
	const auto after = std::make_shared<const replica>(make_process("r0", 2000));
	const auto old_connection = pool.acquire(before, true, at(milliseconds{0}));
	CHECK(pool.connection_count(replica_id{"r0"}) == 1);
	const auto new_connection = pool.acquire(after, true, at(milliseconds{10}));
	CHECK(new_connection->target()->incarnation == after->incarnation);
	CHECK(pool.connection_count(replica_id{"r0"}) == 1);
	pool.release(old_connection, at(milliseconds{20}));
	CHECK(pool.connection_count(replica_id{"r0"}) == 1);
	CHECK(pool.idle_count(replica_id{"r0"}) == 0);
}

TEST_CASE("a heartbeat that only updates the remaining warm-up time is reported as its own kind of change",
	"[routing][slow_start]")
{
	restart_fixture fixture;
	auto cold = make_process("r0", 1000);
	cold.remaining_warmup = milliseconds{1500};
	fixture.set.put(cold, at(milliseconds{0}));
	cold.remaining_warmup = milliseconds{300};
	fixture.set.put(cold, at(milliseconds{1200}));
	CHECK(fixture.changes ==
		  std::vector{replica_change::remaining_warmup_changed, replica_change::remaining_warmup_changed});
	CHECK(fixture.set.find(replica_id{"r0"})->remaining_warmup == milliseconds{300});
	cold.remaining_warmup = milliseconds{0};
	cold.slots = 7;
	fixture.set.put(cold, at(milliseconds{2400}));
	cold.is_draining = true;
	cold.remaining_warmup = milliseconds{900};
	fixture.set.put(cold, at(milliseconds{3600}));
	CHECK(fixture.changes.at(2) == replica_change::changed);
	CHECK(fixture.changes.at(3) == replica_change::draining);
}
