// SPDX-License-Identifier: MIT
// Compares the latencies of a new version with those of the old one, each measured at the version's healthy
// replicas.
#pragma once

#include <gingerdyke/rollout/version_evidence.hpp>
#include <string>
#include <vector>

namespace gingerdyke::rollout
{
/// \brief Tuning of `compare_latencies`.
struct latency_tuning
{
	/// Minimum number of responses of the old version for a comparison.
	std::uint64_t min_old_responses = 25;

	/// A response is fast if its latency is at most `fast_factor` times the old version's latency at
	/// `fast_quantile`. Low quantiles reflect the engine's own speed, since they contain little queueing.
	/// Cold caches raise them by up to half; a version that is several times slower exceeds the factor.
	double fast_quantile = 0.25;
	double fast_factor = 2;

	/// Responses within `fastest_factor` times the old version's latency at `fastest_quantile` are as fast as
	/// those of an idle engine. Event intervals of idle engines of the same kind differ by a tenth; those of
	/// slow versions are two to four times as long.
	double fastest_quantile = 0.1;
	double fastest_factor = 1.7;

	/// Maximum fraction of a slow version's responses that are as fast as those of an idle engine.
	double max_fast_ratio_of_slow = 0.08;
};

/// \brief Latencies of one model's responses at the healthy replicas of each version.
struct latency_comparison
{
	std::string model;
	latency_histogram old_version;
	latency_histogram new_version;

	/// All responses of the new version, of healthy and faulty replicas.
	latency_histogram all_new;

	/// The relative latency up to which a response is fast.
	double fast_limit_latency{};

	/// The relative latency of the old version's fastest responses, before the order, before the trial or
	/// during the trial, whichever is lowest; taken as the latency of an idle engine.
	double fastest_latency{};
};

/// \brief The latencies to compare, by model; models with too few responses of the old version are left out.
[[nodiscard]] std::vector<latency_comparison> compare_latencies(
	const latencies_by_model& seen, const latency_tuning& tuning);

/// \brief Log-likelihood ratio of "the new version is about as fast as the old one" over "it is three or more
/// times slower". For a version that slow, the probability that the result ever exceeds log(1/a) is at most
/// a, however often it is evaluated.
/// \param use_all Whether to use all responses of the new version or only those of its healthy replicas.
[[nodiscard]] double log_evidence_as_fast(const std::vector<latency_comparison>& latencies, bool use_all);

/// \brief Probability that a slow version has at least the observed number of responses that are as fast as
/// those of an idle engine. Used for event intervals of streams, which do not depend on caches. Compared with
/// overloaded replicas of the old version, a slow version looks fast, since its own replicas carry little
/// load in a trial; but its intervals are never as short as the old version's shortest ones.
[[nodiscard]] double probability_if_slow(
	const std::vector<latency_comparison>& event_intervals, const latency_tuning& tuning);
} // namespace gingerdyke::rollout
