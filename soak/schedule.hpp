// SPDX-License-Identifier: MIT
// Which faults come when: drawn from a seed, in series and overlapping.
#pragma once

#include <gingerdyke/base/random.hpp>
#include <gingerdyke/base/units.hpp>
#include <string>
#include <vector>

namespace gingerdyke::soak
{
/// \brief What is done to the system from outside.
enum class fault_kind
{
	kill_vm,
	stop_vm,
	pause_vm,
	reload_vm,
	kill_all,
	link_to_registry,
	link_to_replica,
	link_to_vm,
	registry_down,
	registry_silent,
	registry_loses_answers,
	registry_forgets,
	replica_misbehaves,
	replica_leaves,
	replica_comes,
	change_configuration,
	remove_key,
	shift_version,
};

/// \brief The word for a kind.
[[nodiscard]] const char* name_of(fault_kind kind) noexcept;

/// \brief One fault.
struct fault
{
	fault_kind kind{};

	/// From the start of the faults.
	duration at{};
	duration length{};

	/// Which VM, replica or link, modulo how many there are; and which variant.
	std::size_t target{};
	std::size_t variant{};

	/// \brief One line for the log.
	[[nodiscard]] std::string str() const;
};

/// \brief Draws the faults of one run.
/// \param length Time over which they begin.
[[nodiscard]] std::vector<fault> draw_faults(std::uint64_t seed, duration length);
} // namespace gingerdyke::soak
