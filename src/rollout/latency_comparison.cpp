// SPDX-License-Identifier: MIT
// Compares the latencies of a new version with those of the old one.
#include <algorithm>
#include <array>
#include <boost/math/distributions/binomial.hpp>
#include <cmath>
#include <gingerdyke/rollout/latency_comparison.hpp>
#include <initializer_list>
#include <optional>

namespace gingerdyke::rollout
{
namespace
{
/// Offsets by which the old version's histogram is moved to model the new version, in buckets of half an
/// octave. As fast: up to 1.4 times slower, as with cold caches. Slower: three to eight times slower.
constexpr std::array as_fast_offsets{-2, -1, 0, 1};
constexpr std::array slower_offsets{3, 4, 5, 6};

/// Fraction of responses whose latency is unrelated to the version: some replicas are slow for a reason of
/// their own.
constexpr double unexplained_ratio = 0.05;

using bucket_fractions = std::array<double, latency_histogram::bucket_count>;

/// The lowest of the old version's latencies at a quantile, over the given periods: the latencies of other
/// periods may be raised by a temporary disturbance. None if no period has enough responses.
std::optional<double> lowest_quantile(
	std::initializer_list<const latency_histogram*> periods, double fraction, const latency_tuning& tuning)
{
	std::optional<double> lowest;
	for (const auto* latencies : periods)
	{
		if (latencies->size() >= tuning.min_old_responses)
		{
			const auto latency = latencies->quantile(fraction);
			lowest = std::min(lowest.value_or(latency), latency);
		}
	}
	return lowest;
}

std::optional<double> fast_limit(
	const latency_histogram& pre_trial, const latency_histogram& during_trial, const latency_tuning& tuning)
{
	const auto latency = lowest_quantile({&pre_trial, &during_trial}, tuning.fast_quantile, tuning);
	return latency ? std::optional{*latency * tuning.fast_factor} : std::nullopt;
}

/// Adds the number of responses of a model per cell, and how many of them are slow.
void add_slow(
	by_cell<response_counts>& target, const by_cell<latency_histogram>& seen, double fast_limit_latency)
{
	for (const auto& [cell, latencies] : seen)
	{
		const auto responses = latencies.size();
		const auto slow =
			static_cast<double>(responses) * (1 - latencies.fraction_within(fast_limit_latency));
		target[cell] += {responses, static_cast<std::uint64_t>(std::lround(slow))};
	}
}

/// The cells with the fewest slow responses of a version, over all models.
cell_set fast_cells(const latencies_by_model& seen, const std::map<std::string, double>& limits,
	by_cell<latency_histogram> latency_evidence::*version)
{
	by_cell<response_counts> slow;
	for (const auto& [model, limit] : limits)
	{
		add_slow(slow, seen.at(model).*version, limit);
	}
	return healthy_cells(slow);
}

bucket_fractions smoothed_fractions(const latency_histogram& latencies)
{
	// Smooths over adjacent buckets, since few responses leave gaps.
	constexpr double smoothing = 0.5;
	bucket_fractions fractions{};
	const auto& counts = latencies.counts();
	double sum = 0;
	for (std::size_t bucket = 0; bucket < fractions.size(); ++bucket)
	{
		const auto below = bucket == 0 ? 0 : counts[bucket - 1];
		const auto above = bucket + 1 == counts.size() ? 0 : counts[bucket + 1];
		fractions[bucket] = counts[bucket] + smoothing / 2 * (below + above);
		sum += fractions[bucket];
	}
	for (auto& fraction : fractions)
	{
		fraction /= std::max(1.0, sum);
	}
	return fractions;
}

/// Log-likelihood of latencies under the old version's distribution moved by `offset` buckets.
double log_likelihood(const latency_histogram& latencies, const bucket_fractions& old_fractions, int offset)
{
	constexpr int highest = static_cast<int>(latency_histogram::bucket_count) - 1;
	bucket_fractions moved{};
	for (int bucket = 0; bucket <= highest; ++bucket)
	{
		const auto target = std::clamp(bucket + offset, 0, highest);
		moved[static_cast<std::size_t>(target)] += old_fractions[static_cast<std::size_t>(bucket)];
	}
	double sum = 0;
	for (std::size_t bucket = 0; bucket < moved.size(); ++bucket)
	{
		const auto fraction =
			(1 - unexplained_ratio) * moved[bucket] + unexplained_ratio / double(moved.size());
		sum += latencies.counts()[bucket] * std::log(fraction);
	}
	return sum;
}

/// Logarithm of the mean likelihood over several offsets; each offset is applied to all models at once.
template <typename Offsets>
double log_mean_likelihood(
	const std::vector<latency_comparison>& latencies, bool use_all, const Offsets& offsets)
{
	std::vector<double> logs;
	for (const auto offset : offsets)
	{
		double sum = 0;
		for (const auto& comparison : latencies)
		{
			sum += log_likelihood(use_all ? comparison.all_new : comparison.new_version,
				smoothed_fractions(comparison.old_version), offset);
		}
		logs.push_back(sum);
	}
	const auto highest = *std::max_element(logs.begin(), logs.end());
	double mean = 0;
	for (const auto value : logs)
	{
		mean += std::exp(value - highest) / static_cast<double>(logs.size());
	}
	return highest + std::log(mean);
}
} // namespace

std::vector<latency_comparison> compare_latencies(
	const latencies_by_model& seen, const latency_tuning& tuning)
{
	std::map<std::string, double> limits;
	for (const auto& [model, evidence] : seen)
	{
		if (const auto limit = fast_limit(evidence.pre_trial, evidence.old_version.sum(), tuning))
		{
			limits[model] = *limit;
		}
	}
	const auto healthy_old = fast_cells(seen, limits, &latency_evidence::old_version);
	for (auto& [model, limit] : limits)
	{
		const auto& evidence = seen.at(model);
		limit = fast_limit(evidence.pre_trial, evidence.old_version.sum(healthy_old), tuning).value_or(limit);
	}
	const auto healthy_new = fast_cells(seen, limits, &latency_evidence::new_version);
	std::vector<latency_comparison> compared;
	for (const auto& [model, limit] : limits)
	{
		const auto& evidence = seen.at(model);
		const auto during_trial = evidence.old_version.sum(healthy_old);
		const bool has_enough = during_trial.size() >= tuning.min_old_responses;
		const auto fastest_latency = lowest_quantile(
			{&evidence.baseline, &evidence.pre_trial, &during_trial}, tuning.fastest_quantile, tuning);
		compared.push_back(
			{model, has_enough ? during_trial : evidence.pre_trial, evidence.new_version.sum(healthy_new),
				evidence.new_version.sum(), limit, fastest_latency.value_or(limit)});
	}
	return compared;
}

double log_evidence_as_fast(const std::vector<latency_comparison>& latencies, bool use_all)
{
	return log_mean_likelihood(latencies, use_all, as_fast_offsets) -
		   log_mean_likelihood(latencies, use_all, slower_offsets);
}

double probability_if_slow(
	const std::vector<latency_comparison>& event_intervals, const latency_tuning& tuning)
{
	double responses = 0;
	double fast_count = 0;
	for (const auto& comparison : event_intervals)
	{
		const auto size = static_cast<double>(comparison.all_new.size());
		responses += size;
		fast_count +=
			size * comparison.all_new.fraction_within(comparison.fastest_latency * tuning.fastest_factor);
	}
	const auto count = std::floor(fast_count);
	if (count < 1)
	{
		return 1;
	}
	const boost::math::binomial_distribution<double> slow_version{responses, tuning.max_fast_ratio_of_slow};
	return boost::math::cdf(boost::math::complement(slow_version, count - 1));
}
} // namespace gingerdyke::rollout
