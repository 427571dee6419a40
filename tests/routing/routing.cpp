// SPDX-License-Identifier: MIT
// Routes, replicas as discovery tells them, and the budget of further attempts.
#include "../support/replicas.hpp"

#include <catch2/catch.hpp>
#include <gingerdyke/limits/attempt_budget.hpp>
#include <gingerdyke/routing/catalog.hpp>

using namespace gingerdyke;
using namespace gingerdyke::routing;
using gingerdyke::test::at;
using gingerdyke::test::make_replica;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace
{
/// A set with one replica, in a registry that has been sound for long.
struct settled_set
{
	settled_set()
	{
		set.note_sound(at(milliseconds{-60000}));
		set.replace_all({make_replica("a")}, at(milliseconds{-60000}));
		changes.clear();
	}

	std::vector<replica_change> changes;
	replica_set set{[this](const replica&, replica_change change) { changes.push_back(change); }};
};
} // namespace

TEST_CASE("the longest prefix of the host's routes counts", "[routing]")
{
	catalog_data data;
	for (const auto* prefix : {"/a/", "/a/b/", "/"})
	{
		route one;
		one.id = route_id{prefix};
		one.host = "Example";
		one.path_prefix = prefix;
		one.services.push_back({service_id{"s"}, 1});
		data.routes.push_back(one);
	}
	const catalog made{data};
	CHECK(made.find_route("example:80", "/a/b/c")->id.str() == "/a/b/");
	CHECK(made.find_route("EXAMPLE", "/a/bc")->id.str() == "/a/");
	CHECK(made.find_route("example", "/x")->id.str() == "/");
	CHECK(made.find_route("other", "/a/") == nullptr);
}

TEST_CASE("a split gives each service its share, and the same point the same service", "[routing]")
{
	route split;
	split.services = {{service_id{"a"}, 9}, {service_id{"b"}, 1}};
	unsigned b = 0;
	for (std::uint64_t point = 0; point < 1000; ++point)
	{
		b += pick_service(split, point).str() == "b" ? 1 : 0;
		CHECK(pick_service(split, point) == pick_service(split, point));
	}
	CHECK(b == 100);
}

TEST_CASE("addresses are read strictly", "[routing]")
{
	CHECK(address::parse("10.0.0.1:80") == address{"10.0.0.1", 80});
	for (const auto* wrong :
		{"", "10.0.0.1", ":80", "10.0.0.1:", "10.0.0.1:0", "10.0.0.1:70000", "10.0.0.1:8x"})
	{
		CHECK_FALSE(address::parse(wrong));
	}
}

TEST_CASE("an entry that goes while the registry is sound is gone at once", "[replicas]")
{
	settled_set world;
	world.set.remove(replica_id{"a"}, at(milliseconds{0}));
	CHECK(world.changes == std::vector{replica_change::gone});
}

TEST_CASE("an entry that lapses around an outage is kept until it had time to come back", "[replicas]")
{
	settled_set world;
	world.set.note_unsound(at(milliseconds{0}));
	world.set.note_sound(at(milliseconds{5000}));
	world.set.remove(replica_id{"a"}, at(milliseconds{5000}));
	CHECK(world.changes == std::vector{replica_change::suspected});
	CHECK(world.set.of(service_id{"s"}).size() == 1);

	SECTION("it comes back")
	{
		world.set.put(make_replica("a"), at(milliseconds{6000}));
		CHECK_FALSE(world.set.expire(at(milliseconds{9000})));
		CHECK(world.set.size() == 1);
	}
	SECTION("it does not")
	{
		const auto due = world.set.expire(at(milliseconds{6000}));
		REQUIRE(due);
		CHECK_FALSE(world.set.expire(*due));
		CHECK(world.set.size() == 0);
		CHECK(world.changes.back() == replica_change::gone);
	}
	SECTION("the registry goes away again before")
	{
		world.set.note_unsound(at(milliseconds{6000}));
		CHECK_FALSE(world.set.expire(at(milliseconds{20000})));
		CHECK(world.set.size() == 1);
	}
}

TEST_CASE("a replica that leaves is not kept for an outage", "[replicas]")
{
	settled_set world;
	auto leaving = make_replica("a");
	leaving.leaving = true;
	world.set.put(leaving, at(milliseconds{0}));
	world.set.note_unsound(at(milliseconds{100}));
	world.set.remove(replica_id{"a"}, at(milliseconds{200}));
	CHECK(world.changes == std::vector{replica_change::leaving, replica_change::gone});
}

TEST_CASE("further attempts of all VMs together keep within the ratio of all requests", "[budget]")
{
	limits::attempt_budget_tuning tuning;
	tuning.ratio = 0.5;
	tuning.used_share = 1;
	tuning.window = seconds{10};
	limits::attempt_budget budget{tuning};
	CHECK_FALSE(budget.take(at(milliseconds{0})));
	for (int i = 0; i < 10; ++i)
	{
		budget.note_request(at(milliseconds{i}));
	}
	unsigned taken = 0;
	while (budget.take(at(milliseconds{20})))
	{
		++taken;
	}
	CHECK(taken == 5);
	CHECK_FALSE(budget.take(at(milliseconds{9000})));
	// Both requests and attempts have left the window.
	CHECK(budget.left(at(milliseconds{10100})) == 0);
}
