// SPDX-License-Identifier: MIT
// What the answers of an old and a new version tell, as counts that VMs add up.
#pragma once

#include <gingerdyke/base/units.hpp>
#include <gingerdyke/rollout/answer_cells.hpp>
#include <gingerdyke/rollout/answer_times.hpp>
#include <map>
#include <string>

namespace gingerdyke::rollout
{
/// \brief Time to an answer's first byte over the time that an idle engine takes to read its prompt: compares
/// answers to prompts of all sizes.
/// \param prompt_tokens Tokens of the prompt; 0 for plain services.
[[nodiscard]] double relative_answer_time(duration took, double prompt_tokens) noexcept;

/// \brief Time between two events of a stream, on the same scale. An engine's pace hardly depends on what
/// waits there: beside overloaded engines an eight times slower version's first bytes came no later than
/// theirs.
[[nodiscard]] double relative_pace(duration between_events) noexcept;

/// \brief Failures on one route: a version may be bad there only.
struct route_evidence
{
	/// Of the old version, from the order until the new one gets its first requests.
	answer_counts before;

	/// Of the old version's control replicas beside the new one, in the same trouble as it.
	by_cell<answer_counts> old_version;
	by_cell<answer_counts> new_version;

	route_evidence& operator+=(const route_evidence& other);
	route_evidence& operator-=(const route_evidence& other);
	bool operator==(const route_evidence&) const = default;
};

/// \brief Relative times of one model's answers, or of one route's where the service has no models.
struct time_evidence
{
	/// Of the old version, from before the order; paces only.
	answer_times usual;

	/// As in `route_evidence`.
	answer_times before;
	by_cell<answer_times> old_version;
	by_cell<answer_times> new_version;

	time_evidence& operator+=(const time_evidence& other);
	time_evidence& operator-=(const time_evidence& other);
	bool operator==(const time_evidence&) const = default;
};

/// \brief Times by model.
using times_by_model = std::map<std::string, time_evidence>;

/// \brief All that was seen of a shift, by one VM or by several.
struct version_evidence
{
	std::map<std::string, route_evidence> by_route;

	/// Times to the first byte, and paces of streams.
	times_by_model by_model;
	times_by_model by_pace;

	/// Of these, failures on all routes in the last part of the trial: a version may turn bad late, or under
	/// the load of a peak, which its replicas bear then where they are many.
	route_evidence late;

	/// \brief Adds another VM's.
	version_evidence& operator+=(const version_evidence& other);

	/// \brief Takes off what was added before.
	version_evidence& operator-=(const version_evidence& other);

	/// \brief Failures on all routes together.
	[[nodiscard]] route_evidence all_routes() const;

	/// \brief Answers of the new version.
	[[nodiscard]] std::uint64_t new_answers() const;

	/// \brief All that was noted, of both versions: of two reports of a VM the later has more.
	[[nodiscard]] std::uint64_t size() const;

	bool operator==(const version_evidence&) const = default;
};
} // namespace gingerdyke::rollout
