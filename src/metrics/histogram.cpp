// SPDX-License-Identifier: MIT
// Histograms with fixed logarithmic bins, by Boost.Accumulators.
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
/// The density statistic takes its bins from its first values: they are given the two bounds.
constexpr std::size_t priming_values = 2;
} // namespace

struct histogram::impl
{
	using set = acc::accumulator_set<double, acc::stats<acc::tag::density>>;

	impl()
	{
		logs(std::log10(lowest));
		logs(std::log10(highest));
	}

	set logs{acc::density_cache_size = priming_values, acc::density_num_bins = bins};
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
	impl_->logs(std::log10(std::clamp(value, lowest, highest)));
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

std::vector<std::pair<double, std::size_t>> histogram::cumulative() const
{
	std::vector<std::pair<double, std::size_t>> result;
	if (!impl_)
	{
		return result;
	}
	const auto density = acc::density(impl_->logs);
	const auto all = static_cast<double>(impl_->count + priming_values);
	// The bounds that primed the bins stand in the first and in the last bin of the range.
	const auto has_lowest = [&](std::size_t i) { return i == 1; };
	std::size_t sum = 0;
	const auto size = static_cast<std::size_t>(density.size());
	for (std::size_t i = 0; i < size; ++i)
	{
		auto here =
			static_cast<std::size_t>(std::llround(density[static_cast<std::ptrdiff_t>(i)].second * all));
		here -= has_lowest(i) && here > 0 ? 1 : 0;
		sum = std::min(impl_->count, sum + here);
		const auto upper =
			i + 1 < size ? density[static_cast<std::ptrdiff_t>(i + 1)].first : std::log10(highest);
		if (here > 0)
		{
			result.emplace_back(std::pow(10.0, upper), sum);
		}
	}
	return result;
}

double histogram::quantile(double share) const
{
	const auto wanted = share * static_cast<double>(count());
	double last = 0;
	for (const auto& [upper, count] : cumulative())
	{
		last = upper;
		if (static_cast<double>(count) >= wanted)
		{
			return upper;
		}
	}
	return last;
}
} // namespace gingerdyke::metrics
