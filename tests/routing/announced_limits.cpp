// SPDX-License-Identifier: MIT
// Rate limits that replicas announce in their responses, and when a limit ends.
#include "../support/replicas.hpp"

#include <catch2/catch.hpp>
#include <gingerdyke/routing/announced_limits.hpp>

using namespace gingerdyke;
using namespace gingerdyke::routing;
using gingerdyke::test::at;
using gingerdyke::test::make_replica;
using std::chrono::milliseconds;

TEST_CASE(
	"a limit ends when a request sent after its announcement is answered without a limit", "[routing][limit]")
{
	const fleet_list vms;
	announced_limits limits{vms, [](const replica&, limit_change, const limit_announcement&) {}};
	const auto target = make_replica("r1");
	limits.record_response(target, {1.5, at(milliseconds{0}), "q1"}, at(milliseconds{100}));
	REQUIRE(limits.is_limited(target));
	// This request was sent before the limit was received, so its response may have been overtaken.
	limits.record_response(target, {std::nullopt, at(milliseconds{50}), "q2"}, at(milliseconds{120}));
	CHECK(limits.is_limited(target));
	limits.record_response(target, {std::nullopt, at(milliseconds{110}), "q3"}, at(milliseconds{150}));
	CHECK_FALSE(limits.is_limited(target));
}

TEST_CASE("a limit does not apply to the next process with the same replica id", "[routing][limit]")
{
	const fleet_list vms;
	announced_limits limits{vms, [](const replica&, limit_change, const limit_announcement&) {}};
	auto target = make_replica("r1");
	limits.record_response(target, {1.5, at(milliseconds{0}), "q1"}, at(milliseconds{100}));
	target.incarnation = replica_incarnation{2};
	CHECK_FALSE(limits.is_limited(target));
}

TEST_CASE(
	"a change of a replica's limit is reported when it is announced, changed and removed", "[routing][limit]")
{
	std::vector<std::string> logged;
	const fleet_list vms;
	announced_limits limits{vms,
		[&](const replica&, limit_change change, const limit_announcement& announcement)
		{ logged.push_back(std::string{name_of(change)} + " " + announcement.request); }};
	const auto target = make_replica("r1");
	limits.record_response(target, {1.5, at(milliseconds{0}), "q1"}, at(milliseconds{100}));
	limits.record_response(target, {1.5, at(milliseconds{200}), "q2"}, at(milliseconds{300}));
	limits.record_response(target, {0.5, at(milliseconds{400}), "q3"}, at(milliseconds{500}));
	limits.record_response(target, {std::nullopt, at(milliseconds{600}), "q4"}, at(milliseconds{700}));
	CHECK(logged == std::vector<std::string>{"named q1", "changed q3", "over q4"});
}

TEST_CASE(
	"an update from another VM that is older than the end of a limit does not restore it", "[routing][limit]")
{
	const fleet_list vms;
	announced_limits limits{vms, [](const replica&, limit_change, const limit_announcement&) {}};
	const auto target = make_replica("r1");
	limits.record_response(target, {1.5, at(milliseconds{0}), "q1"}, at(milliseconds{100}));
	limits.record_response(target, {std::nullopt, at(milliseconds{200}), "q2"}, at(milliseconds{300}));
	const limit_update outdated{target.id, target.incarnation, 1.5, milliseconds{200}};
	limits.apply_peer_update(target, outdated, at(milliseconds{350}));
	CHECK_FALSE(limits.is_limited(target));
	const limit_update newer{target.id, target.incarnation, 1.5, milliseconds{100}};
	limits.apply_peer_update(target, newer, at(milliseconds{350}));
	CHECK(limits.is_limited(target));
}

TEST_CASE("a limit learned from another VM is not reported as received by this one", "[routing][limit]")
{
	const fleet_list vms;
	announced_limits limits{vms, [](const replica&, limit_change, const limit_announcement&) {}};
	const auto target = make_replica("r1");
	limits.apply_peer_update(
		target, {target.id, target.incarnation, 1.5, milliseconds{5}}, at(milliseconds{100}));
	REQUIRE(limits.is_limited(target));
	CHECK(limits.local_updates(at(milliseconds{100})).empty());
	limits.record_response(target, {2.0, at(milliseconds{150}), "q1"}, at(milliseconds{200}));
	CHECK(limits.local_updates(at(milliseconds{200})).size() == 1);
}

TEST_CASE(
	"a VM that is not yet known to the others sends nothing to a replica with a limit", "[routing][limit]")
{
	fleet_list vms;
	announced_limits limits{vms, [](const replica&, limit_change, const limit_announcement&) {}};
	const auto target = make_replica("r1");
	limits.record_response(target, {100, at(milliseconds{0}), "q1"}, at(milliseconds{0}));
	CHECK_FALSE(limits.allows_request(target, at(std::chrono::seconds{60})));
	vms.set(vm_id{"vm1"}, {{vm_id{"vm1"}, {}}}, at(std::chrono::seconds{60}));
	CHECK_FALSE(limits.allows_request(target, at(std::chrono::seconds{64})));
	CHECK(limits.allows_request(target, at(std::chrono::seconds{66})));
}
