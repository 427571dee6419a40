// SPDX-License-Identifier: MIT
// The limits that replicas name in their answers: until when they hold.
#include "../support/replicas.hpp"

#include <catch2/catch.hpp>
#include <gingerdyke/routing/announced_limits.hpp>

using namespace gingerdyke;
using namespace gingerdyke::routing;
using gingerdyke::test::at;
using gingerdyke::test::make_replica;
using std::chrono::milliseconds;

TEST_CASE(
	"a limit is over once a request sent after it was named is answered without one", "[routing][limit]")
{
	const fleet_list vms;
	announced_limits limits{vms, [](const replica&, limit_change, const limit_statement&) {}};
	const auto one = make_replica("r1");
	limits.note_answer(one, {1.5, at(milliseconds{0}), "q1"}, at(milliseconds{100}));
	REQUIRE(limits.is_limited(one));
	// Its answer overtook the one that named the limit, or was under way with it.
	limits.note_answer(one, {std::nullopt, at(milliseconds{50}), "q2"}, at(milliseconds{120}));
	CHECK(limits.is_limited(one));
	limits.note_answer(one, {std::nullopt, at(milliseconds{110}), "q3"}, at(milliseconds{150}));
	CHECK_FALSE(limits.is_limited(one));
}

TEST_CASE("a limit does not hold for the next process under a replica's id", "[routing][limit]")
{
	const fleet_list vms;
	announced_limits limits{vms, [](const replica&, limit_change, const limit_statement&) {}};
	auto one = make_replica("r1");
	limits.note_answer(one, {1.5, at(milliseconds{0}), "q1"}, at(milliseconds{100}));
	one.incarnation = replica_incarnation{2};
	CHECK_FALSE(limits.is_limited(one));
}

TEST_CASE("of a replica's limit a line is told when it is named, changed and over", "[routing][limit]")
{
	std::vector<std::string> told;
	const fleet_list vms;
	announced_limits limits{vms, [&](const replica&, limit_change change, const limit_statement& said)
		{ told.push_back(std::string{name_of(change)} + " " + said.request); }};
	const auto one = make_replica("r1");
	limits.note_answer(one, {1.5, at(milliseconds{0}), "q1"}, at(milliseconds{100}));
	limits.note_answer(one, {1.5, at(milliseconds{200}), "q2"}, at(milliseconds{300}));
	limits.note_answer(one, {0.5, at(milliseconds{400}), "q3"}, at(milliseconds{500}));
	limits.note_answer(one, {std::nullopt, at(milliseconds{600}), "q4"}, at(milliseconds{700}));
	CHECK(told == std::vector<std::string>{"named q1", "changed q3", "over q4"});
}

TEST_CASE(
	"what another VM heard before a limit was found to be over does not bring it back", "[routing][limit]")
{
	const fleet_list vms;
	announced_limits limits{vms, [](const replica&, limit_change, const limit_statement&) {}};
	const auto one = make_replica("r1");
	limits.note_answer(one, {1.5, at(milliseconds{0}), "q1"}, at(milliseconds{100}));
	limits.note_answer(one, {std::nullopt, at(milliseconds{200}), "q2"}, at(milliseconds{300}));
	const limit_news old{one.id, one.incarnation, 1.5, milliseconds{200}};
	limits.note_elsewhere(one, old, at(milliseconds{350}));
	CHECK_FALSE(limits.is_limited(one));
	const limit_news newer{one.id, one.incarnation, 1.5, milliseconds{100}};
	limits.note_elsewhere(one, newer, at(milliseconds{350}));
	CHECK(limits.is_limited(one));
}

TEST_CASE("what a VM was told of a limit it does not tell as its own", "[routing][limit]")
{
	const fleet_list vms;
	announced_limits limits{vms, [](const replica&, limit_change, const limit_statement&) {}};
	const auto one = make_replica("r1");
	limits.note_elsewhere(one, {one.id, one.incarnation, 1.5, milliseconds{5}}, at(milliseconds{100}));
	REQUIRE(limits.is_limited(one));
	CHECK(limits.own_news(at(milliseconds{100})).empty());
	limits.note_answer(one, {2.0, at(milliseconds{150}), "q1"}, at(milliseconds{200}));
	CHECK(limits.own_news(at(milliseconds{200})).size() == 1);
}

TEST_CASE("a VM that the others do not count yet sends nothing to a replica with a limit", "[routing][limit]")
{
	fleet_list vms;
	announced_limits limits{vms, [](const replica&, limit_change, const limit_statement&) {}};
	const auto one = make_replica("r1");
	limits.note_answer(one, {100, at(milliseconds{0}), "q1"}, at(milliseconds{0}));
	CHECK_FALSE(limits.takes(one, at(std::chrono::seconds{60})));
	vms.set(vm_id{"vm1"}, {{vm_id{"vm1"}, {}}}, at(std::chrono::seconds{60}));
	CHECK_FALSE(limits.takes(one, at(std::chrono::seconds{64})));
	CHECK(limits.takes(one, at(std::chrono::seconds{66})));
}
