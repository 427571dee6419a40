// SPDX-License-Identifier: MIT
// Observations of the responses of an old and a new version, as counts that can be summed over VMs.
#pragma once

#include <gingerdyke/base/units.hpp>
#include <gingerdyke/rollout/latency_histogram.hpp>
#include <gingerdyke/rollout/response_cells.hpp>
#include <map>
#include <string>

namespace gingerdyke::rollout
{
/// \brief Time to first byte divided by the time that an idle engine takes to process the prompt. Makes
/// responses to prompts of different sizes comparable.
/// \param prompt_tokens Number of tokens in the prompt; 0 for services without models.
[[nodiscard]] double relative_first_byte_latency(duration took, double prompt_tokens) noexcept;

/// \brief Time between two events of a stream divided by that of an idle engine. It hardly depends on the
/// engine's queue: compared with overloaded engines of the old version, the time to first byte of an eight
/// times slower version was no longer than theirs.
[[nodiscard]] double relative_event_interval(duration between_events) noexcept;

/// \brief Failures on one route; a version may be bad on a single route only.
struct route_evidence
{
	/// Responses of the old version from the order until the new version gets its first requests.
	response_counts pre_trial;

	/// Responses of the old version's control replicas during the trial, exposed to the same disturbances as
	/// the new version's.
	by_cell<response_counts> old_version;
	by_cell<response_counts> new_version;

	route_evidence& operator+=(const route_evidence& other);
	route_evidence& operator-=(const route_evidence& other);
	bool operator==(const route_evidence&) const = default;
};

/// \brief Relative latencies of one model's responses, or of one route's if the service has no models.
struct latency_evidence
{
	/// Latencies of the old version before the order; recorded for event intervals only.
	latency_histogram baseline;

	/// See `route_evidence`.
	latency_histogram pre_trial;
	by_cell<latency_histogram> old_version;
	by_cell<latency_histogram> new_version;

	latency_evidence& operator+=(const latency_evidence& other);
	latency_evidence& operator-=(const latency_evidence& other);
	bool operator==(const latency_evidence&) const = default;
};

/// \brief Latencies by model.
using latencies_by_model = std::map<std::string, latency_evidence>;

/// \brief All observations of a shift by one or several VMs.
struct version_evidence
{
	std::map<std::string, route_evidence> by_route;

	/// Times to first byte and event intervals of streams, by model; by route for services without models.
	latencies_by_model first_byte_by_model;
	latencies_by_model event_intervals_by_model;

	/// Failures on all routes in the peak-load phase of the trial, also contained in `by_route`. A version
	/// may become bad late, or only under peak load, which its replicas carry in this phase if there are
	/// enough of them.
	route_evidence peak_load_phase;

	/// \brief Adds the observations of another VM.
	version_evidence& operator+=(const version_evidence& other);

	/// \brief Subtracts observations that were added before.
	version_evidence& operator-=(const version_evidence& other);

	/// \brief Failures on all routes together.
	[[nodiscard]] route_evidence all_routes() const;

	/// \brief Number of responses of the new version.
	[[nodiscard]] std::uint64_t new_version_responses() const;

	/// \brief Number of observations of both versions.
	[[nodiscard]] std::uint64_t size() const;

	/// \brief Number of failures of both versions.
	[[nodiscard]] std::uint64_t failures() const;

	/// \brief Whether of two reports by the same VM this is the newer one: it has more observations or, as a
	/// response that breaks off is no further one, as many and more failures.
	[[nodiscard]] bool is_newer_than(const version_evidence& other) const;

	bool operator==(const version_evidence&) const = default;
};
} // namespace gingerdyke::rollout
