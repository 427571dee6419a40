// SPDX-License-Identifier: MIT
// Sizes of models: what answers first, and when its answer is given up.
#include <catch2/catch.hpp>
#include <gingerdyke/routing/size_policy.hpp>

using namespace gingerdyke;
using namespace gingerdyke::routing;

namespace
{
route sized(std::size_t models)
{
	route made;
	for (std::size_t i = 0; i < models; ++i)
	{
		made.models.emplace_back("m" + std::to_string(i));
	}
	return made;
}
} // namespace

TEST_CASE("the smallest model answers first, and gives way to the largest", "[sizes]")
{
	const size_policy policy;
	const auto route = sized(3);
	const auto first = policy.first(route, true);
	CHECK(first.index == 0);
	CHECK(first.escalate_below > 0);
	const auto next = policy.after(route, first);
	REQUIRE(next);
	CHECK(next->index == 2);
	CHECK(next->escalate_below == 0);
	CHECK_FALSE(policy.after(route, *next));
}

TEST_CASE("nothing is given up where there is nothing larger, or no second attempt", "[sizes]")
{
	const size_policy policy;
	CHECK(policy.first(sized(1), true).escalate_below == 0);
	CHECK(policy.first(sized(3), false).escalate_below == 0);
}

TEST_CASE("busy engines lower the threshold, idle ones raise it again", "[sizes]")
{
	size_policy policy;
	const auto route = sized(3);
	const auto idle = policy.threshold();
	for (int i = 0; i < 100; ++i)
	{
		policy.note_answer(route, {2, 0}, 30);
	}
	CHECK(policy.threshold() == Approx(size_tuning{}.escalate_below_busy));
	for (int i = 0; i < 200; ++i)
	{
		policy.note_answer(route, {0, 0}, 100);
		policy.note_answer(route, {2, 0}, 3);
	}
	CHECK(policy.threshold() == Approx(idle));
}
