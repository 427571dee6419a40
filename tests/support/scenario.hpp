// SPDX-License-Identifier: MIT
// The history that faults are put into: mixed traffic, edits and a planned stop; and the faults.
#pragma once

#include "world.hpp"
#include <string>
#include <vector>

namespace gingerdyke::test
{
/// \brief Everything that can go wrong.
enum class fault_kind
{
	kill,
	restart,
	freeze,
	cut_from_platform,
	cut_from_peers,
	cut_from_both,
	store_down,
	store_slow,
	store_limit,
	store_lost_answer,
	store_late_effect,
	stale_list,
	upstream_killed,
	upstream_cut,
	upstream_leaving,
	upstream_late,
	upstream_crossed,
	upstream_short,
	upstream_failing,
	upstream_busy,
	service_lost_answer,
	withdrawal,
	caller_gone,
	racing_operators,
	planned_stop,
};

/// \brief Number of kinds of faults.
inline constexpr int fault_kinds = static_cast<int>(fault_kind::planned_stop) + 1;

/// \brief Number of steps.
inline constexpr int step_count = static_cast<int>(step::drained) + 1;

/// \brief A fault that strikes when a step is reached for the n-th time after the start-up.
struct planned_fault
{
	step when{};
	unsigned nth{};
	fault_kind what{};
};

/// \brief The word for a fault.
[[nodiscard]] const char* name_of(fault_kind what) noexcept;

/// \brief An order that may not be repeated, with an idempotency key or, where that is empty, without.
[[nodiscard]] request_spec order_with(const std::string& key);

/// \brief The row of one of the world's versions in a state.
[[nodiscard]] json version_in(const char* state);

/// \brief Lets a fault strike at a VM.
void strike(world& world, fault_kind what, const vm_id& vm);

/// \brief Runs the scenario with faults.
/// \returns The record of all that happened.
[[nodiscard]] history run_scenario(const world_options& options, const std::vector<planned_fault>& faults);
} // namespace gingerdyke::test
