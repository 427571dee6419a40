// SPDX-License-Identifier: MIT
// The time of day that VMs agree on.
#include <catch2/catch.hpp>
#include <gingerdyke/usage/fleet_clock.hpp>

using namespace gingerdyke;
using namespace gingerdyke::usage;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace
{
const instant start{seconds{100}};
constexpr rollout::registry_time registry_start{seconds{7}};
constexpr unix_time true_start{seconds{1'700'000'000}};

/// A clock of a VM whose own time of day is off by `error`.
fleet_clock clock_with(duration error)
{
	fleet_clock clock;
	clock.record_registry_time(registry_start, start);
	clock.record_own_time(true_start + error, start);
	return clock;
}
} // namespace

TEST_CASE("the time of day is unknown before the registry's clock is", "[usage][clock]")
{
	fleet_clock clock;
	clock.record_own_time(true_start, start);
	CHECK_FALSE(clock.time(start));
}

TEST_CASE("a VM whose clock jumped follows the median of the others", "[usage][clock]")
{
	auto reader = clock_with(milliseconds{4});
	for (const auto* name : {"vm-1", "vm-2", "vm-3", "vm-4"})
	{
		reader.record_offset(name, *clock_with(milliseconds{-2}).own_offset(), start);
	}
	reader.record_offset("vm-5", *clock_with(seconds{9}).own_offset(), start);
	const auto median = reader.median_offset(start);
	REQUIRE(median);
	auto jumped = clock_with(seconds{9});
	jumped.set_agreed_offset(*median);
	const auto later = start + seconds{3};
	CHECK(std::chrono::abs(*jumped.time(later) - (true_start + seconds{3})) <= milliseconds{4});
}

TEST_CASE("a slow response of the registry doesn't set the clock back", "[usage][clock]")
{
	auto clock = clock_with(duration{0});
	const auto later = start + seconds{2};
	clock.record_registry_time(registry_start + seconds{1}, later);
	CHECK(*clock.time(later) == true_start + seconds{2});
}

TEST_CASE("offsets of VMs that no longer report don't count", "[usage][clock]")
{
	auto clock = clock_with(duration{0});
	clock.record_offset("vm-1", seconds{5}, start);
	clock.record_offset("vm-2", seconds{5}, start);
	CHECK(clock.median_offset(start) == seconds{5});
	CHECK(clock.median_offset(start + seconds{10}) == clock.own_offset());
}
