// SPDX-License-Identifier: MIT
// Simulates a shift between versions over many VMs in virtual time, using the production decision code.
#pragma once

#include <cstdint>
#include <gingerdyke/base/units.hpp>
#include <gingerdyke/rollout/version_shift.hpp>
#include <optional>

namespace gingerdyke::emulator
{
/// \brief Fault of the new version.
enum class version_fault
{
	none,
	/// Half of its responses are failures.
	fails,
	/// All its responses take at least three times as long; of a service without models, half of them take
	/// eight times as long.
	slow,
	/// Up to half of the responses are failures at replicas that carry more than their usual load.
	fails_under_load,
	/// Half of its responses on one of the routes are failures.
	fails_on_one_route,
	/// Half of its responses are failures from a late point of the shift on (70 % of its length).
	fails_late,
	/// Half of its responses break off after their head.
	breaks_off,
	/// Half of its requests end without a response.
	resets,
};

/// \brief Name of a fault.
[[nodiscard]] const char* name_of(version_fault fault) noexcept;

/// \brief What the replicas of the service compute.
enum class service_kind
{
	/// Models that answer with streams.
	model,
	/// Short responses without a model, on two routes. One of them fails often, at either version.
	plain,
};

/// \brief Disturbances during a shift that are not caused by the new version; they affect both versions
/// unless stated otherwise.
struct shift_disturbance
{
	/// Traffic doubles for some seconds, at a random time during the shift.
	bool has_burst{};

	/// Share of the replicas that are slow, and their slowdown factor: for some seconds, or for the whole
	/// shift if `is_old_only`.
	double slowed_share{};
	double slowed_by{5};

	/// Share of the replicas that fail, and their failure ratio.
	double failing_share{};
	double failing_rate{0.4};

	/// The disturbance lasts for the whole shift and affects only replicas of the old version.
	bool is_old_only{};

	/// Mean number of requests queued before each one at the old version's replicas: overload.
	double overload{};

	/// Share of the responses that break off for some seconds, at every replica.
	double broken_share{};

	/// One replica of each version breaks off `failing_rate` of its responses.
	bool has_breaking_replica{};

	/// Number of VMs that restart, each once, at random times during the shift.
	unsigned restarted_vms{};

	/// VMs lose contact with the registry for some seconds.
	bool loses_registry{};
};

/// \brief The deployment and the shift to simulate.
struct shift_setup
{
	service_kind kind{service_kind::model};
	unsigned vms{7};
	unsigned failure_domains{3};

	/// VMs of an older build, for which a response that breaks off is a success, and a request without a
	/// response does not count.
	unsigned older_vms{};

	/// Replicas of each version.
	unsigned replicas{18};

	/// Responses per second, over all VMs.
	double responses_per_s{120};
	duration length = std::chrono::seconds{24};

	/// Number of requests that a bad version may get beside its share, over all VMs.
	double exposure_slack{};
	version_fault fault{version_fault::none};
	shift_disturbance disturbance;
	std::uint64_t seed{1};
};

/// \brief Result of a simulated shift.
struct shift_result
{
	rollout::shift_state state{rollout::shift_state::running};

	/// The evidence of the first VM that suspended the new version, and the time of the suspension after the
	/// order; none: no VM suspended it.
	std::optional<rollout::shift_summary> suspended;
	duration suspended_after{};

	/// Fraction of all requests during the shift that went to the new version.
	double exposure{};

	/// Bad responses of the new version, and requests sent to the new version after the time limit for a
	/// verdict, which starts with the bad response numbered `bad_responses_before_verdict` (see
	/// `shift_emulator.cpp`).
	std::uint64_t bad_responses{};
	std::uint64_t late_requests{};

	/// Time from the start of that time limit to the last request to the new version; 0 if there was none.
	duration exposed_for{};
};

/// \brief Simulates one shift from the order to the end of its length.
[[nodiscard]] shift_result simulate_shift(const shift_setup& setup);
} // namespace gingerdyke::emulator
