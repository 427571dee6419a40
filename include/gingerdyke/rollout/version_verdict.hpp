// SPDX-License-Identifier: MIT
// Decides whether a new version is worse than the old one, or shown to be as good. Pure functions of the
// observations summed over all VMs.
#pragma once

#include <gingerdyke/rollout/latency_comparison.hpp>
#include <string>

namespace gingerdyke::rollout
{
/// \brief Tuning of `judge` and `prove`. The defaults allow for low traffic spread over many VMs, engines of
/// different speed, faulty or slow replicas of either version (up to most of them), and bursts that affect
/// both versions.
struct verdict_tuning
{
	/// A version is bad if the logarithm of the evidence that it is worse than tolerated exceeds this bound;
	/// the false-positive rate is one in ten thousand shifts (see sequential_test.hpp).
	double conclusive_log_evidence = 9.2;

	/// The bound for the check at the end of the trial, after which the version would get all traffic. The
	/// false-positive rate is one in thirty shifts for a version that is exactly as bad as tolerated; a
	/// version no worse than the old one stays far below the bound.
	double end_of_trial_log_evidence = 3.6;

	/// Minimum number of failures for a verdict.
	std::uint64_t min_failures = 3;

	/// The tolerated failure ratio of the new version's healthy replicas is `tolerated_failures` plus
	/// `tolerated_factor` times the failure ratio of the old version's healthy replicas. Both versions are
	/// restricted to healthy replicas, since some replicas may fail for a reason of their own: compared with
	/// all replicas of an old version, half of which failed, a version that failed 40 % of its requests was
	/// within the tolerated ratio.
	double tolerated_failures = 0.09;
	double tolerated_factor = 1.8;

	/// Replaces `tolerated_failures` in the peak-load phase, which is evaluated on all replicas;
	/// `tolerated_factor` then applies to the failure ratio of the old version or, if higher, of the new one
	/// before this phase. A version that becomes bad late or only under load shows it in this phase only, and
	/// the phase has few responses.
	double tolerated_peak_load = 0.04;

	/// Minimum tolerated failure ratio over all replicas and routes together; it is more than a few faulty
	/// replicas explain. This check is needed with few responses: a replica group then has one or two
	/// responses per route, and selecting healthy replicas by them is meaningless. Without it a version that
	/// failed half of its requests was completed on 25 responses.
	double tolerated_overall = 0.12;

	/// Tuning of the latency comparison.
	latency_tuning latencies;

	/// Tolerated ratio of the new version's fraction of fast responses to the old version's. Engines that are
	/// slow for a reason of their own can affect up to a third more of one version's replicas than of the
	/// other's.
	double tolerated_fast = 0.6;

	/// Minimum number of slow responses for a verdict.
	std::uint64_t min_slow_responses = 8;

	/// A version is shown to be as good if its failure ratio exceeds the old version's by at most this
	/// margin, both measured at healthy replicas; a bad version fails 30 % of its requests or more. With a
	/// smaller margin, low traffic could not show that a good version is good: this one takes 11 responses
	/// without a failure.
	double noninferiority_margin = 0.25;

	/// Maximum share of responses that a version shown to be good makes slow, where they are not streams: a
	/// version may be slow on a part of its requests only, which a comparison of all its latencies does not
	/// tell from a good one. Slow are responses beyond `slowed_factor` times the limit of a fast one; of
	/// short requests whose work varies by half, one in twenty is.
	double max_slowed_ratio = 0.3;
	double slowed_factor = 1.5;

	/// Maximum failure ratio of a version that is shown to be good, however the old version performs: above
	/// it, a fault that both versions' replicas share can't be distinguished from a bad version.
	double max_failure_ratio = 0.45;

	/// Maximum probability that a version as bad as the margin allows is shown to be good.
	double max_error_probability = 0.05;

	/// A route or the peak-load phase is doubtful if its healthy replicas show at least
	/// `min_doubtful_failures` failures and a failure ratio of at least `doubtful_ratio` times the highest
	/// failure ratio of a good version; the version is then not shown to be good. Without this check a
	/// version that failed on one route only passed in 7 of 40 simulated shifts with an old version whose
	/// replicas failed too.
	std::uint64_t min_doubtful_failures = 5;
	double doubtful_ratio = 0.7;
};

/// \brief Reason for a verdict.
enum class verdict_reason
{
	none,
	/// The failure ratio of the new version is higher than tolerated.
	failures,
	/// The ratio of slow responses of the new version is higher than tolerated.
	latency,
	/// The new version was not shown to be as good as the old one by its deadline.
	unproven,
};

/// \brief Name of a reason, as logged.
[[nodiscard]] const char* name_of(verdict_reason reason) noexcept;

/// \brief The strongest evidence against a new version.
struct version_verdict
{
	verdict_reason reason{verdict_reason::none};

	/// The route or the model that the evidence is about; empty: all routes or models, in the peak-load phase
	/// or over the whole trial.
	std::string scope;

	/// Number of responses considered, the bad ones among them, and the tolerated ratio of bad ones.
	std::uint64_t responses{};
	std::uint64_t bad_responses{};
	double tolerated{};

	/// Logarithm of the evidence that the ratio of bad responses is higher than tolerated; negative if it is
	/// lower.
	double evidence{};
};

/// \brief Returns the strongest evidence against a new version.
[[nodiscard]] version_verdict judge(const version_evidence& seen, const verdict_tuning& tuning);

/// \brief Result of the test that a new version is no worse than the old one. Absence of evidence against it
/// is not enough: a slow version with hardly any finished responses was completed that way.
struct version_proof
{
	/// The new version's responses by which failures were evaluated, and the failure ratio that it must be
	/// shown to stay below.
	response_counts judged;
	double tolerated{};

	/// Probability that a version with the tolerated failure ratio shows so few failures.
	double failure_risk{1};

	/// Whether a route or the peak-load phase is doubtful.
	bool has_doubtful_subset{};

	/// Logarithm of the evidence that the new version is as fast as the old one: the lower of the values for
	/// time to first byte and for event intervals of streams.
	double fast_evidence{};

	/// Probability that a slow version's event intervals are as often as short as an idle engine's; without
	/// streams, that a version which slows the tolerated part of its responses has so few slow ones.
	double slow_risk{};

	/// Number of bad responses of the new version: failures or slow responses, whichever are more.
	std::uint64_t bad_responses{};

	/// Whether the new version is shown to be as good as the old one.
	bool is_noninferior{};
};

/// \brief Tests whether a new version is as good as the old one.
[[nodiscard]] version_proof prove(const version_evidence& seen, const verdict_tuning& tuning);

/// \brief Both decisions on the same observations.
struct version_assessment
{
	version_verdict verdict;
	version_proof proof;
};

/// \brief Runs `judge` and `prove` with a single comparison of latencies, since a VM that reads the registry
/// evaluates both on each response of a trial.
[[nodiscard]] version_assessment assess(const version_evidence& seen, const verdict_tuning& tuning);
} // namespace gingerdyke::rollout
