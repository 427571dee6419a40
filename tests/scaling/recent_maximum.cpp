// SPDX-License-Identifier: MIT
// Maximum of recent values.
#include <catch2/catch.hpp>
#include <gingerdyke/scaling/recent_maximum.hpp>

using namespace gingerdyke;
using namespace gingerdyke::scaling;
using std::chrono::seconds;

TEST_CASE("a maximum rises at once and falls after the period", "[scaling]")
{
	const instant start{seconds{100}};
	recent_maximum maximum;
	CHECK(maximum.record(3, start, seconds{4}) == 3);
	CHECK(maximum.record(7, start + seconds{1}, seconds{4}) == 7);
	CHECK(maximum.record(5, start + seconds{2}, seconds{4}) == 7);
	CHECK(maximum.record(2, start + seconds{5}, seconds{4}) == 7);
	CHECK(maximum.record(2, start + seconds{6}, seconds{4}) == 5);
	CHECK(maximum.record(2, start + seconds{20}, seconds{4}) == 2);
}
