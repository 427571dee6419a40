// SPDX-License-Identifier: MIT
// A histogram of relative latencies that can be summed over VMs.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>

namespace gingerdyke::rollout
{
/// \brief Histogram of relative latencies with fixed buckets, so that the counts of all VMs can be added.
///
/// A relative latency is a latency divided by the expected latency of an idle engine. Buckets are half an
/// octave wide and span 1/8 to 32: from an engine that has most of a prompt in its cache to one that is far
/// too slow.
class latency_histogram
{
  public:
	static constexpr std::size_t bucket_count = 17;

	/// \brief Records one latency.
	void record(double relative_latency) noexcept;

	/// \brief Number of recorded latencies.
	[[nodiscard]] std::uint64_t size() const noexcept;

	/// \brief The relative latency at a quantile, interpolated within its bucket; 0 if nothing was recorded.
	/// \param fraction The quantile, from 0 to 1.
	[[nodiscard]] double quantile(double fraction) const noexcept;

	/// \brief Fraction of recorded latencies that are at most `relative_latency`, interpolated within its
	/// bucket; 0 if nothing was recorded.
	[[nodiscard]] double fraction_within(double relative_latency) const noexcept;

	latency_histogram& operator+=(const latency_histogram& other) noexcept;

	/// \brief Subtracts counts that were added before.
	latency_histogram& operator-=(const latency_histogram& other) noexcept;

	/// \brief The counts, lowest bucket first, for serialization.
	[[nodiscard]] const std::array<std::uint32_t, bucket_count>& counts() const noexcept { return counts_; }

	/// \brief Sets the count of one bucket when decoding; an index out of range is ignored.
	void set_count(std::size_t bucket, std::uint32_t count) noexcept;

	bool operator==(const latency_histogram&) const = default;

  private:
	std::array<std::uint32_t, bucket_count> counts_{};
};
} // namespace gingerdyke::rollout
