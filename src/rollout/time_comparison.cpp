// SPDX-License-Identifier: MIT
// Answer times of a new version beside the old one's.
#include <algorithm>
#include <array>
#include <boost/math/distributions/binomial.hpp>
#include <cmath>
#include <gingerdyke/rollout/time_comparison.hpp>
#include <initializer_list>
#include <optional>

namespace gingerdyke::rollout
{
namespace
{
/// Shifts of the old version's times, in levels of half an octave: as fast as it or up to 1.4 times slower,
/// as caches that are still cold make an answer; and three to eight times slower.
constexpr std::array as_fast{-2, -1, 0, 1};
constexpr std::array slower{3, 4, 5, 6};

/// Share of answers whose time says nothing: some replicas are slowed for a reason of their own.
constexpr double unexplained_share = 0.05;

using level_shares = std::array<double, answer_times::levels>;

/// The time that a share of the old version's answers keeps within, at the time when it was least: trouble at
/// one time would hide the engines' own speed. None where too little of the old version is known.
std::optional<double> least_quantile(
	std::initializer_list<const answer_times*> of_old, double share, const time_tuning& tuning)
{
	std::optional<double> least;
	for (const auto* times : of_old)
	{
		if (times->size() >= tuning.fewest_old)
		{
			const auto time = times->quantile(share);
			least = std::min(least.value_or(time), time);
		}
	}
	return least;
}

std::optional<double> fast_limit(
	const answer_times& before, const answer_times& beside, const time_tuning& tuning)
{
	const auto time = least_quantile({&before, &beside}, tuning.fast_quantile, tuning);
	return time ? std::optional{*time * tuning.fast_multiple} : std::nullopt;
}

/// Adds the answers of a model by cell, and how many of them are slow.
void add_slow(by_cell<answer_counts>& to, const by_cell<answer_times>& seen, double fast_within)
{
	for (const auto& [cell, times] : seen)
	{
		const auto answers = times.size();
		const auto slow = static_cast<double>(answers) * (1 - times.share_within(fast_within));
		to[cell] += {answers, static_cast<std::uint64_t>(std::lround(slow))};
	}
}

/// Cells of a version's replicas that are fast, over all models.
cell_set fast_half(const times_by_model& seen, const std::map<std::string, double>& limits,
	by_cell<answer_times> time_evidence::*version)
{
	by_cell<answer_counts> slow;
	for (const auto& [model, limit] : limits)
	{
		add_slow(slow, seen.at(model).*version, limit);
	}
	return better_half(slow);
}

level_shares shares_of(const answer_times& times)
{
	// Neighbouring levels share some of their answers: few answers leave gaps.
	constexpr double smoothing = 0.5;
	level_shares shares{};
	const auto& counts = times.counts();
	double sum = 0;
	for (std::size_t level = 0; level < shares.size(); ++level)
	{
		const auto below = level == 0 ? 0 : counts[level - 1];
		const auto above = level + 1 == counts.size() ? 0 : counts[level + 1];
		shares[level] = counts[level] + smoothing / 2 * (below + above);
		sum += shares[level];
	}
	for (auto& share : shares)
	{
		share /= std::max(1.0, sum);
	}
	return shares;
}

/// Logarithm of the likelihood of answers whose times are the old version's, shifted by so many levels.
double log_likelihood(const answer_times& answers, const level_shares& old, int shift)
{
	constexpr int highest = static_cast<int>(answer_times::levels) - 1;
	level_shares shifted{};
	for (int level = 0; level <= highest; ++level)
	{
		const auto to = std::clamp(level + shift, 0, highest);
		shifted[static_cast<std::size_t>(to)] += old[static_cast<std::size_t>(level)];
	}
	double sum = 0;
	for (std::size_t level = 0; level < shifted.size(); ++level)
	{
		const auto share =
			(1 - unexplained_share) * shifted[level] + unexplained_share / double(shifted.size());
		sum += answers.counts()[level] * std::log(share);
	}
	return sum;
}

/// Logarithm of the mean likelihood over some shifts, the same for all models.
template <typename Shifts>
double log_mean_likelihood(const std::vector<compared_times>& times, bool all, const Shifts& shifts)
{
	std::vector<double> logs;
	for (const auto shift : shifts)
	{
		double sum = 0;
		for (const auto& one : times)
		{
			sum += log_likelihood(all ? one.all_new : one.new_version, shares_of(one.old_version), shift);
		}
		logs.push_back(sum);
	}
	const auto highest = *std::max_element(logs.begin(), logs.end());
	double mean = 0;
	for (const auto one : logs)
	{
		mean += std::exp(one - highest) / static_cast<double>(logs.size());
	}
	return highest + std::log(mean);
}
} // namespace

std::vector<compared_times> compare_times(const times_by_model& seen, const time_tuning& tuning)
{
	std::map<std::string, double> limits;
	for (const auto& [model, one] : seen)
	{
		if (const auto limit = fast_limit(one.before, one.old_version.sum(), tuning))
		{
			limits[model] = *limit;
		}
	}
	const auto sound_old = fast_half(seen, limits, &time_evidence::old_version);
	for (auto& [model, limit] : limits)
	{
		const auto& one = seen.at(model);
		limit = fast_limit(one.before, one.old_version.sum(sound_old), tuning).value_or(limit);
	}
	const auto sound_new = fast_half(seen, limits, &time_evidence::new_version);
	std::vector<compared_times> compared;
	for (const auto& [model, limit] : limits)
	{
		const auto& one = seen.at(model);
		const auto beside = one.old_version.sum(sound_old);
		const bool is_enough = beside.size() >= tuning.fewest_old;
		const auto fastest =
			least_quantile({&one.usual, &one.before, &beside}, tuning.fastest_quantile, tuning);
		compared.push_back({model, is_enough ? beside : one.before, one.new_version.sum(sound_new),
			one.new_version.sum(), limit, fastest.value_or(limit)});
	}
	return compared;
}

double log_evidence_as_fast(const std::vector<compared_times>& times, bool all)
{
	return log_mean_likelihood(times, all, as_fast) - log_mean_likelihood(times, all, slower);
}

double risk_of_slow_at_best(const std::vector<compared_times>& paces, const time_tuning& tuning)
{
	double answers = 0;
	double as_fast = 0;
	for (const auto& one : paces)
	{
		const auto size = static_cast<double>(one.all_new.size());
		answers += size;
		as_fast += size * one.all_new.share_within(one.fastest * tuning.fastest_multiple);
	}
	const auto count = std::floor(as_fast);
	if (count < 1)
	{
		return 1;
	}
	const boost::math::binomial_distribution<double> of_slow{answers, tuning.slow_share_as_fast};
	return boost::math::cdf(boost::math::complement(of_slow, count - 1));
}
} // namespace gingerdyke::rollout
