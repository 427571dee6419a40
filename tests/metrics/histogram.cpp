// SPDX-License-Identifier: MIT
// Histograms with fixed logarithmic bins.
#include <catch2/catch.hpp>
#include <gingerdyke/metrics/histogram.hpp>

using namespace gingerdyke;

TEST_CASE("quantiles are accurate to the width of a bin", "[histogram]")
{
	metrics::histogram values;
	for (int i = 1; i <= 10'000; ++i)
	{
		values.add(i * 10.0);
	}
	CHECK(values.count() == 10'000);
	CHECK(values.quantile(0.5) == Approx(50'000).epsilon(0.13));
	CHECK(values.quantile(0.99) == Approx(99'000).epsilon(0.13));
	CHECK(values.cumulative_counts().back().second == 10'000);
}

TEST_CASE("an empty histogram has no bins, and values out of range are counted", "[histogram]")
{
	metrics::histogram values;
	CHECK(values.quantile(0.5) == 0);
	CHECK(values.cumulative_counts().empty());
	values.add(0);
	values.add(1e12);
	CHECK(values.cumulative_counts().back().second == 2);
}
