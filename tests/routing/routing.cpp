// SPDX-License-Identifier: MIT
// Routes, replicas found by service discovery, and the budget of additional attempts.
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
/// A set with one replica, in a registry that has been available for a long time.
struct replica_fixture
{
	replica_fixture()
	{
		set.mark_registry_available(at(milliseconds{-60000}));
		set.replace_all({make_replica("a")}, at(milliseconds{-60000}));
		changes.clear();
	}

	std::vector<replica_change> changes;
	replica_set set{[this](const replica&, replica_change change) { changes.push_back(change); }};
};
} // namespace

TEST_CASE("the route with the longest matching prefix of the host is found", "[routing]")
{
	catalog_data data;
	for (const auto* prefix : {"/a/", "/a/b/", "/"})
	{
		route added;
		added.id = route_id{prefix};
		added.host = "Example";
		added.path_prefix = prefix;
		added.services.push_back({service_id{"s"}, 1});
		data.routes.push_back(added);
	}
	const catalog built{data};
	CHECK(built.find_route("example:80", "/a/b/c")->id.str() == "/a/b/");
	CHECK(built.find_route("EXAMPLE", "/a/bc")->id.str() == "/a/");
	CHECK(built.find_route("example", "/x")->id.str() == "/");
	CHECK(built.find_route("other", "/a/") == nullptr);
}

TEST_CASE("a traffic split gives each service its share, and equal hashes the same service", "[routing]")
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

TEST_CASE("malformed addresses are rejected", "[routing]")
{
	CHECK(address::parse("10.0.0.1:80") == address{"10.0.0.1", 80});
	for (const auto* malformed :
		{"", "10.0.0.1", ":80", "10.0.0.1:", "10.0.0.1:0", "10.0.0.1:70000", "10.0.0.1:8x"})
	{
		CHECK_FALSE(address::parse(malformed));
	}
}

TEST_CASE("a replica whose entry is removed while the registry is available is gone at once", "[replicas]")
{
	replica_fixture fixture;
	fixture.set.remove(replica_id{"a"}, at(milliseconds{0}));
	CHECK(fixture.changes == std::vector{replica_change::gone});
}

TEST_CASE("a replica whose entry expires around an outage is kept until the entry has had time to return",
	"[replicas]")
{
	replica_fixture fixture;
	fixture.set.mark_registry_unavailable(at(milliseconds{0}));
	fixture.set.mark_registry_available(at(milliseconds{5000}));
	fixture.set.remove(replica_id{"a"}, at(milliseconds{5000}));
	CHECK(fixture.changes == std::vector{replica_change::suspected});
	CHECK(fixture.set.of_service(service_id{"s"}).size() == 1);

	SECTION("the entry returns")
	{
		fixture.set.put(make_replica("a"), at(milliseconds{6000}));
		CHECK_FALSE(fixture.set.expire(at(milliseconds{9000})));
		CHECK(fixture.set.size() == 1);
	}
	SECTION("the entry does not return")
	{
		const auto due = fixture.set.expire(at(milliseconds{6000}));
		REQUIRE(due);
		CHECK_FALSE(fixture.set.expire(*due));
		CHECK(fixture.set.size() == 0);
		CHECK(fixture.changes.back() == replica_change::gone);
	}
	SECTION("the registry is lost again before")
	{
		fixture.set.mark_registry_unavailable(at(milliseconds{6000}));
		CHECK_FALSE(fixture.set.expire(at(milliseconds{20000})));
		CHECK(fixture.set.size() == 1);
	}
}

TEST_CASE("a draining replica is not kept during an outage", "[replicas]")
{
	replica_fixture fixture;
	auto draining = make_replica("a");
	draining.is_draining = true;
	fixture.set.put(draining, at(milliseconds{0}));
	fixture.set.mark_registry_unavailable(at(milliseconds{100}));
	fixture.set.remove(replica_id{"a"}, at(milliseconds{200}));
	CHECK(fixture.changes == std::vector{replica_change::draining, replica_change::gone});
}

TEST_CASE("additional attempts stay within the ratio of requests", "[budget]")
{
	limits::attempt_budget_tuning tuning;
	tuning.ratio = 0.5;
	tuning.used_share = 1;
	tuning.window = seconds{10};
	limits::attempt_budget budget{tuning};
	CHECK_FALSE(budget.take(at(milliseconds{0})));
	for (int i = 0; i < 10; ++i)
	{
		budget.record_request(at(milliseconds{i}));
	}
	unsigned taken = 0;
	while (budget.take(at(milliseconds{20})))
	{
		++taken;
	}
	CHECK(taken == 5);
	CHECK_FALSE(budget.take(at(milliseconds{9000})));
	// Both requests and additional attempts have left the window.
	CHECK(budget.available(at(milliseconds{10100})) == 0);
}
