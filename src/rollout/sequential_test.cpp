// SPDX-License-Identifier: MIT
// Tests, valid at every look, whether a version fails more often than it may.
#include <algorithm>
#include <array>
#include <cmath>
#include <gingerdyke/rollout/sequential_test.hpp>

namespace gingerdyke::rollout
{
namespace
{
/// Worse rates that are bet on: the way from the tolerated rate to 1, cut geometrically.
double worse_rate(double tolerated, unsigned step, unsigned steps)
{
	constexpr double highest = 0.95;
	const auto part = static_cast<double>(step + 1) / static_cast<double>(steps);
	return std::min(highest, tolerated * std::pow(highest / tolerated, part));
}

double log_ratio(std::uint64_t answers, std::uint64_t failures, double worse, double tolerated)
{
	const auto failed = static_cast<double>(failures);
	const auto passed = static_cast<double>(answers - std::min(answers, failures));
	return failed * std::log(worse / tolerated) + passed * std::log((1 - worse) / (1 - tolerated));
}
} // namespace

double log_evidence_against(std::uint64_t answers, std::uint64_t failures, double tolerated)
{
	constexpr unsigned steps = 6;
	std::array<double, steps> logs{};
	for (unsigned i = 0; i < steps; ++i)
	{
		logs[i] = log_ratio(answers, failures, worse_rate(tolerated, i, steps), tolerated);
	}
	const auto highest = *std::max_element(logs.begin(), logs.end());
	double sum = 0;
	for (const auto one : logs)
	{
		sum += std::exp(one - highest);
	}
	return highest + std::log(sum / steps);
}

void change_detector::add(std::uint64_t answers, std::uint64_t failures)
{
	for (unsigned i = 0; i < rates; ++i)
	{
		const auto worse = worse_rate(tolerated_, i, rates);
		log_scores_[i] = std::max(0.0, log_scores_[i]) + log_ratio(answers, failures, worse, tolerated_);
	}
}

double change_detector::log_score() const
{
	return *std::max_element(std::begin(log_scores_), std::end(log_scores_));
}
} // namespace gingerdyke::rollout
