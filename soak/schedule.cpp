// SPDX-License-Identifier: MIT
// Which faults come when.
#include "schedule.hpp"

#include <algorithm>
#include <array>

namespace gingerdyke::soak
{
namespace
{
/// Mean time between two faults: most last longer, so that they overlap.
constexpr std::chrono::milliseconds mean_gap{450};

constexpr std::chrono::milliseconds shortest{200};
constexpr std::chrono::milliseconds longest{2500};

/// Each kind with how often it is drawn among the others.
struct weighted_kind
{
	fault_kind kind;
	const char* name;
	unsigned weight;
};

constexpr std::array kinds{weighted_kind{fault_kind::kill_vm, "kill VM", 3},
	weighted_kind{fault_kind::stop_vm, "stop VM", 3}, weighted_kind{fault_kind::pause_vm, "pause VM", 3},
	weighted_kind{fault_kind::reload_vm, "reload VM", 1},
	weighted_kind{fault_kind::kill_all, "kill all VMs", 1},
	weighted_kind{fault_kind::link_to_registry, "link to the registry", 4},
	weighted_kind{fault_kind::link_to_replica, "link to a replica", 4},
	weighted_kind{fault_kind::link_to_vm, "link to a VM", 3},
	weighted_kind{fault_kind::registry_down, "registry down", 2},
	weighted_kind{fault_kind::registry_silent, "registry silent", 2},
	weighted_kind{fault_kind::registry_loses_answers, "registry loses answers", 2},
	weighted_kind{fault_kind::registry_forgets, "registry forgets its history", 2},
	weighted_kind{fault_kind::replica_misbehaves, "replica misbehaves", 4},
	weighted_kind{fault_kind::replica_leaves, "replica leaves", 1},
	weighted_kind{fault_kind::replica_comes, "replica comes", 1},
	weighted_kind{fault_kind::change_configuration, "change the configuration", 4},
	weighted_kind{fault_kind::remove_key, "remove a key", 1},
	weighted_kind{fault_kind::shift_version, "shift a version", 1}};

fault_kind draw_kind(const random_source& random)
{
	unsigned total = 0;
	for (const auto& one : kinds)
	{
		total += one.weight;
	}
	auto left = random_below(random, total);
	for (const auto& one : kinds)
	{
		if (left < one.weight)
		{
			return one.kind;
		}
		left -= one.weight;
	}
	return kinds.back().kind;
}
} // namespace

const char* name_of(fault_kind kind) noexcept
{
	const auto* found =
		std::find_if(kinds.begin(), kinds.end(), [kind](const auto& one) { return one.kind == kind; });
	return found == kinds.end() ? "unknown" : found->name;
}

std::string fault::str() const
{
	return std::string{name_of(kind)} + " at " + std::to_string(to_milliseconds(at)) + " ms for " +
		   std::to_string(to_milliseconds(length)) + " ms, target " + std::to_string(target) + ", variant " +
		   std::to_string(variant);
}

std::vector<fault> draw_faults(std::uint64_t seed, duration length)
{
	const random_source random = seeded_random{seed};
	std::vector<fault> drawn;
	constexpr std::size_t targets = 1000;
	for (duration at{}; at < length; at += scaled(mean_gap, 2 * random_unit(random)))
	{
		fault one;
		one.kind = draw_kind(random);
		one.at = at;
		one.length = shortest + scaled(longest - shortest, random_unit(random));
		one.target = random_below(random, targets);
		one.variant = random_below(random, targets);
		drawn.push_back(one);
	}
	return drawn;
}
} // namespace gingerdyke::soak
