// SPDX-License-Identifier: MIT
// Histograms of relative latencies.
#include <catch2/catch.hpp>
#include <gingerdyke/rollout/answer_times.hpp>

using gingerdyke::rollout::answer_times;

TEST_CASE("quantile and fraction_within are inverse to each other, also inside a bucket", "[answer-times]")
{
	answer_times times;
	for (int i = 1; i <= 1000; ++i)
	{
		times.note(0.2 + i * 0.004);
	}
	CHECK(times.size() == 1000);
	for (const auto fraction : {0.1, 0.25, 0.5, 0.9})
	{
		const auto at = times.quantile(fraction);
		CHECK(at == Approx(0.2 + fraction * 4).epsilon(0.1));
		CHECK(times.fraction_within(at) == Approx(fraction).noninferiority_margin(0.001));
	}
}

TEST_CASE("latencies out of range are counted in the outermost buckets", "[answer-times]")
{
	answer_times times;
	times.note(0);
	times.note(-1);
	times.note(1e9);
	CHECK(times.size() == 3);
	CHECK(times.counts().front() == 2);
	CHECK(times.counts().back() == 1);
	CHECK(answer_times{}.quantile(0.5) == 0);
	CHECK(answer_times{}.fraction_within(1) == 0);
}

TEST_CASE("counts of several VMs can be added and subtracted again", "[answer-times]")
{
	answer_times first;
	answer_times second;
	first.note(1);
	second.note(1);
	second.note(5);
	auto sum = first;
	sum += second;
	CHECK(sum.size() == 3);
	sum -= second;
	CHECK(sum == first);
	sum -= second;
	CHECK(sum.size() == 0);
}
