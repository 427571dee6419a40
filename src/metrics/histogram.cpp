// SPDX-License-Identifier: MIT
// Histograms with fixed logarithmic bins, based on Boost.Accumulators.
#include <algorithm>
#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/density.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>
#include <cmath>
#include <gingerdyke/metrics/histogram.hpp>

namespace gingerdyke::metrics
{
namespace acc = boost::accumulators;

namespace
{
/// The density statistic derives its bins from the first values it gets, so each histogram starts with the
/// two bounds of the range.
constexpr std::size_t priming_values = 2;
} // namespace

struct histogram::impl
{
	using set = acc::accumulator_set<double, acc::stats<acc::tag::density>>;

	impl()
	{
		logarithms(std::log10(min_value));
		logarithms(std::log10(max_value));
	}

	set logarithms{acc::density_cache_size = priming_values, acc::density_num_bins = bin_count};
	double sum{};
	std::size_t count{};
};

histogram::histogram() = default;
histogram::~histogram() = default;
histogram::histogram(histogram&&) noexcept = default;
histogram& histogram::operator=(histogram&&) noexcept = default;

void histogram::add(double value)
{
	if (!impl_)
	{
		impl_ = std::make_unique<impl>();
	}
	impl_->logarithms(std::log10(std::clamp(value, min_value, max_value)));
	impl_->sum += value;
	++impl_->count;
}

std::size_t histogram::count() const
{
	return impl_ ? impl_->count : 0;
}

double histogram::sum() const
{
	return impl_ ? impl_->sum : 0;
}

std::vector<std::pair<double, std::size_t>> histogram::cumulative_counts() const
{
	std::vector<std::pair<double, std::size_t>> result;
	if (!impl_)
	{
		return result;
	}
	const auto density = acc::density(impl_->logarithms);
	const auto total_count = static_cast<double>(impl_->count + priming_values);
	// The two priming values are counted in the first and the last bin of the range and have to be left out.
	// The one in the last bin is left out by the limit to `count`.
	const auto holds_min_value = [&](std::size_t i) { return i == 1; };
	std::size_t sum = 0;
	const auto size = static_cast<std::size_t>(density.size());
	for (std::size_t i = 0; i < size; ++i)
	{
		auto bin_values = static_cast<std::size_t>(
			std::llround(density[static_cast<std::ptrdiff_t>(i)].second * total_count));
		bin_values -= holds_min_value(i) && bin_values > 0 ? 1 : 0;
		sum = std::min(impl_->count, sum + bin_values);
		const auto upper =
			i + 1 < size ? density[static_cast<std::ptrdiff_t>(i + 1)].first : std::log10(max_value);
		if (bin_values > 0)
		{
			result.emplace_back(std::pow(10.0, upper), sum);
		}
	}
	return result;
}

double histogram::quantile(double fraction) const
{
	const auto rank = fraction * static_cast<double>(count());
	double last = 0;
	for (const auto& [upper, count] : cumulative_counts())
	{
		last = upper;
		if (static_cast<double>(count) >= rank)
		{
			return upper;
		}
	}
	return last;
}
} // namespace gingerdyke::metrics
