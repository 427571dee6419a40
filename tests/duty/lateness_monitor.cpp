// SPDX-License-Identifier: MIT
// VMs that are too slow to hold a duty.
#include <catch2/catch.hpp>
#include <gingerdyke/duty/lateness_monitor.hpp>

using namespace gingerdyke;
using namespace gingerdyke::duty;
using std::chrono::milliseconds;
using std::chrono::seconds;

TEST_CASE("a VM whose timers are late again and again is slow for a while", "[duty][lateness]")
{
	const instant start{seconds{100}};
	lateness_monitor monitor;
	monitor.record(milliseconds{400}, start);
	CHECK_FALSE(monitor.is_slow(start));
	monitor.record(milliseconds{2}, start);
	monitor.record(milliseconds{400}, start);
	CHECK_FALSE(monitor.is_slow(start));
	monitor.record(milliseconds{300}, start);
	CHECK(monitor.is_slow(start));
	CHECK(monitor.is_slow(start + seconds{9}));
	CHECK_FALSE(monitor.is_slow(start + seconds{11}));
}
