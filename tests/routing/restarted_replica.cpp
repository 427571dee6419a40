// SPDX-License-Identifier: MIT
// A replica that starts again under its id is another process: it holds nothing of before, and what was
// known of the one before is not its own.
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
replica started(const std::string& id, std::int64_t born)
{
	auto made = make_replica(id);
	made.incarnation = replica_incarnation{born};
	return made;
}

/// Two replicas, the first of which may start again.
struct restart_world
{
	restart_world()
	{
		set.note_sound(at(milliseconds{-60000}));
		set.replace_all({started("r0", 1000), started("r1", 1000)}, at(milliseconds{-60000}));
		changes.clear();
	}

	void restart() { set.put(started("r0", 2000), at(milliseconds{0})); }

	[[nodiscard]] std::set<std::string> chosen() const
	{
		selection what;
		what.service = service_id{"s"};
		what.usable = [](const replica&) { return true; };
		std::set<std::string> found;
		for (int i = 0; i < 50; ++i)
		{
			found.insert(selector.choose(what, at(milliseconds{100}))->id.str());
		}
		return found;
	}

	std::vector<replica_change> changes;
	replica_set set{[this](const replica& one, replica_change change)
		{
			changes.push_back(change);
			if (change == replica_change::restarted)
			{
				selector.forget(one.id);
			}
		}};
	replica_selector selector{
		set, failure_domain_id{}, seeded_random{5}, [](const replica_id&, double, duration) {}};
};
} // namespace

TEST_CASE("a replica that starts again under its id is told as such, once", "[routing][restart]")
{
	restart_world world;
	world.set.put(started("r0", 1000), at(milliseconds{0}));
	CHECK(world.changes.empty());
	world.restart();
	world.restart();
	REQUIRE(world.changes.size() == 1);
	CHECK(world.changes.front() == replica_change::restarted);
	CHECK(world.set.of(service_id{"s"}).size() == 2);
	CHECK(world.set.find(replica_id{"r0"})->incarnation == replica_incarnation{2000});
}

TEST_CASE("nothing is sent to a process that has started again since it was chosen", "[routing][restart]")
{
	restart_world world;
	const auto before = *world.set.find(replica_id{"r0"});
	CHECK(world.set.takes_work(before));
	world.restart();
	CHECK_FALSE(world.set.takes_work(before));
	CHECK(world.set.takes_work(*world.set.find(replica_id{"r0"})));
}

TEST_CASE("an ejection ends with the process that it was for", "[routing][restart]")
{
	restart_world world;
	const auto before = *world.set.find(replica_id{"r0"});
	world.selector.note_result(before, replica_result::not_connected, duration{}, at(milliseconds{0}));
	CHECK(world.chosen() == std::set<std::string>{"r1"});
	world.restart();
	CHECK(world.chosen().contains("r0"));
	// What is heard late of the process before says nothing of this one.
	world.selector.note_result(before, replica_result::not_connected, duration{}, at(milliseconds{50}));
	CHECK(world.chosen().contains("r0"));
}

TEST_CASE("expected work ends with the process that it was sent to", "[routing][restart]")
{
	restart_world world;
	const auto before = *world.set.find(replica_id{"r0"});
	world.selector.note_sent(before, 5000);
	world.selector.note_elsewhere({{replica_id{"r0"}, 3000}}, at(milliseconds{0}));
	CHECK(world.selector.work_at(before, at(milliseconds{0})) == 8000);
	world.restart();
	const auto after = *world.set.find(replica_id{"r0"});
	CHECK(world.selector.work_at(after, at(milliseconds{0})) == 0);
	world.selector.note_sent(after, 700);
	// The requests sent before end only now.
	world.selector.note_part_done(before, 4000);
	world.selector.note_over(before, 1000);
	CHECK(world.selector.work_at(after, at(milliseconds{0})) == 700);
	world.selector.note_over(after, 700);
	CHECK(world.selector.open_work().empty());
}

TEST_CASE("an entry that lapsed and came back is the same process, with its ejection", "[routing][restart]")
{
	restart_world world;
	const auto one = *world.set.find(replica_id{"r0"});
	world.selector.note_result(one, replica_result::not_connected, duration{}, at(milliseconds{0}));
	world.set.note_unsound(at(milliseconds{10}));
	world.set.remove(replica_id{"r0"}, at(milliseconds{20}));
	world.set.put(one, at(milliseconds{30}));
	CHECK(world.chosen() == std::set<std::string>{"r1"});
}

TEST_CASE("connections to the process before are not used for the one that started again", "[pool][restart]")
{
	proxy::asio::io_context context{1};
	proxy::upstream_pool pool{context, "Request-Id"};
	const auto before = std::make_shared<const replica>(started("r0", 1000));
	const auto after = std::make_shared<const replica>(started("r0", 2000));
	const auto old_link = pool.acquire(before, true, at(milliseconds{0}));
	CHECK(pool.connection_count(replica_id{"r0"}) == 1);
	const auto new_link = pool.acquire(after, true, at(milliseconds{10}));
	CHECK(new_link->target()->incarnation == after->incarnation);
	CHECK(pool.connection_count(replica_id{"r0"}) == 1);
	pool.release(old_link, at(milliseconds{20}));
	CHECK(pool.connection_count(replica_id{"r0"}) == 1);
	CHECK(pool.idle_count(replica_id{"r0"}) == 0);
}

TEST_CASE("a heartbeat that only tells another time for which a replica is cold is news of its own kind",
	"[routing][slow_start]")
{
	restart_world world;
	auto cold = started("r0", 1000);
	cold.cold_left = milliseconds{1500};
	world.set.put(cold, at(milliseconds{0}));
	cold.cold_left = milliseconds{300};
	world.set.put(cold, at(milliseconds{1200}));
	CHECK(world.changes == std::vector{replica_change::cold_time, replica_change::cold_time});
	CHECK(world.set.find(replica_id{"r0"})->cold_left == milliseconds{300});
	cold.cold_left = milliseconds{0};
	cold.slots = 7;
	world.set.put(cold, at(milliseconds{2400}));
	cold.leaving = true;
	cold.cold_left = milliseconds{900};
	world.set.put(cold, at(milliseconds{3600}));
	CHECK(world.changes.at(2) == replica_change::changed);
	CHECK(world.changes.at(3) == replica_change::leaving);
}
