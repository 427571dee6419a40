// SPDX-License-Identifier: MIT
// The verdict on a new version as a function of the observations.
#include <catch2/catch.hpp>
#include <gingerdyke/rollout/version_verdict.hpp>

using namespace gingerdyke::rollout;

namespace
{
const verdict_tuning tuning;

bool is_bad(const version_evidence& seen)
{
	return judge(seen, tuning).evidence > tuning.conclusive_log_evidence;
}

/// Adds responses of a group, half of them to each of its cells.
void add(by_cell<response_counts>& to, std::size_t group, response_counts counts)
{
	to[cell_of(group, 0)] += {counts.responses / 2, counts.failed / 2};
	to[cell_of(group, 1)] += {(counts.responses + 1) / 2, (counts.failed + 1) / 2};
}

/// The same counts in each group of replicas.
route_evidence in_all_groups(response_counts counts_per_group, response_counts old_pre_trial = {1000, 0})
{
	route_evidence seen;
	seen.pre_trial = old_pre_trial;
	for (std::size_t group = 0; group < replica_group_count; ++group)
	{
		add(seen.new_version, group, counts_per_group);
	}
	return seen;
}

/// Records `count` latencies, cycling through all cells.
template <typename Latency>
void record_each(by_cell<latency_histogram>& to, unsigned count, const Latency& latency)
{
	for (unsigned i = 0; i < count; ++i)
	{
		to[i % cell_count].record(latency(i));
	}
}

/// A relative latency of an old version: most are short, a third includes queueing.
double old_latency(unsigned i)
{
	const auto base = 0.4 + 0.001 * (i % 400);
	return i % 3 == 0 ? base * (2 + i % 17) : base;
}

/// Latencies of an old version before and during the trial.
latency_evidence of_old_version(unsigned pre_trial, unsigned during_trial)
{
	latency_evidence seen;
	for (unsigned i = 0; i < pre_trial; ++i)
	{
		seen.pre_trial.record(old_latency(i));
	}
	record_each(seen.old_version, during_trial, old_latency);
	return seen;
}
} // namespace

TEST_CASE("without observations there is no evidence against a version", "[version-verdict]")
{
	const auto verdict = judge({}, tuning);
	CHECK(verdict.reason != verdict_reason::latency);
	CHECK(verdict.evidence <= 0);
}

TEST_CASE(
	"failures at all replicas are attributed to the version, also on one route only", "[version-verdict]")
{
	version_evidence seen;
	seen.by_route["a"] = in_all_groups({40, 0});
	CHECK_FALSE(is_bad(seen));
	seen.by_route["b"] = in_all_groups({6, 3});
	REQUIRE(is_bad(seen));
	CHECK(judge(seen, tuning).reason == verdict_reason::failures);
	CHECK(judge(seen, tuning).scope == "b");
}

TEST_CASE("failures of a few replicas are not attributed to the version", "[version-verdict]")
{
	version_evidence seen;
	auto& route = seen.by_route["a"];
	route = in_all_groups({50, 0});
	for (std::size_t group = 0; group < replica_group_count * 3 / 8; ++group)
	{
		add(route.new_version, group, {0, 20});
	}
	CHECK_FALSE(is_bad(seen));
}

TEST_CASE("almost half of few responses failing is enough, spread over any routes and replicas",
	"[version-verdict]")
{
	version_evidence seen;
	for (const auto* route : {"a", "b", "c"})
	{
		auto& evidence = seen.by_route[route];
		evidence.pre_trial = {300, 0};
		// One or two responses per group; every other group fails.
		for (std::size_t i = 0; i < 8; ++i)
		{
			add(evidence.new_version, i, i % 2 == 0 ? response_counts{1, 1} : response_counts{2, 0});
		}
		add(evidence.new_version, 7, {0, 1});
	}
	// 15 failures of 36 responses exceed the bound at the end of a trial; twice as many exceed the bound that
	// applies at any time.
	CHECK(judge(seen, tuning).evidence > tuning.end_of_trial_log_evidence);
	seen += version_evidence{seen};
	CHECK(is_bad(seen));
}

TEST_CASE("failures that the old version has too are tolerated", "[version-verdict]")
{
	version_evidence seen;
	seen.by_route["a"] = in_all_groups({100, 15}, {2000, 280});
	CHECK_FALSE(is_bad(seen));
	seen.by_route["a"] = in_all_groups({100, 45}, {2000, 280});
	CHECK(is_bad(seen));
}

TEST_CASE("failures in the peak-load phase are not diluted by responses before it", "[version-verdict]")
{
	version_evidence seen;
	seen.by_route["a"] = in_all_groups({400, 3});
	CHECK_FALSE(is_bad(seen));
	seen.peak_load_phase = in_all_groups({25, 4});
	seen.by_route["a"] += seen.peak_load_phase;
	CHECK(is_bad(seen));
}

TEST_CASE("a version that is several times slower is bad, whatever its model", "[version-verdict]")
{
	version_evidence seen;
	for (const auto* model : {"small", "large"})
	{
		seen.first_byte_by_model[model] = of_old_version(300, 100);
	}
	record_each(seen.first_byte_by_model["small"].new_version, 60, [](unsigned i) { return 1.3 + 0.05 * i; });
	CHECK(is_bad(seen));
	CHECK(judge(seen, tuning).reason == verdict_reason::latency);
}

TEST_CASE("cold caches do not count as a slow version", "[version-verdict]")
{
	version_evidence seen;
	auto& latencies = seen.first_byte_by_model["m"];
	latencies = of_old_version(300, 100);
	record_each(latencies.new_version, 200, [](unsigned i) { return 0.7 + 0.001 * i; });
	CHECK_FALSE(is_bad(seen));
}

TEST_CASE("a burst that slows both versions is not attributed to the new one", "[version-verdict]")
{
	version_evidence seen;
	auto& latencies = seen.first_byte_by_model["m"];
	latencies = of_old_version(300, 0);
	record_each(latencies.old_version, 100, [](unsigned i) { return 2 + 0.1 * i; });
	record_each(latencies.new_version, 100, [](unsigned i) { return 2 + 0.1 * i; });
	CHECK_FALSE(is_bad(seen));
}

TEST_CASE("a burst before the trial does not hide that the new version is slow", "[version-verdict]")
{
	version_evidence seen;
	auto& latencies = seen.first_byte_by_model["m"];
	for (unsigned i = 0; i < 300; ++i)
	{
		latencies.pre_trial.record(3 + 0.05 * i);
	}
	record_each(latencies.old_version, 100, old_latency);
	record_each(latencies.new_version, 80, [](unsigned i) { return 1.5 + 0.01 * i; });
	CHECK(is_bad(seen));
}

TEST_CASE("a share of engines that are slow for a reason of their own is tolerated", "[version-verdict]")
{
	version_evidence seen;
	auto& latencies = seen.first_byte_by_model["m"];
	latencies = of_old_version(300, 100);
	record_each(
		latencies.new_version, 100, [](unsigned i) { return (0.5 + 0.002 * i) * (i % 3 == 0 ? 5 : 1); });
	CHECK_FALSE(is_bad(seen));
}

TEST_CASE("too few responses of the old version are no basis for a comparison", "[version-verdict]")
{
	version_evidence seen;
	auto& latencies = seen.first_byte_by_model["m"];
	latencies = of_old_version(10, 0);
	record_each(latencies.new_version, 100, [](unsigned) { return 20; });
	CHECK_FALSE(is_bad(seen));
}
