// SPDX-License-Identifier: MIT
// Whether a new version is worse than the old one, or shown to be as good: the decisions alone, on counts of
// all VMs.
#pragma once

#include <gingerdyke/rollout/time_comparison.hpp>
#include <string>

namespace gingerdyke::rollout
{
/// \brief Tuning of `judge` and `prove`. Answers the loads of a shift: thin traffic over many VMs, engines of
/// unlike speed, some or most of either version failing or slowed, and bursts that strike both versions.
struct verdict_tuning
{
	/// A version is bad where the evidence that it is worse than tolerated passes this logarithm; chance
	/// alone does so once in ten thousand shifts (see sequential_test.hpp).
	double conclusive = 9.2;

	/// The same for a look at the end of the trial, when the version would get all traffic next: chance alone
	/// does so once in thirty shifts of a version that is as bad as tolerated, and one that is no worse than
	/// the old one is far from that.
	double doubtful = 3.6;

	/// Fewest failures for a verdict.
	std::uint64_t fewest_failed = 3;

	/// Tolerated share of failures in the better half of the replicas: this, and this multiple of the old
	/// version's share in its better half. The better half of both, since some replicas may fail for a reason
	/// of their own: held against all of the old version's, half of which failed, a version that failed four
	/// in ten requests was within what is tolerated.
	double tolerated_failures = 0.09;
	double tolerated_multiple = 1.8;

	/// The same for all replicas in the last part of a trial, beside what they showed before it: a version
	/// that turns bad late, or under load only, shows it nowhere else, and few answers are given there.
	double tolerated_late = 0.04;

	/// At least this is tolerated of all replicas and routes together: more than a few sick replicas explain.
	/// Where few answers are known, those of each route fall into groups of one or two, and the better half
	/// of them shows nothing: a version that failed half of its requests was completed on 25 answers.
	double tolerated_overall = 0.12;

	/// Times, see there.
	time_tuning times;

	/// The new version is tolerated with this part of the old one's share of fast answers: engines that are
	/// slowed for a reason of their own strike up to a third of a version's replicas more than the other's.
	double tolerated_fast = 0.6;

	/// Fewest slow answers for a verdict.
	std::uint64_t fewest_slow = 8;

	/// A version is shown to be as good where it fails at most so much more often than the old one, both by
	/// the better half of their replicas; a bad one fails three in ten requests or more. Smaller, thin
	/// traffic can't show that a good version is good: this takes 11 answers without a failure.
	double margin = 0.25;

	/// None that fails more than this passes for good, however the old version fares: what is wrong with the
	/// replicas of both can't be told from a bad version then.
	double most_failures = 0.45;

	/// A version that is as bad as the margin passes with this probability at most.
	double risk = 0.05;

	/// A route, or the last part of a trial, is in doubt where the better half of the replicas shows so many
	/// failures there and this part of the tolerated share; then the whole does not pass. Without it, a
	/// version that failed on one route only passed in 7 of 40 drawn shifts beside old replicas that failed
	/// too.
	std::uint64_t fewest_doubtful = 5;
	double doubtful_part = 0.7;
};

/// \brief What a verdict rests on.
enum class verdict_ground
{
	none,
	/// More of its answers are failures.
	failures,
	/// More of its answers are slow.
	times,
	/// It gave bad answers, and is not shown to be as good as the old one in due time.
	unproven,
};

/// \brief The word for a ground.
[[nodiscard]] const char* name_of(verdict_ground ground) noexcept;

/// \brief What speaks against a new version the most.
struct version_verdict
{
	verdict_ground ground{verdict_ground::none};

	/// The route, or the model; empty: all of them, in a trial's load of a peak or over its whole time.
	std::string where;

	/// Answers judged, the bad ones among them, and the share of bad ones that is tolerated.
	std::uint64_t answers{};
	std::uint64_t bad{};
	double tolerated{};

	/// Logarithm of the evidence that more is bad than tolerated; negative: less is.
	double evidence{};
};

/// \brief Weighs what was seen of a new version; what speaks against it the most.
[[nodiscard]] version_verdict judge(const version_evidence& seen, const verdict_tuning& tuning);

/// \brief What shows that a new version is no worse than the old one. That nothing speaks against it is not
/// enough: a slow version of which hardly an answer came back was completed so.
struct version_proof
{
	/// Answers of the new version by which failures were judged, and the share that none may reach.
	answer_counts judged;
	double tolerated{};

	/// Probability that a version that fails as often as tolerated shows so few failures.
	double failure_risk{1};

	/// Whether a route, or the last part of the trial, is in doubt.
	bool has_doubtful_part{};

	/// Logarithm of the evidence that it is as fast as the old one, by first bytes and by paces of streams:
	/// the lower of both.
	double fast_evidence{};

	/// Probability that a slow version's streams are as often as fast as an idle engine's; 0: no streams are
	/// known.
	double slow_risk{};

	/// Bad answers seen of it: failures, or slow ones, whichever are more.
	std::uint64_t bad{};

	/// Whether it is shown to be as good.
	bool is_shown{};
};

/// \brief Weighs what shows that a new version is as good as the old one.
[[nodiscard]] version_proof prove(const version_evidence& seen, const verdict_tuning& tuning);

/// \brief Both decisions on the same answers.
struct version_assessment
{
	version_verdict verdict;
	version_proof proof;
};

/// \brief Weighs what speaks against a new version and what speaks for it, comparing the answers once: a VM
/// that reads the registry does so with each answer of a trial.
[[nodiscard]] version_assessment assess(const version_evidence& seen, const verdict_tuning& tuning);
} // namespace gingerdyke::rollout
