// SPDX-License-Identifier: MIT
// Shifts with responses that break off, before and since these count: good versions that are not completed in
// time, bad ones that are, and for how long these get requests.
#include "drawn_shifts.hpp"
#include "experiments.hpp"
#include <algorithm>
#include <array>
#include <iostream>
#include <string>
#include <vector>

namespace gingerdyke::bench
{
namespace
{
using namespace gingerdyke::emulator;

constexpr double exposure_limit = 0.15;
constexpr double exposure_slack = 30;

struct named_setup
{
	std::string name;
	shift_setup setup;

	/// Simulated shifts, of those asked for.
	unsigned divisor = 1;
};

named_setup plain(unsigned vms, double responses_per_s, unsigned replicas, unsigned divisor)
{
	shift_setup setup;
	setup.kind = service_kind::plain;
	setup.vms = vms;
	setup.replicas = replicas;
	setup.responses_per_s = responses_per_s;
	setup.length = std::chrono::seconds{16};
	setup.exposure_slack = exposure_slack;
	const auto rate = std::to_string(static_cast<int>(responses_per_s));
	return {std::to_string(vms) + " VMs, plain, " + rate + "/s", setup, divisor};
}

named_setup engines(unsigned vms)
{
	shift_setup setup;
	setup.vms = vms;
	setup.exposure_slack = exposure_slack;
	return {std::to_string(vms) + " VMs, engines, 120/s", setup};
}

std::vector<named_setup> setups()
{
	constexpr unsigned large_divisor = 10;
	return {plain(3, 37, 3, 1), plain(7, 37, 3, 1), engines(7), plain(85, 150, 12, large_divisor),
		plain(340, 150, 12, large_divisor), plain(985, 300, 24, large_divisor)};
}

struct named_disturbance
{
	const char* name;
	shift_disturbance disturbance;
};

const std::array disturbances{named_disturbance{"calm", {}}, named_disturbance{"burst", {.has_burst = true}},
	named_disturbance{"grey replicas", {.failing_share = 0.2}},
	named_disturbance{"slow replicas", {.slowed_share = 0.3}},
	named_disturbance{"3 in 100 cut at both versions, 7 s", {.broken_share = 0.03}},
	named_disturbance{"15 in 100 cut at both versions, 7 s", {.broken_share = 0.15}},
	named_disturbance{"one replica of each version cuts 4 in 10", {.has_breaking_replica = true}},
	named_disturbance{"two VMs restart", {.restarted_vms = 2}},
	named_disturbance{"registry away, 7 s", {.loses_registry = true}}};

struct tally
{
	unsigned plays{};
	unsigned completed{};
	unsigned over_exposed{};
	unsigned late{};
	double longest_s{};
};

tally tally_of(const shift_setup& setup, unsigned plays)
{
	constexpr double microseconds_per_second = 1e6;
	const auto requests =
		setup.responses_per_s * static_cast<double>(setup.length.count()) / microseconds_per_second;
	tally sums;
	sums.plays = plays;
	for (const auto& one : play_shifts(setup, plays))
	{
		sums.completed += one.state == rollout::shift_state::completed ? 1 : 0;
		sums.over_exposed += one.exposure * requests > exposure_limit * requests + exposure_slack ? 1 : 0;
		sums.late += one.late_requests > 0 ? 1 : 0;
		sums.longest_s =
			std::max(sums.longest_s, static_cast<double>(one.exposed_for.count()) / microseconds_per_second);
	}
	return sums;
}

void print_row(const named_setup& size, version_fault fault, const char* disturbance, const char* builds,
	const tally& sums)
{
	std::cout << "| " << name_of(fault) << " | " << size.name << " | " << disturbance << " | " << builds
			  << " | " << sums.completed << " of " << sums.plays << " | ";
	if (fault == version_fault::none)
	{
		std::cout << "| | |" << std::endl;
		return;
	}
	std::cout << sums.over_exposed << " | " << sums.late << " | " << sums.longest_s << " |" << std::endl;
}
} // namespace

void broken_responses(unsigned plays)
{
	std::cout
		<< "\n| version | deployment | disturbance | builds | completed | exposed over the limit | requests "
		   "over 5 s after the 50th bad answer | longest, s |\n|---|---|---|---|---|---|---|---|\n";
	for (const auto& size : setups())
	{
		for (const auto& [name, disturbance] : disturbances)
		{
			for (const auto fault : {version_fault::none, version_fault::breaks_off, version_fault::resets})
			{
				const auto play = [&, &disturbed = disturbance, called = name](
									  unsigned older, const char* builds)
				{
					auto setup = size.setup;
					setup.fault = fault;
					setup.disturbance = disturbed;
					setup.older_vms = older;
					print_row(
						size, fault, called, builds, tally_of(setup, std::max(1U, plays / size.divisor)));
				};
				play(size.setup.vms, "before");
				play(size.setup.vms / 2, "both");
				play(0, "after");
			}
		}
	}
}
} // namespace gingerdyke::bench
