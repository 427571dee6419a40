// SPDX-License-Identifier: MIT
// What the answers of an old and a new version tell, as counts that VMs add up.
#pragma once

#include <array>
#include <gingerdyke/base/ids.hpp>
#include <gingerdyke/rollout/answer_times.hpp>
#include <map>
#include <string>

namespace gingerdyke::rollout
{
/// \brief Answers, and those among them that were failures.
struct answer_counts
{
	std::uint64_t answers{};
	std::uint64_t failed{};

	answer_counts& operator+=(const answer_counts& other) noexcept;
	answer_counts& operator-=(const answer_counts& other) noexcept;
	bool operator==(const answer_counts&) const = default;
};

/// \brief Groups into which the new version's replicas fall by the hash of their ids. A few replicas that
/// fail for a reason of their own spoil a group or two, a bad version all of them.
inline constexpr std::size_t replica_groups = 8;

/// \brief The group of a replica; the same on all VMs.
[[nodiscard]] std::size_t replica_group_of(const replica_id& id) noexcept;

/// \brief Failures on one route: a version may be bad there only.
struct route_evidence
{
	answer_counts old_version;
	std::array<answer_counts, replica_groups> new_version;

	/// \brief The new version's counts over all groups.
	[[nodiscard]] answer_counts all_new() const noexcept;

	route_evidence& operator+=(const route_evidence& other) noexcept;
	route_evidence& operator-=(const route_evidence& other) noexcept;
	bool operator==(const route_evidence&) const = default;
};

/// \brief Times to the first byte of one model's answers, or of one route's where the service has no models.
struct time_evidence
{
	/// Of the old version, from the order until the new one gets its first requests.
	answer_times before;

	/// Of the old version beside the new one, under the same load as it.
	answer_times old_version;
	answer_times new_version;

	bool operator==(const time_evidence&) const = default;
};

/// \brief All that was seen of a shift, by one VM or by several.
struct version_evidence
{
	std::map<std::string, route_evidence> by_route;
	std::map<std::string, time_evidence> by_model;

	/// Failures on all routes while the trial's replicas bear the load of a peak.
	route_evidence at_peak;

	/// \brief Adds another VM's.
	version_evidence& operator+=(const version_evidence& other);

	/// \brief Takes off what was added before.
	version_evidence& operator-=(const version_evidence& other);

	/// \brief Counts of each version over all routes.
	[[nodiscard]] answer_counts all_old() const noexcept;
	[[nodiscard]] answer_counts all_new() const noexcept;

	/// \brief Answers of the new version, or of both.
	[[nodiscard]] std::uint64_t new_answers() const noexcept;
	[[nodiscard]] std::uint64_t all_answers() const noexcept;

	bool operator==(const version_evidence&) const = default;
};
} // namespace gingerdyke::rollout
