// SPDX-License-Identifier: MIT
// Sequential tests, valid at any stopping time, of whether a version's failure rate exceeds the tolerated
// rate.
#include <algorithm>
#include <array>
#include <cmath>
#include <gingerdyke/rollout/sequential_test.hpp>

namespace gingerdyke::rollout
{
namespace
{
/// An alternative failure rate: step `step` of a geometric grid from the tolerated rate to the highest rate.
double alternative_rate(double tolerated, unsigned step, unsigned steps)
{
	constexpr double highest = 0.95;
	const auto exponent = static_cast<double>(step + 1) / static_cast<double>(steps);
	return std::min(highest, tolerated * std::pow(highest / tolerated, exponent));
}

double log_ratio(std::uint64_t responses, std::uint64_t failures, double alternative, double tolerated)
{
	const auto failed = static_cast<double>(failures);
	const auto succeeded = static_cast<double>(responses - std::min(responses, failures));
	return failed * std::log(alternative / tolerated) +
		   succeeded * std::log((1 - alternative) / (1 - tolerated));
}
} // namespace

double log_evidence_against(std::uint64_t responses, std::uint64_t failures, double tolerated)
{
	constexpr unsigned steps = 6;
	std::array<double, steps> logs{};
	for (unsigned i = 0; i < steps; ++i)
	{
		logs[i] = log_ratio(responses, failures, alternative_rate(tolerated, i, steps), tolerated);
	}
	const auto highest = *std::max_element(logs.begin(), logs.end());
	double sum = 0;
	for (const auto value : logs)
	{
		sum += std::exp(value - highest);
	}
	return highest + std::log(sum / steps);
}

void change_detector::add(std::uint64_t responses, std::uint64_t failures)
{
	for (unsigned i = 0; i < rate_count; ++i)
	{
		const auto alternative = alternative_rate(tolerated_, i, rate_count);
		log_scores_[i] =
			std::max(0.0, log_scores_[i]) + log_ratio(responses, failures, alternative, tolerated_);
	}
}

double change_detector::log_score() const
{
	return *std::max_element(std::begin(log_scores_), std::end(log_scores_));
}
} // namespace gingerdyke::rollout
