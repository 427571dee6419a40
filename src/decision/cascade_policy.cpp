// SPDX-License-Identifier: MIT
// Cascades: the cheapest plan whose quality, by a confidence bound, holds the target.
#include <algorithm>
#include <cmath>
#include <gingerdyke/decision/cascade_policy.hpp>

namespace gingerdyke::decision
{
namespace
{
std::size_t bin_of(double confidence, std::size_t bins)
{
	const auto scaled = std::clamp(confidence, 0.0, 1.0) * static_cast<double>(bins);
	return std::min(bins - 1, static_cast<std::size_t>(scaled));
}

/// A share of good answers with its squared standard error; the prior counts as some ratings.
struct share
{
	double mean{};
	double variance{};
};

share share_of(double good, double rated, double prior, double prior_weight)
{
	const auto count = rated + prior_weight;
	const auto mean = (good + prior * prior_weight) / count;
	// One good and one bad answer more: the error of a share near 0 or 1 is not taken for nothing.
	const auto smoothed = (mean * count + 1) / (count + 2);
	return {mean, smoothed * (1 - smoothed) / (count + 2)};
}
} // namespace

cascade_policy::cascade_policy(random_source random, cascade_tuning tuning)
	: random_(std::move(random)), tuning_(tuning)
{
}

cascade_policy::estimate cascade_policy::weigh(const cascade_scope& scope,
	const std::vector<cascade_step>& steps, std::size_t first, std::size_t threshold_bin)
{
	const auto& step = steps[first];
	const auto& last = steps.back();
	const auto& own = evidence_[{scope, step.model}];
	const auto& strong = evidence_[{scope, last.model}];

	double good_kept = 0;
	double rated_kept = 0;
	double seen_kept = 0;
	double seen = 0;
	for (std::size_t bin = 0; bin < bins; ++bin)
	{
		const bool kept = bin >= threshold_bin;
		good_kept += kept ? own.good[bin] : 0;
		rated_kept += kept ? own.rated[bin] : 0;
		seen_kept += kept ? own.seen[bin] : 0;
		seen += own.seen[bin];
	}
	const auto prior_kept = 1 - static_cast<double>(threshold_bin) / bins;
	const auto kept = (seen_kept + prior_kept * tuning_.prior_weight) / (seen + tuning_.prior_weight);
	const auto quality_kept = share_of(good_kept, rated_kept, step.quality_prior, tuning_.prior_weight);

	double strong_good = 0;
	double strong_rated = 0;
	for (std::size_t bin = 0; bin < bins; ++bin)
	{
		strong_good += strong.good[bin];
		strong_rated += strong.rated[bin];
	}
	const auto quality_strong = share_of(strong_good, strong_rated, last.quality_prior, tuning_.prior_weight);

	const auto mean = kept * quality_kept.mean + (1 - kept) * quality_strong.mean;
	const auto variance =
		kept * kept * quality_kept.variance + (1 - kept) * (1 - kept) * quality_strong.variance;
	estimate result;
	result.quality_bound = mean - tuning_.caution * std::sqrt(variance);
	result.cost = static_cast<double>(step.cost_per_thousand.value()) +
				  (1 - kept) * static_cast<double>(last.cost_per_thousand.value());
	return result;
}

cascade_plan cascade_policy::plan(
	const cascade_scope& scope, const std::vector<cascade_step>& steps, double target, bool may_escalate)
{
	const bool explores = steps.size() > 1 && random_unit(random_) < tuning_.explore;
	if (explores)
	{
		// The caller is given the last step's answer all the same, where it can be waited for.
		constexpr double always = 2;
		return {random_below(random_, steps.size() - 1), may_escalate ? always : 0, true};
	}
	cascade_plan best{steps.size() - 1, 0, false};
	auto best_cost = static_cast<double>(steps.back().cost_per_thousand.value());
	for (std::size_t first = 0; first + 1 < steps.size(); ++first)
	{
		const auto highest = may_escalate ? bins : 1;
		for (std::size_t threshold = 0; threshold < highest; ++threshold)
		{
			const auto found = weigh(scope, steps, first, threshold);
			if (found.quality_bound >= target && found.cost < best_cost)
			{
				best = {first, static_cast<double>(threshold) / bins, false};
				best_cost = found.cost;
			}
		}
	}
	return best;
}

bool cascade_policy::samples_rating()
{
	return random_unit(random_) < tuning_.rated_share;
}

void cascade_policy::note_confidence(const cascade_scope& scope, const model_id& model, double confidence)
{
	auto& evidence = evidence_[{scope, model}];
	for (auto& one : evidence.seen)
	{
		one *= tuning_.keep;
	}
	evidence.seen[bin_of(confidence, bins)] += 1;
}

void cascade_policy::note_rating(
	const cascade_scope& scope, const model_id& model, double confidence, bool good)
{
	auto& evidence = evidence_[{scope, model}];
	for (std::size_t bin = 0; bin < bins; ++bin)
	{
		evidence.good[bin] *= tuning_.keep;
		evidence.rated[bin] *= tuning_.keep;
	}
	const auto bin = bin_of(confidence, bins);
	evidence.rated[bin] += 1;
	evidence.good[bin] += good ? 1 : 0;
}
} // namespace gingerdyke::decision
