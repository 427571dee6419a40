// SPDX-License-Identifier: MIT
// Drawn histories of VMs that compete for a lease: never two holders with one token, no lower token after a
// higher one, no return within the term, no two different reports of a window.
#include "../support/duty_world.hpp"

#include <catch2/catch.hpp>

using namespace gingerdyke;
using namespace gingerdyke::test;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace
{
constexpr std::uint64_t histories = 100'000;
constexpr duration history_length = seconds{16};

duty::lease_tuning tuning()
{
	duty::lease_tuning tuning;
	tuning.term = milliseconds{1500};
	tuning.renewal_interval = milliseconds{400};
	tuning.call_limit = milliseconds{300};
	return tuning;
}

duty_violations play(std::uint64_t seed, duty_faults faults, const duty::lease_tuning& with)
{
	return duty_world{seed, faults, with}.run(history_length);
}
} // namespace

TEST_CASE("histories that pause, kill and cut off the holders of a duty keep its promises", "[duty][lease]")
{
	std::uint64_t calls = 0;
	std::uint64_t holders = 0;
	for (std::uint64_t seed = 1; seed <= histories; ++seed)
	{
		const auto seen = play(seed, {}, tuning());
		INFO("seed " << seed);
		REQUIRE(seen.shared_tokens == 0);
		REQUIRE(seen.lower_tokens == 0);
		REQUIRE(seen.returned_early == 0);
		REQUIRE(seen.differing_reports == 0);
		calls += seen.calls;
		holders += seen.holders;
	}
	CHECK(calls > 3 * histories);
	CHECK(holders > histories);
}

TEST_CASE("without faults one holder reports every window", "[duty][lease]")
{
	const duty_faults none{false, false, false, false, false, false};
	for (std::uint64_t seed = 1; seed <= 100; ++seed)
	{
		const auto seen = play(seed, none, tuning());
		INFO("seed " << seed);
		CHECK(seen.holders == 1);
		CHECK(seen.reports >= 14);
	}
}
