// SPDX-License-Identifier: MIT
// A histogram of relative latencies that can be summed over VMs.
#include <algorithm>
#include <cmath>
#include <gingerdyke/rollout/latency_histogram.hpp>
#include <numeric>

namespace gingerdyke::rollout
{
namespace
{
/// Upper bound of the lowest bucket, and number of buckets per doubling.
constexpr double lowest_upper_bound = 0.125;
constexpr double buckets_per_octave = 2;

/// Position of a latency on the bucket scale; 0 is the lower end of the lowest bucket.
double bucket_position(double relative_latency) noexcept
{
	constexpr double highest = static_cast<double>(latency_histogram::bucket_count);
	if (relative_latency <= 0)
	{
		return 0;
	}
	const auto position = std::log2(relative_latency / lowest_upper_bound) * buckets_per_octave + 1;
	return std::clamp(position, 0.0, highest);
}

double latency_at(double position) noexcept
{
	return lowest_upper_bound * std::exp2((position - 1) / buckets_per_octave);
}
} // namespace

void latency_histogram::record(double relative_latency) noexcept
{
	const auto bucket = static_cast<std::size_t>(bucket_position(relative_latency));
	++counts_[std::min(bucket, bucket_count - 1)];
}

std::uint64_t latency_histogram::size() const noexcept
{
	return std::accumulate(counts_.begin(), counts_.end(), std::uint64_t{0});
}

double latency_histogram::quantile(double fraction) const noexcept
{
	const auto target_rank = fraction * static_cast<double>(size());
	double below = 0;
	for (std::size_t bucket = 0; bucket < bucket_count; ++bucket)
	{
		const auto in_bucket = static_cast<double>(counts_[bucket]);
		if (in_bucket > 0 && below + in_bucket >= target_rank)
		{
			return latency_at(static_cast<double>(bucket) + (target_rank - below) / in_bucket);
		}
		below += in_bucket;
	}
	return 0;
}

double latency_histogram::fraction_within(double relative_latency) const noexcept
{
	const auto total = static_cast<double>(size());
	if (total <= 0)
	{
		return 0;
	}
	const auto position = bucket_position(relative_latency);
	double within = 0;
	for (std::size_t bucket = 0; bucket < bucket_count; ++bucket)
	{
		const auto covered = std::clamp(position - static_cast<double>(bucket), 0.0, 1.0);
		within += covered * static_cast<double>(counts_[bucket]);
	}
	return within / total;
}

latency_histogram& latency_histogram::operator+=(const latency_histogram& other) noexcept
{
	for (std::size_t bucket = 0; bucket < bucket_count; ++bucket)
	{
		counts_[bucket] += other.counts_[bucket];
	}
	return *this;
}

latency_histogram& latency_histogram::operator-=(const latency_histogram& other) noexcept
{
	for (std::size_t bucket = 0; bucket < bucket_count; ++bucket)
	{
		counts_[bucket] -= std::min(counts_[bucket], other.counts_[bucket]);
	}
	return *this;
}

void latency_histogram::set_count(std::size_t bucket, std::uint32_t count) noexcept
{
	if (bucket < bucket_count)
	{
		counts_[bucket] = count;
	}
}
} // namespace gingerdyke::rollout
