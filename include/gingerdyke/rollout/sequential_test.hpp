// SPDX-License-Identifier: MIT
// Sequential tests, valid at any stopping time, of whether a version's failure rate exceeds the tolerated
// rate.
#pragma once

#include <cstdint>

namespace gingerdyke::rollout
{
/// \brief Evidence against the hypothesis "the failure rate is at most the tolerated rate": the logarithm of
/// a betting score (an e-value).
///
/// The score is the mean, over a grid of higher rates, of the likelihood ratio against the tolerated rate.
/// While the hypothesis holds, the expected score is at most 1 at any stopping time, so the probability that
/// it ever exceeds 1/a is at most a, however often it is evaluated (Ville's inequality).
/// \param responses Number of responses.
/// \param failures Number of those responses that failed.
/// \param tolerated Tolerated failure rate, greater than 0 and less than 1.
[[nodiscard]] double log_evidence_against(std::uint64_t responses, std::uint64_t failures, double tolerated);

/// \brief Change detector for a version in long-term use: detects the point at which its failure rate rises.
///
/// Keeps one running score for each alternative rate, reset to at least 1 before each update (a CUSUM of
/// betting scores), so that a long history of successes does not hide a recent rise in failures.
class change_detector
{
  public:
	explicit change_detector(double tolerated) : tolerated_(tolerated) {}

	/// \brief Adds responses and their failures.
	void add(std::uint64_t responses, std::uint64_t failures);

	/// \brief Logarithm of the highest running score.
	[[nodiscard]] double log_score() const;

  private:
	static constexpr unsigned rate_count = 4;
	double tolerated_;
	double log_scores_[rate_count]{};
};
} // namespace gingerdyke::rollout
