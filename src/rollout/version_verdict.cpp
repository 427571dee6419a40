// SPDX-License-Identifier: MIT
// Decides whether a new version is worse than the old one, or shown to be as good.
#include <algorithm>
#include <boost/math/distributions/binomial.hpp>
#include <cmath>
#include <gingerdyke/rollout/sequential_test.hpp>
#include <gingerdyke/rollout/version_verdict.hpp>
#include <limits>

namespace gingerdyke::rollout
{
namespace
{
/// Range of tolerated ratios for which the statistical tests are valid.
constexpr double min_tolerated = 0.01;
constexpr double max_tolerated = 0.9;

/// The cells of each version's healthy replicas, selected by their failures on all routes together: a faulty
/// replica fails on all routes, and a single route has few responses.
struct healthy_version_cells
{
	explicit healthy_version_cells(const route_evidence& all)
		: of_old(healthy_cells(all.old_version)), of_new(healthy_cells(all.new_version))
	{
	}

	cell_set of_old;
	cell_set of_new;
};

/// The old version's failure ratio at its healthy replicas during the trial, or before the trial if there are
/// too few responses.
double healthy_old_failure_ratio(
	const route_evidence& seen, const healthy_version_cells& healthy, const verdict_tuning& tuning)
{
	const auto during_trial = seen.old_version.sum(healthy.of_old);
	return during_trial.responses >= tuning.latencies.min_old_responses ? during_trial.bad_ratio()
																		: seen.pre_trial.bad_ratio();
}

double overall_old_failure_ratio(const route_evidence& seen)
{
	auto all = seen.pre_trial;
	all += seen.old_version.sum();
	return all.bad_ratio();
}

/// \param judged Responses of the new version.
version_verdict judge_failures(
	const std::string& route, const response_counts& judged, double tolerated, const verdict_tuning& tuning)
{
	const auto bounded = std::clamp(tolerated, min_tolerated, max_tolerated);
	version_verdict verdict{verdict_reason::failures, route, judged.responses, judged.failed, bounded, 0};
	if (judged.failed >= tuning.min_failures)
	{
		verdict.evidence = log_evidence_against(judged.responses, judged.failed, bounded);
	}
	return verdict;
}

version_verdict judge_route(const std::string& route, const route_evidence& seen,
	const healthy_version_cells& healthy, const verdict_tuning& tuning)
{
	const auto old_ratio = healthy_old_failure_ratio(seen, healthy, tuning);
	const auto tolerated = tuning.tolerated_failures + tuning.tolerated_factor * old_ratio;
	return judge_failures(route, seen.new_version.sum(healthy.of_new), tolerated, tuning);
}

/// The failure ratio that the replicas of the peak-load phase had before it, weighted by their number of
/// responses in it: some replicas are faulty from the start.
double failure_ratio_before_peak_load(const version_evidence& seen, const route_evidence& all)
{
	// Smoothing for groups with few responses: the overall ratio counts as this many responses.
	constexpr double smoothing_responses = 2;
	auto before = all.new_version;
	before -= seen.peak_load_phase.new_version;
	const auto overall_ratio = before.sum().bad_ratio();
	double expected = 0;
	double responses = 0;
	for (const auto& [cell, counts] : seen.peak_load_phase.new_version)
	{
		const auto* found = before.find(cell);
		const auto group_counts = found == nullptr ? response_counts{} : *found;
		const auto smoothed_ratio =
			(static_cast<double>(group_counts.failed) + smoothing_responses * overall_ratio) /
			(static_cast<double>(group_counts.responses) + smoothing_responses);
		expected += smoothed_ratio * static_cast<double>(counts.responses);
		responses += static_cast<double>(counts.responses);
	}
	return responses > 0 ? expected / responses : overall_ratio;
}

version_verdict judge_peak_load(const version_evidence& seen, const route_evidence& all,
	const healthy_version_cells& healthy, const verdict_tuning& tuning)
{
	const auto reference_ratio = std::max(healthy_old_failure_ratio(seen.peak_load_phase, healthy, tuning),
		failure_ratio_before_peak_load(seen, all));
	const auto tolerated = tuning.tolerated_peak_load + tuning.tolerated_factor * reference_ratio;
	return judge_failures({}, seen.peak_load_phase.new_version.sum(), tolerated, tuning);
}

version_verdict judge_overall(const route_evidence& all, const verdict_tuning& tuning)
{
	const auto compared =
		tuning.tolerated_failures + tuning.tolerated_factor * overall_old_failure_ratio(all);
	const auto tolerated = std::max(tuning.tolerated_overall, compared);
	return judge_failures({}, all.new_version.sum(), tolerated, tuning);
}

/// Slow responses of one model, and how many of them are tolerated.
struct slow_counts
{
	double responses{};
	double slow{};
	double tolerated{};
};

slow_counts count_slow_and_tolerated(const latency_comparison& latencies, const verdict_tuning& tuning)
{
	const auto responses = static_cast<double>(latencies.new_version.size());
	// A burst during the trial slows both versions, so the limit is the old version's fraction of fast
	// responses in the same period.
	const auto fast_fraction = latencies.old_version.fraction_within(latencies.fast_limit_latency);
	const auto slow = responses * (1 - latencies.new_version.fraction_within(latencies.fast_limit_latency));
	return {responses, slow, responses * (1 - tuning.tolerated_fast * fast_fraction)};
}

version_verdict judge_slow(const std::string& model, const slow_counts& counts, const verdict_tuning& tuning)
{
	const auto responses = static_cast<std::uint64_t>(counts.responses);
	const auto slow = static_cast<std::uint64_t>(std::lround(counts.slow));
	const auto tolerated_ratio = counts.responses <= 0 ? max_tolerated : counts.tolerated / counts.responses;
	const auto tolerated = std::clamp(tolerated_ratio, min_tolerated, max_tolerated);
	version_verdict verdict{verdict_reason::latency, model, responses, slow, tolerated, 0};
	if (slow >= tuning.min_slow_responses)
	{
		verdict.evidence = log_evidence_against(responses, slow, tolerated);
	}
	return verdict;
}

/// Verdicts on the latencies of each model, and of all models together.
std::vector<version_verdict> judge_latencies(
	const std::vector<latency_comparison>& latencies, const verdict_tuning& tuning)
{
	std::vector<version_verdict> verdicts;
	slow_counts all;
	for (const auto& comparison : latencies)
	{
		const auto counts = count_slow_and_tolerated(comparison, tuning);
		verdicts.push_back(judge_slow(comparison.model, counts, tuning));
		all.responses += counts.responses;
		all.slow += counts.slow;
		all.tolerated += counts.tolerated;
	}
	verdicts.push_back(judge_slow({}, all, tuning));
	return verdicts;
}

/// Probability of at most this many failures at the tolerated failure ratio.
double probability_of_so_few(const response_counts& judged, double tolerated)
{
	if (judged.responses == 0)
	{
		return 1;
	}
	const boost::math::binomial_distribution<double> failures{
		static_cast<double>(judged.responses), tolerated};
	return boost::math::cdf(failures, static_cast<double>(judged.failed));
}

/// Result of the failure test on a subset of the responses, evaluated on all replicas and on the healthy
/// ones; the stronger result counts. With few responses, the half that comes from healthy replicas is not
/// enough.
struct failure_proof
{
	response_counts judged;
	double tolerated{};
	double risk{1};
};

/// Upper bound of the failure ratio of a version that is as good as the old one.
double good_failure_ratio_bound(
	const route_evidence& seen, const healthy_version_cells& healthy, const verdict_tuning& tuning)
{
	return std::min(tuning.max_failure_ratio,
		healthy_old_failure_ratio(seen, healthy, tuning) + tuning.noninferiority_margin);
}

failure_proof prove_failures(
	const route_evidence& seen, const healthy_version_cells& healthy, const verdict_tuning& tuning)
{
	failure_proof proof;
	proof.tolerated = good_failure_ratio_bound(seen, healthy, tuning);
	for (const auto& judged : {seen.new_version.sum(), seen.new_version.sum(healthy.of_new)})
	{
		const auto risk = probability_of_so_few(judged, proof.tolerated);
		if (risk < proof.risk)
		{
			proof.risk = risk;
			proof.judged = judged;
		}
	}
	return proof;
}

/// Whether the failures on a route or in the peak-load phase are as frequent as those of a bad version. A
/// route may have too few responses to show that the version is good; that is left to the test on all
/// responses.
bool is_doubtful(
	const route_evidence& seen, const healthy_version_cells& healthy, const verdict_tuning& tuning)
{
	const auto judged = seen.new_version.sum(healthy.of_new);
	const auto tolerated = good_failure_ratio_bound(seen, healthy, tuning);
	return judged.failed >= tuning.min_doubtful_failures &&
		   judged.bad_ratio() >= tuning.doubtful_ratio * tolerated;
}

bool has_doubtful_subset(
	const version_evidence& seen, const healthy_version_cells& healthy, const verdict_tuning& tuning)
{
	const auto is_doubtful_route = [&](const auto& entry)
	{ return is_doubtful(entry.second, healthy, tuning); };
	return is_doubtful(seen.peak_load_phase, healthy, tuning) ||
		   std::any_of(seen.by_route.begin(), seen.by_route.end(), is_doubtful_route);
}

double log_evidence_of_speed(const std::vector<latency_comparison>& latencies)
{
	return std::max(log_evidence_as_fast(latencies, true), log_evidence_as_fast(latencies, false));
}

/// Probability that a version which slows the tolerated part of its responses has so few slow ones: at all
/// its replicas or at the healthy ones, whichever is lower.
double probability_if_partly_slow(
	const std::vector<latency_comparison>& latencies, const verdict_tuning& tuning)
{
	double risk = 1;
	for (const auto version : {&latency_comparison::all_new, &latency_comparison::new_version})
	{
		response_counts judged;
		double tolerated = 0;
		for (const auto& comparison : latencies)
		{
			const auto& seen = comparison.*version;
			const auto responses = static_cast<double>(seen.size());
			const auto limit = comparison.fast_limit_latency * tuning.slowed_factor;
			const auto slow = responses * (1 - seen.fraction_within(limit));
			judged += {seen.size(), static_cast<std::uint64_t>(std::lround(slow))};
			const auto old_ratio = comparison.old_version.fraction_within(limit);
			tolerated += responses * (1 - (1 - tuning.max_slowed_ratio) * old_ratio);
		}
		const auto tolerated_ratio = tolerated / std::max(1.0, static_cast<double>(judged.responses));
		risk = std::min(risk, probability_of_so_few(judged, std::min(tolerated_ratio, max_tolerated)));
	}
	return risk;
}

/// Number of responses so slow that a version as fast as the old one would rarely give them. Event intervals
/// are compared with those of idle engines, since those of an overloaded old version hide that the new
/// version is slow.
std::uint64_t count_slow(
	const std::vector<latency_comparison>& latencies, bool are_event_intervals, const latency_tuning& tuning)
{
	double slow = 0;
	for (const auto& comparison : latencies)
	{
		const auto limit = are_event_intervals ? std::min(comparison.fast_limit_latency,
													 comparison.fastest_latency * tuning.fastest_factor)
											   : comparison.fast_limit_latency;
		slow +=
			static_cast<double>(comparison.all_new.size()) * (1 - comparison.all_new.fraction_within(limit));
	}
	return static_cast<std::uint64_t>(std::lround(slow));
}

/// The compared observations that both decisions use.
struct compared_evidence
{
	compared_evidence(const version_evidence& observations, const verdict_tuning& tuning)
		: seen(observations), all_routes(observations.all_routes()), healthy(all_routes),
		  latencies(compare_latencies(observations.first_byte_by_model, tuning.latencies)),
		  event_intervals(compare_latencies(observations.event_intervals_by_model, tuning.latencies))
	{
	}

	const version_evidence& seen;
	route_evidence all_routes;
	healthy_version_cells healthy;
	std::vector<latency_comparison> latencies;
	std::vector<latency_comparison> event_intervals;
};

version_verdict judge_compared(const compared_evidence& compared, const verdict_tuning& tuning)
{
	const auto& [seen, all_routes, healthy, latencies, event_intervals] = compared;
	version_verdict worst;
	worst.evidence = -std::numeric_limits<double>::infinity();
	const auto consider = [&worst](const version_verdict& candidate)
	{
		if (candidate.evidence > worst.evidence)
		{
			worst = candidate;
		}
	};
	for (const auto& [route, evidence] : seen.by_route)
	{
		consider(judge_route(route, evidence, healthy, tuning));
	}
	consider(judge_peak_load(seen, all_routes, healthy, tuning));
	consider(judge_overall(all_routes, tuning));
	for (const auto* compared_latencies : {&latencies, &event_intervals})
	{
		for (const auto& verdict : judge_latencies(*compared_latencies, tuning))
		{
			consider(verdict);
		}
	}
	return worst;
}

version_proof prove_compared(const compared_evidence& compared, const verdict_tuning& tuning)
{
	const auto& [seen, all_routes, healthy, latencies, event_intervals] = compared;
	version_proof proof;
	const auto failures = prove_failures(all_routes, healthy, tuning);
	proof.judged = failures.judged;
	proof.tolerated = failures.tolerated;
	proof.failure_risk = failures.risk;
	proof.has_doubtful_subset = has_doubtful_subset(seen, healthy, tuning);
	proof.fast_evidence = log_evidence_of_speed(latencies);
	if (!event_intervals.empty())
	{
		proof.fast_evidence = std::min(proof.fast_evidence, log_evidence_of_speed(event_intervals));
		proof.slow_risk = probability_if_slow(event_intervals, tuning.latencies);
	}
	else
	{
		proof.slow_risk = probability_if_partly_slow(latencies, tuning);
	}
	proof.bad_responses = std::max({all_routes.new_version.sum().failed,
		count_slow(latencies, false, tuning.latencies), count_slow(event_intervals, true, tuning.latencies)});
	const bool is_fast = proof.fast_evidence >= -std::log(tuning.max_error_probability) &&
						 proof.slow_risk <= tuning.max_error_probability;
	proof.is_noninferior =
		proof.failure_risk <= tuning.max_error_probability && !proof.has_doubtful_subset && is_fast;
	return proof;
}
} // namespace

const char* name_of(verdict_reason reason) noexcept
{
	switch (reason)
	{
	case verdict_reason::none:
		return "none";
	case verdict_reason::failures:
		return "failures";
	case verdict_reason::latency:
		return "times";
	case verdict_reason::unproven:
		return "unproven";
	}
	return "unknown";
}

version_verdict judge(const version_evidence& seen, const verdict_tuning& tuning)
{
	return judge_compared(compared_evidence{seen, tuning}, tuning);
}

version_proof prove(const version_evidence& seen, const verdict_tuning& tuning)
{
	return prove_compared(compared_evidence{seen, tuning}, tuning);
}

version_assessment assess(const version_evidence& seen, const verdict_tuning& tuning)
{
	const compared_evidence compared{seen, tuning};
	return {judge_compared(compared, tuning), prove_compared(compared, tuning)};
}
} // namespace gingerdyke::rollout
