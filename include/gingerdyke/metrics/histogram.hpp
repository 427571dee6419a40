// SPDX-License-Identifier: MIT
// Histograms with fixed logarithmic bins, by Boost.Accumulators.
#pragma once

#include <cstddef>
#include <memory>
#include <utility>
#include <vector>

namespace gingerdyke::metrics
{
/// \brief Counts values by size. All histograms have the same bins, so they can be added up. One without
/// values takes no memory.
class histogram
{
  public:
	/// Smallest and largest value told apart, in microseconds; the bins between grow by a constant factor.
	static constexpr double lowest = 10;
	static constexpr double highest = 1e9;
	static constexpr std::size_t bins = 160;

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

	/// \brief The value that a share of all values do not pass, to the width of a bin (12%); 0 without
	/// values.
	[[nodiscard]] double quantile(double share) const;

	/// \brief Upper bounds of the bins in use with the number of values up to each.
	[[nodiscard]] std::vector<std::pair<double, std::size_t>> cumulative() const;

  private:
	struct impl;
	std::unique_ptr<impl> impl_;
};
} // namespace gingerdyke::metrics
