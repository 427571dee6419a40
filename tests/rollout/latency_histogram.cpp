// SPDX-License-Identifier: MIT
// Histograms of relative latencies.
#include <catch2/catch.hpp>
#include <gingerdyke/rollout/latency_histogram.hpp>

using gingerdyke::rollout::latency_histogram;

TEST_CASE("quantile and fraction_within are inverse to each other, also inside a bucket", "[answer-times]")
{
	latency_histogram latencies;
	for (int i = 1; i <= 1000; ++i)
	{
		latencies.record(0.2 + i * 0.004);
	}
	CHECK(latencies.size() == 1000);
	for (const auto fraction : {0.1, 0.25, 0.5, 0.9})
	{
		const auto at = latencies.quantile(fraction);
		CHECK(at == Approx(0.2 + fraction * 4).epsilon(0.1));
		CHECK(latencies.fraction_within(at) == Approx(fraction).margin(0.001));
	}
}

TEST_CASE("latencies out of range are counted in the outermost buckets", "[answer-times]")
{
	latency_histogram latencies;
	latencies.record(0);
	latencies.record(-1);
	latencies.record(1e9);
	CHECK(latencies.size() == 3);
	CHECK(latencies.counts().front() == 2);
	CHECK(latencies.counts().back() == 1);
	CHECK(latency_histogram{}.quantile(0.5) == 0);
	CHECK(latency_histogram{}.fraction_within(1) == 0);
}

TEST_CASE("counts of several VMs can be added and subtracted again", "[answer-times]")
{
	latency_histogram first;
	latency_histogram second;
	first.record(1);
	second.record(1);
	second.record(5);
	auto sum = first;
	sum += second;
	CHECK(sum.size() == 3);
	sum -= second;
	CHECK(sum == first);
	sum -= second;
	CHECK(sum.size() == 0);
}
