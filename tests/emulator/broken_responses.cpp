// SPDX-License-Identifier: MIT
// Guards against a version that breaks off its responses, or resets its requests, and is completed since
// neither counted against it.
#include "shift_emulator.hpp"
#include <catch2/catch.hpp>

using namespace gingerdyke;
using namespace gingerdyke::emulator;
using rollout::shift_state;

namespace
{
constexpr double exposure_limit = 0.15;
constexpr double exposure_slack = 30;

shift_setup plain_service(unsigned vms, double responses_per_s, unsigned replicas)
{
	shift_setup setup;
	setup.kind = service_kind::plain;
	setup.vms = vms;
	setup.replicas = replicas;
	setup.responses_per_s = responses_per_s;
	setup.length = std::chrono::seconds{16};
	setup.exposure_slack = exposure_slack;
	return setup;
}

shift_setup engines(unsigned vms)
{
	shift_setup setup;
	setup.vms = vms;
	setup.exposure_slack = exposure_slack;
	return setup;
}

/// \param seeds Simulated shifts of each fault.
void check_rolled_back_in_time(shift_setup setup, unsigned seeds)
{
	const auto requests = setup.responses_per_s * to_milliseconds(setup.length) / 1000;
	for (const auto fault : {version_fault::breaks_off, version_fault::resets})
	{
		setup.fault = fault;
		for (setup.seed = 1; setup.seed <= seeds; ++setup.seed)
		{
			CAPTURE(name_of(fault), setup.vms, setup.seed, setup.older_vms);
			const auto result = simulate_shift(setup);
			CHECK((result.state == shift_state::rolled_back ||
				   (setup.disturbance.loses_registry && result.state == shift_state::running)));
			CHECK(result.late_requests == 0);
			CHECK(result.exposure * requests < exposure_limit * requests + exposure_slack);
		}
	}
}

/// Number of good versions of 60 that are completed.
unsigned count_completed(shift_setup setup)
{
	constexpr unsigned seeds = 60;
	unsigned count = 0;
	for (setup.seed = 1; setup.seed <= seeds; ++setup.seed)
	{
		count += simulate_shift(setup).state == shift_state::completed ? 1 : 0;
	}
	return count;
}
} // namespace

TEST_CASE("a version that breaks off half of its responses is rolled back in time", "[emulator][shift]")
{
	constexpr unsigned seeds = 10;
	check_rolled_back_in_time(plain_service(3, 37, 3), seeds);
	check_rolled_back_in_time(plain_service(7, 37, 3), seeds);
	check_rolled_back_in_time(engines(7), seeds);
}

TEST_CASE(
	"a version that breaks off half of its responses is rolled back in time, many VMs", "[emulator][shift]")
{
	for (const unsigned vms : {85, 340, 985})
	{
		check_rolled_back_in_time(plain_service(vms, 150, 12), 2);
	}
	check_rolled_back_in_time(engines(85), 2);
}

TEST_CASE("a version that breaks off half of its responses is rolled back in time, registry away",
	"[emulator][shift]")
{
	constexpr unsigned seeds = 10;
	auto setup = plain_service(7, 74, 3);
	setup.disturbance.loses_registry = true;
	check_rolled_back_in_time(setup, seeds);
}

TEST_CASE("a version that breaks off half of its responses is rolled back in time, builds of both ages",
	"[emulator][shift]")
{
	constexpr unsigned seeds = 10;
	auto setup = plain_service(7, 74, 3);
	setup.older_vms = 3;
	check_rolled_back_in_time(setup, seeds);
}

TEST_CASE("a good version is completed although responses of both versions break off", "[emulator][shift]")
{
	// One in twenty may be refused by chance.
	constexpr unsigned expected = 57;
	for (auto setup : {plain_service(7, 37, 3), plain_service(7, 150, 12), engines(7)})
	{
		setup.disturbance.broken_share = 0.03;
		CAPTURE(static_cast<int>(setup.kind), setup.responses_per_s);
		CHECK(count_completed(setup) >= expected);
	}
}
