// SPDX-License-Identifier: MIT
// Histograms with fixed logarithmic bins, based on Boost.Accumulators.
#pragma once

#include <cstddef>
#include <memory>
#include <utility>
#include <vector>

namespace gingerdyke::metrics
{
/// \brief Histogram of durations. All histograms have the same bins, so they can be aggregated. Bins are
/// allocated with the first value.
class histogram
{
  public:
	/// Range in microseconds; values outside are counted in the first or last bin. Each bin is wider than the
	/// previous one by a constant factor.
	static constexpr double min_value = 10;
	static constexpr double max_value = 1e9;
	static constexpr std::size_t bin_count = 160;

	histogram();
	~histogram();
	histogram(histogram&&) noexcept;
	histogram& operator=(histogram&&) noexcept;
	histogram(const histogram&) = delete;
	histogram& operator=(const histogram&) = delete;

	/// \brief Adds a value, in microseconds.
	void add(double value);

	/// \brief Number of values.
	[[nodiscard]] std::size_t count() const;

	/// \brief Sum of all values, in microseconds.
	[[nodiscard]] double sum() const;

	/// \brief A quantile, rounded up to the bound of its bin (bins are 12% wide); 0 without values.
	/// \param fraction Fraction of all values that are at most the result.
	[[nodiscard]] double quantile(double fraction) const;

	/// \brief Upper bounds of the non-empty bins, each with the number of values up to it.
	[[nodiscard]] std::vector<std::pair<double, std::size_t>> cumulative_counts() const;

  private:
	struct impl;
	std::unique_ptr<impl> impl_;
};
} // namespace gingerdyke::metrics
