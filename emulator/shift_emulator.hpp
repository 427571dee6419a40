// SPDX-License-Identifier: MIT
// Plays a shift of versions in virtual time over many VMs, with the decisions of the product.
#pragma once

#include <cstdint>
#include <gingerdyke/base/units.hpp>
#include <gingerdyke/rollout/version_shift.hpp>
#include <optional>

namespace gingerdyke::emulator
{
/// \brief In which way a new version is bad.
enum class version_fault
{
	none,
	/// Half of its answers are failures.
	fails,
	/// All its answers take three times as long or longer.
	slow,
	/// Half of its answers are failures at replicas that bear more than their usual load.
	fails_under_load,
	/// Half of its answers are failures on one of the routes.
	fails_on_one_route,
	/// Half of its answers are failures from the middle of the trial on.
	fails_late,
};

/// \brief The word for a fault.
[[nodiscard]] const char* name_of(version_fault fault) noexcept;

/// \brief What else happens during a shift, to both versions alike.
struct shift_trouble
{
	/// Traffic is twice as high for some seconds, at a moment drawn from the shift's time.
	bool has_burst{};

	/// Share of the replicas that are slower, and by how much: for some seconds, or throughout.
	double slowed_share{};
	double slowed_by{5};

	/// Share of the replicas that fail, and which part of their answers.
	double failing_share{};
	double failing_rate{0.4};

	/// The trouble lasts for the whole shift, and strikes replicas that were there when it began: none of the
	/// new version's.
	bool is_old_only{};

	/// Requests that wait before each one at the old version's replicas, on average: overload.
	double overload{};

	/// Readers lose the registry for some seconds.
	bool loses_registry{};
};

/// \brief A deployment that moves to a new version.
struct shift_setup
{
	unsigned vms{7};
	unsigned domains{3};

	/// Replicas of each version.
	unsigned replicas{18};

	/// Answers a second, of all VMs together.
	double answers_per_s{120};
	duration length = std::chrono::seconds{24};
	version_fault fault{version_fault::none};
	shift_trouble trouble;
	std::uint64_t seed{1};
};

/// \brief What came of a shift.
struct shift_result
{
	rollout::shift_state state{rollout::shift_state::running};

	/// What the first VM that suspended the new version knew, and how long after the order; none: no VM did.
	std::optional<rollout::shift_summary> suspended;
	duration suspended_after{};

	/// Part of all requests in the shift's time that went to the new version.
	double exposure{};

	/// Bad answers, and requests that the new version got later than a time after the first of them that a
	/// verdict could rest on (see `shift_emulator.cpp`).
	std::uint64_t bad_answers{};
	std::uint64_t late_requests{};
};

/// \brief Plays one shift from the order to the end of its time.
[[nodiscard]] shift_result play(const shift_setup& setup);
} // namespace gingerdyke::emulator
