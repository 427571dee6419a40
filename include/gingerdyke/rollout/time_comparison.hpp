// SPDX-License-Identifier: MIT
// Answer times of a new version beside the old one's, like against like: sound replicas with sound replicas.
#pragma once

#include <gingerdyke/rollout/version_evidence.hpp>
#include <string>
#include <vector>

namespace gingerdyke::rollout
{
/// \brief Tuning of `compare_times`.
struct time_tuning
{
	/// Fewest answers of the old version to compare times with.
	std::uint64_t fewest_old = 25;

	/// An answer is fast up to this multiple of the time that a quarter of the old version's keep within. Low
	/// quantiles tell the engine's own speed, since they hardly wait for others; caches that are still cold
	/// add up to half to them, a version that is several times slower more than the multiple.
	double fast_quantile = 0.25;
	double fast_multiple = 2;

	/// Answers within this multiple of the time that a tenth of the old version's keep within are as fast as
	/// an idle engine gives them. Paces of idle engines of one kind differ by a tenth; slow versions' are
	/// twice to four times as long.
	double fastest_quantile = 0.1;
	double fastest_multiple = 1.7;

	/// Of a slow version no more than this share of answers comes as fast as that.
	double slow_share_as_fast = 0.08;
};

/// \brief Times of one model's answers at the better half of each version's replicas.
struct compared_times
{
	std::string model;
	answer_times old_version;
	answer_times new_version;

	/// All answers of the new version, whatever the replica.
	answer_times all_new;

	/// The relative time up to which an answer is fast.
	double fast_within{};

	/// The relative time of the old version's very fastest answers, whenever they came: what an idle engine
	/// needs.
	double fastest{};
};

/// \brief What there is to compare, by model; models of whose old version too little is known are left out.
[[nodiscard]] std::vector<compared_times> compare_times(
	const times_by_model& seen, const time_tuning& tuning);

/// \brief How much likelier the answers are if the new version is about as fast as the old one than if it is
/// three times slower or more, as a logarithm. A version as slow as that passes the logarithm of 1/a with
/// probability at most a, however often one looks.
/// \param all Whether all answers of the new version count, or those of its better half.
[[nodiscard]] double log_evidence_as_fast(const std::vector<compared_times>& times, bool all);

/// \brief Probability that a slow version gives as many answers that are as fast as an idle engine's. For
/// paces of streams, which caches don't change: beside replicas that are overloaded a slow version's are
/// fast, since its own bear little in a trial, but none is as fast as theirs were at their best.
[[nodiscard]] double risk_of_slow_at_best(
	const std::vector<compared_times>& paces, const time_tuning& tuning);
} // namespace gingerdyke::rollout
