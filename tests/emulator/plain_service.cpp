// SPDX-License-Identifier: MIT
// Guards against verdicts by chance on a service with few requests and replicas. At the trial's share alone
// it had six responses in its trial: good versions were rolled back as unproven, and versions that were slow
// on half of their requests were completed.
#include "shift_emulator.hpp"
#include <catch2/catch.hpp>

using namespace gingerdyke;
using namespace gingerdyke::emulator;
using rollout::shift_state;

namespace
{
constexpr double exposure_limit = 0.15;
constexpr double exposure_slack = 30;
constexpr std::chrono::seconds length{16};

shift_setup plain_service(double responses_per_s, version_fault fault)
{
	shift_setup setup;
	setup.kind = service_kind::plain;
	setup.replicas = 3;
	setup.responses_per_s = responses_per_s;
	setup.length = length;
	setup.exposure_slack = exposure_slack;
	setup.fault = fault;
	return setup;
}

/// Number of simulated shifts that end in a state.
unsigned count_ends(shift_setup setup, shift_state state, unsigned seeds)
{
	unsigned count = 0;
	for (setup.seed = 1; setup.seed <= seeds; ++setup.seed)
	{
		count += simulate_shift(setup).state == state ? 1 : 0;
	}
	return count;
}
} // namespace

TEST_CASE("a good version of a service with few requests is completed", "[emulator][shift]")
{
	constexpr unsigned seeds = 60;
	for (const auto responses_per_s : {15, 37, 74, 150})
	{
		CAPTURE(responses_per_s);
		const auto setup = plain_service(responses_per_s, version_fault::none);
		// One in twenty may be refused by chance.
		CHECK(count_ends(setup, shift_state::completed, seeds) >= seeds - seeds / 20);
	}
}

TEST_CASE("a version that slows half of a plain service's requests is not completed", "[emulator][shift]")
{
	constexpr unsigned seeds = 60;
	for (const auto responses_per_s : {15, 37, 74, 150})
	{
		CAPTURE(responses_per_s);
		const auto setup = plain_service(responses_per_s, version_fault::slow);
		CHECK(count_ends(setup, shift_state::completed, seeds) <= seeds / 20);
	}
}

TEST_CASE("a version that fails on few requests is rolled back within what it may get", "[emulator][shift]")
{
	for (const unsigned vms : {7, 85, 340})
	{
		auto setup = plain_service(37, version_fault::fails);
		setup.vms = vms;
		const auto requests = setup.responses_per_s * to_milliseconds(length) / 1000;
		for (setup.seed = 1; setup.seed <= 5; ++setup.seed)
		{
			CAPTURE(vms, setup.seed);
			const auto result = simulate_shift(setup);
			CHECK(result.state == shift_state::rolled_back);
			CHECK(result.exposure * requests < exposure_limit * requests + exposure_slack);
		}
	}
}
