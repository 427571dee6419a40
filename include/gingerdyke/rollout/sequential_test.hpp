// SPDX-License-Identifier: MIT
// Tests, valid at every look, whether a version fails more often than it may.
#pragma once

#include <cstdint>

namespace gingerdyke::rollout
{
/// \brief Evidence against "fails at most at the tolerated rate", as the logarithm of a betting score.
///
/// The score is the mean, over a grid of worse rates, of the likelihood ratio against the tolerated rate.
/// While the version is no worse than tolerated its expectation is at most 1 at any time of looking, so it
/// passes 1/a with probability at most a however often one looks (Ville's inequality).
/// \param answers Answers judged.
/// \param failures Those of them that failed.
/// \param tolerated Tolerated rate of failures, above 0 and below 1.
[[nodiscard]] double log_evidence_against(std::uint64_t answers, std::uint64_t failures, double tolerated);

/// \brief Watches a version that has served long: finds the moment at which it turns bad.
///
/// Keeps a running score that is never below 1 at the start of a step (a CUSUM of betting scores), one for
/// each worse rate, so that a long good past does not hide a bad present.
class change_detector
{
  public:
	explicit change_detector(double tolerated) : tolerated_(tolerated) {}

	/// \brief Adds judged answers.
	void add(std::uint64_t answers, std::uint64_t failures);

	/// \brief Logarithm of the highest running score.
	[[nodiscard]] double log_score() const;

  private:
	static constexpr unsigned rates = 4;
	double tolerated_;
	double log_scores_[rates]{};
};
} // namespace gingerdyke::rollout
