// SPDX-License-Identifier: MIT
// Rests that replicas ask for: until when they bind, and how a VM comes back.
#include "../support/replicas.hpp"

#include <catch2/catch.hpp>
#include <gingerdyke/routing/rest_periods.hpp>

using namespace gingerdyke;
using namespace gingerdyke::routing;
using gingerdyke::test::at;
using gingerdyke::test::make_replica;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace
{
rest_periods make_rests()
{
	rest_tuning tuning;
	tuning.spread = 0;
	return rest_periods{[](const replica&, const std::string&, duration) {}, tuning};
}
} // namespace

TEST_CASE(
	"the longest of overlapping rests binds, and a success in between does not end it", "[routing][rest]")
{
	auto rests = make_rests();
	const auto one = make_replica("r1");
	rests.note_rest(one, seconds{3}, "q1", at(seconds{0}));
	rests.note_rest(one, seconds{1}, "q2", at(seconds{1}));
	rests.note_answer(one, at(milliseconds{500}));
	CHECK_FALSE(rests.takes(one, at(milliseconds{2999})));
	CHECK(rests.takes(one, at(seconds{3})));
}

TEST_CASE("after a rest one request goes first, and the rest once it is answered", "[routing][rest]")
{
	auto rests = make_rests();
	const auto one = make_replica("r1");
	rests.note_rest(one, seconds{3}, "q1", at(seconds{0}));
	rests.note_sent(one, at(seconds{3}));
	CHECK_FALSE(rests.takes(one, at(milliseconds{3100})));
	CHECK_FALSE(rests.is_resting(one, at(milliseconds{3100})));
	SECTION("answered")
	{
		rests.note_answer(one, at(seconds{3}));
		CHECK(rests.takes(one, at(milliseconds{3100})));
		rests.note_sent(one, at(milliseconds{3100}));
		CHECK(rests.takes(one, at(milliseconds{3100})));
	}
	SECTION("refused again")
	{
		rests.note_rest(one, seconds{3}, "q2", at(milliseconds{3100}));
		CHECK_FALSE(rests.takes(one, at(milliseconds{6000})));
		CHECK(rests.takes(one, at(milliseconds{6100})));
	}
	SECTION("without an answer")
	{
		CHECK(rests.takes(one, at(seconds{5})));
	}
}

TEST_CASE("VMs come back spread after a rest, never before its end", "[routing][rest]")
{
	rest_periods rests{[](const replica&, const std::string&, duration) {}};
	std::size_t back = 0;
	constexpr std::size_t vms = 40;
	for (std::size_t i = 0; i < vms; ++i)
	{
		const auto one = make_replica("r" + std::to_string(i));
		rests.note_rest(one, seconds{3}, "q" + std::to_string(i), at(seconds{0}));
		CHECK_FALSE(rests.takes(one, at(milliseconds{2999})));
		CHECK(rests.takes(one, at(milliseconds{3300})));
		back += rests.takes(one, at(milliseconds{3150})) ? 1U : 0U;
	}
	CHECK(back > vms / 4);
	CHECK(back < vms - vms / 4);
}

TEST_CASE("a very long rest is cut, and one of no length binds nothing", "[routing][rest]")
{
	auto rests = make_rests();
	const auto one = make_replica("r1");
	rests.note_rest(one, seconds{0}, "q1", at(seconds{0}));
	CHECK(rests.takes(one, at(seconds{0})));
	rests.note_sent(one, at(seconds{0}));
	CHECK(rests.takes(one, at(seconds{0})));
	rests.note_rest(one, std::chrono::hours{100}, "q2", at(seconds{0}));
	CHECK_FALSE(rests.takes(one, at(std::chrono::minutes{9})));
	CHECK(rests.takes(one, at(std::chrono::minutes{10})));
}

TEST_CASE("a rest does not bind the next process under a replica's id", "[routing][rest]")
{
	auto rests = make_rests();
	auto one = make_replica("r1");
	rests.note_rest(one, seconds{3}, "q1", at(seconds{0}));
	one.incarnation = replica_incarnation{2};
	CHECK(rests.takes(one, at(seconds{1})));
}

TEST_CASE("of several resting replicas of a service the first that is back is told", "[routing][rest]")
{
	auto rests = make_rests();
	rests.note_rest(make_replica("r1"), seconds{3}, "q1", at(seconds{0}));
	rests.note_rest(make_replica("r2"), seconds{2}, "q2", at(seconds{0}));
	CHECK(rests.time_until_back(service_id{"s"}, at(seconds{1})) == seconds{1});
	CHECK(rests.count(at(seconds{1})) == 2);
	CHECK_FALSE(rests.time_until_back(service_id{"s"}, at(seconds{3})));
}
