// SPDX-License-Identifier: MIT
// Replicas whose registry entries are missing.
//
// Guards against requests to a replica that is long gone: one was sent 12.2 s after the registry had
// acknowledged the removal of the entry; 2 s are allowed. An entry that goes missing just after a loss of
// the registry only makes its replica suspected, until the registry has answered for 2.2 s. Each failed
// registry call of the VM restarted these 2.2 s, the registry refused the VM every 2.2 s, and meanwhile the
// suspected replica was chosen like any other.
#include "../support/replicas.hpp"

#include <catch2/catch.hpp>
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
/// Replicas "r0", "r1", ... of one service, in a registry that has been available for a long time.
struct replica_fixture
{
	explicit replica_fixture(int count)
	{
		set.mark_registry_available(at(milliseconds{-60000}));
		std::vector<replica> entries;
		entries.reserve(static_cast<std::size_t>(count));
		for (int i = 0; i < count; ++i)
		{
			entries.push_back(make_replica("r" + std::to_string(i)));
		}
		set.replace_all(std::move(entries), at(milliseconds{-60000}));
	}

	/// The registry is unavailable from one moment to another.
	void outage(milliseconds from, milliseconds to)
	{
		set.mark_registry_unavailable(at(from));
		set.mark_registry_available(at(to));
		set.expire(at(to));
	}

	[[nodiscard]] bool contains(const char* id) const { return set.find(replica_id{id}) != nullptr; }

	/// Returns the replicas that are chosen in many choices.
	[[nodiscard]] std::set<std::string> chosen(bool is_engine) const
	{
		selection request;
		request.service = service_id{"s"};
		request.is_engine = is_engine;
		request.usable = [](const replica&) { return true; };
		std::set<std::string> chosen_ids;
		for (int i = 0; i < 200; ++i)
		{
			chosen_ids.insert(selector.choose(request, at(milliseconds{0}))->id.str());
		}
		return chosen_ids;
	}

	replica_set set{[](const replica&, replica_change) {}};
	replica_selector selector{
		set, failure_domain_id{"a"}, seeded_random{3}, [](const replica_id&, double, duration) {}};
};
} // namespace

TEST_CASE(
	"a replica with a missing entry is not kept longer when the registry is lost repeatedly", "[replicas]")
{
	replica_fixture fixture{2};
	fixture.outage(milliseconds{0}, milliseconds{100});
	fixture.set.remove(replica_id{"r0"}, at(milliseconds{100}));
	for (int cycle = 1; cycle <= 10; ++cycle)
	{
		const milliseconds lost{2100 * cycle};
		fixture.set.expire(at(lost));
		fixture.outage(lost, lost + milliseconds{100});
	}
	// By now the registry has been available for 20 s.
	CHECK_FALSE(fixture.contains("r0"));
	CHECK(fixture.contains("r1"));
}

TEST_CASE("a replica whose entry is missing gets no requests while enough others have theirs", "[replicas]")
{
	const bool is_engine = GENERATE(true, false);
	replica_fixture fixture{5};
	fixture.outage(milliseconds{-200}, milliseconds{-100});
	fixture.set.remove(replica_id{"r2"}, at(milliseconds{-100}));
	REQUIRE(fixture.contains("r2"));
	CHECK(fixture.chosen(is_engine) == std::set<std::string>{"r0", "r1", "r3", "r4"});
}

TEST_CASE("if most entries are missing after an outage, all replicas stay in use", "[replicas]")
{
	const bool is_engine = GENERATE(true, false);
	replica_fixture fixture{5};
	fixture.outage(milliseconds{-200}, milliseconds{-100});
	for (const auto* id : {"r1", "r2", "r3"})
	{
		fixture.set.remove(replica_id{id}, at(milliseconds{-100}));
	}
	CHECK(fixture.chosen(is_engine).size() == 5);
}
