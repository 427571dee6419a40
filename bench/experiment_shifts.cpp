// SPDX-License-Identifier: MIT
// Power and false alarms of the verdict on a new version: drawn shifts of each kind, in virtual time.
#include "drawn_shifts.hpp"
#include "experiments.hpp"
#include <array>
#include <cmath>
#include <iostream>
#include <string>
#include <vector>

namespace gingerdyke::bench
{
namespace
{
using namespace gingerdyke::emulator;

constexpr std::array faults{version_fault::none, version_fault::fails, version_fault::slow,
	version_fault::fails_under_load, version_fault::fails_on_one_route, version_fault::fails_late};

struct named_trouble
{
	const char* name;
	shift_disturbance trouble;
};

const std::array troubles{named_trouble{"calm", {}}, named_trouble{"burst", {.has_burst = true}},
	named_trouble{"slowed engines", {.slowed_share = 0.3}},
	named_trouble{"failing engines", {.failing_share = 0.14}},
	named_trouble{"registry away", {.loses_registry = true}}};

struct named_size
{
	const char* name;
	shift_setup setup;
};

shift_setup setup_of(unsigned vms, unsigned domains, unsigned replicas, double responses_per_s)
{
	shift_setup setup;
	setup.vms = vms;
	setup.failure_domains = domains;
	setup.replicas = replicas;
	setup.responses_per_s = responses_per_s;
	return setup;
}

const std::array sizes{
	named_size{"7 VMs", setup_of(7, 3, 18, 120)}, named_size{"300 VMs", setup_of(300, 5, 192, 1200)}};

/// Sizes for shifts beside an old version in trouble, of which there are many.
const std::array sizes_beside{
	named_size{"7 VMs", setup_of(7, 3, 18, 120)}, named_size{"91 VMs", setup_of(91, 3, 140, 300)}};

/// Larger deployments take seconds a play: they get this part of the plays, at least one.
constexpr unsigned large_divisor = 4;
constexpr unsigned beside_divisor = 10;

unsigned plays_of(const shift_setup& setup, unsigned plays, unsigned divisor)
{
	constexpr unsigned small_vms = 7;
	return setup.vms > small_vms ? std::max(1U, plays / divisor) : plays;
}

/// Share of the old version's answers that fail, and how many times slower its replicas are.
constexpr std::array failing_shares{0.1, 0.25, 0.5, 0.75};
constexpr std::array slow_factors{2.0, 4.0, 8.0};

/// The trouble strikes this share of its replicas.
constexpr std::array struck_shares{0.5, 1.0};

struct tally
{
	unsigned rolled_back{};
	unsigned completed{};
	unsigned late{};
	double highest_exposure{};
};

tally play_all(const shift_setup& setup, unsigned plays)
{
	tally sums;
	for (const auto& one : play_shifts(setup, plays))
	{
		sums.rolled_back += one.state == rollout::shift_state::rolled_back ? 1 : 0;
		sums.completed += one.state == rollout::shift_state::completed ? 1 : 0;
		sums.late += one.late_requests > 0 ? 1 : 0;
		sums.highest_exposure = std::max(sums.highest_exposure, one.exposure);
	}
	return sums;
}
} // namespace

namespace
{
void print_row(const version_fault fault, const char* size, const std::string& trouble, const tally& sums)
{
	std::cout << "| " << name_of(fault) << " | " << size << " | " << trouble << " | " << sums.rolled_back
			  << " | " << sums.completed << " | " << sums.late << " | " << sums.highest_exposure << " |"
			  << std::endl;
}

void print_head(const std::string& caption)
{
	std::cout << "\n"
			  << caption << "\n\n| version | VMs | trouble | rolled back | completed | "
			  << "requests over 5 s after the 50th bad answer | highest part of requests "
				 "|\n|---|---|---|---|---|---|---|\n";
}

/// Trouble of the old version's replicas alone, failing and slow, on a part of them and on all.
std::vector<std::pair<std::string, shift_disturbance>> troubles_of_old()
{
	std::vector<std::pair<std::string, shift_disturbance>> all;
	for (const auto struck : struck_shares)
	{
		const auto on = struck < 1 ? " of half of the old replicas" : " of all old replicas";
		for (const auto share : failing_shares)
		{
			const auto rate = std::min(1.0, share / struck);
			const auto percent = static_cast<int>(std::lround(rate * 100));
			all.emplace_back("fails " + std::to_string(percent) + " in 100" + on,
				shift_disturbance{.failing_share = struck, .failing_rate = rate, .is_old_only = true});
		}
		for (const auto factor : slow_factors)
		{
			all.emplace_back(std::to_string(static_cast<int>(factor)) + " times slower," + on,
				shift_disturbance{.slowed_share = struck, .slowed_by = factor, .is_old_only = true});
		}
	}
	return all;
}

void shifts_beside_trouble(unsigned plays)
{
	print_head("Beside an old version in trouble:");
	for (const auto& size : sizes_beside)
	{
		for (const auto fault : faults)
		{
			for (const auto& [name, trouble] : troubles_of_old())
			{
				auto setup = size.setup;
				setup.fault = fault;
				setup.disturbance = trouble;
				print_row(fault, size.name, name, play_all(setup, plays_of(setup, plays, beside_divisor)));
			}
		}
	}
}
} // namespace

void shifts(unsigned plays)
{
	print_head("Trouble of both versions alike:");
	for (const auto& size : sizes)
	{
		for (const auto fault : faults)
		{
			for (const auto& trouble : troubles)
			{
				auto setup = size.setup;
				setup.fault = fault;
				setup.disturbance = trouble.trouble;
				print_row(
					fault, size.name, trouble.name, play_all(setup, plays_of(setup, plays, large_divisor)));
			}
		}
	}
	shifts_beside_trouble(plays);
}
} // namespace gingerdyke::bench
