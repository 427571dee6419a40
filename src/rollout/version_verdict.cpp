// SPDX-License-Identifier: MIT
// Whether a new version is worse than the old one, or shown to be as good.
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
/// Bounds of a tolerated share that the tests can work with.
constexpr double least_tolerated = 0.01;
constexpr double most_tolerated = 0.9;

/// The better half of each version's replicas, by their failures on all routes together: a sick replica is
/// sick on each of them, and one route's answers are few.
struct sound_cells
{
	explicit sound_cells(const route_evidence& all)
		: of_old(better_half(all.old_version)), of_new(better_half(all.new_version))
	{
	}

	cell_set of_old;
	cell_set of_new;
};

/// The old version's share of failures at its better half, beside the new one; before it where that is not
/// known well enough.
double sound_old_share(const route_evidence& seen, const sound_cells& sound, const verdict_tuning& tuning)
{
	const auto beside = seen.old_version.sum(sound.of_old);
	return beside.answers >= tuning.times.fewest_old ? beside.share() : seen.before.share();
}

double overall_old_share(const route_evidence& seen)
{
	auto all = seen.before;
	all += seen.old_version.sum();
	return all.share();
}

/// \param judged Answers of the new version.
version_verdict judge_failures(
	const std::string& route, const answer_counts& judged, double tolerated, const verdict_tuning& tuning)
{
	const auto bounded = std::clamp(tolerated, least_tolerated, most_tolerated);
	version_verdict verdict{verdict_ground::failures, route, judged.answers, judged.failed, bounded, 0};
	if (judged.failed >= tuning.fewest_failed)
	{
		verdict.evidence = log_evidence_against(judged.answers, judged.failed, bounded);
	}
	return verdict;
}

version_verdict judge_route(const std::string& route, const route_evidence& seen, const sound_cells& sound,
	const verdict_tuning& tuning)
{
	const auto old_share = sound_old_share(seen, sound, tuning);
	const auto tolerated = tuning.tolerated_failures + tuning.tolerated_multiple * old_share;
	return judge_failures(route, seen.new_version.sum(sound.of_new), tolerated, tuning);
}

/// Share of failures that a trial's replicas showed before its last part, each by the answers that it gives
/// there: some are sick from the start.
double share_before_late(const version_evidence& seen, const route_evidence& all)
{
	// Of a group with few answers, those of all groups tell about as much as so many of its own.
	constexpr double common_answers = 2;
	auto before = all.new_version;
	before -= seen.late.new_version;
	const auto common = before.sum().share();
	double expected = 0;
	double answers = 0;
	for (const auto& [cell, counts] : seen.late.new_version)
	{
		const auto* known = before.find(cell);
		const auto own = known == nullptr ? answer_counts{} : *known;
		const auto share = (static_cast<double>(own.failed) + common_answers * common) /
						   (static_cast<double>(own.answers) + common_answers);
		expected += share * static_cast<double>(counts.answers);
		answers += static_cast<double>(counts.answers);
	}
	return answers > 0 ? expected / answers : common;
}

version_verdict judge_late(const version_evidence& seen, const route_evidence& all, const sound_cells& sound,
	const verdict_tuning& tuning)
{
	const auto usual = std::max(sound_old_share(seen.late, sound, tuning), share_before_late(seen, all));
	const auto tolerated = tuning.tolerated_late + tuning.tolerated_multiple * usual;
	return judge_failures({}, seen.late.new_version.sum(), tolerated, tuning);
}

version_verdict judge_overall(const route_evidence& all, const verdict_tuning& tuning)
{
	const auto compared = tuning.tolerated_failures + tuning.tolerated_multiple * overall_old_share(all);
	const auto tolerated = std::max(tuning.tolerated_overall, compared);
	return judge_failures({}, all.new_version.sum(), tolerated, tuning);
}

/// Slow answers of one model, and how many of them are tolerated.
struct slow_counts
{
	double answers{};
	double slow{};
	double tolerated{};
};

slow_counts slow_answers(const compared_times& times, const verdict_tuning& tuning)
{
	const auto answers = static_cast<double>(times.new_version.size());
	// A burst now slows both versions: no more is asked of the new one than of the old one beside it.
	const auto fast_share = times.old_version.share_within(times.fast_within);
	const auto slow = answers * (1 - times.new_version.share_within(times.fast_within));
	return {answers, slow, answers * (1 - tuning.tolerated_fast * fast_share)};
}

version_verdict judge_slow(const std::string& model, const slow_counts& counts, const verdict_tuning& tuning)
{
	const auto answers = static_cast<std::uint64_t>(counts.answers);
	const auto slow = static_cast<std::uint64_t>(std::lround(counts.slow));
	const auto share = counts.answers <= 0 ? most_tolerated : counts.tolerated / counts.answers;
	const auto tolerated = std::clamp(share, least_tolerated, most_tolerated);
	version_verdict verdict{verdict_ground::times, model, answers, slow, tolerated, 0};
	if (slow >= tuning.fewest_slow)
	{
		verdict.evidence = log_evidence_against(answers, slow, tolerated);
	}
	return verdict;
}

/// Each model's times, and all together.
std::vector<version_verdict> judge_times(
	const std::vector<compared_times>& times, const verdict_tuning& tuning)
{
	std::vector<version_verdict> verdicts;
	slow_counts all;
	for (const auto& one : times)
	{
		const auto counts = slow_answers(one, tuning);
		verdicts.push_back(judge_slow(one.model, counts, tuning));
		all.answers += counts.answers;
		all.slow += counts.slow;
		all.tolerated += counts.tolerated;
	}
	verdicts.push_back(judge_slow({}, all, tuning));
	return verdicts;
}

/// Probability of so few failures where the tolerated share fails.
double risk_of(const answer_counts& judged, double tolerated)
{
	if (judged.answers == 0)
	{
		return 1;
	}
	const boost::math::binomial_distribution<double> failures{static_cast<double>(judged.answers), tolerated};
	return boost::math::cdf(failures, static_cast<double>(judged.failed));
}

/// What failures show of a part of the answers: by all of its replicas or by the better half of them,
/// whichever shows more. Few answers are too few by half.
struct failure_proof
{
	answer_counts judged;
	double tolerated{};
	double risk{1};
};

/// The share of failures that a version which is as good as the old one stays below.
double most_of_good(const route_evidence& seen, const sound_cells& sound, const verdict_tuning& tuning)
{
	return std::min(tuning.most_failures, sound_old_share(seen, sound, tuning) + tuning.margin);
}

failure_proof prove_failures(
	const route_evidence& seen, const sound_cells& sound, const verdict_tuning& tuning)
{
	failure_proof proof;
	proof.tolerated = most_of_good(seen, sound, tuning);
	for (const auto& judged : {seen.new_version.sum(), seen.new_version.sum(sound.of_new)})
	{
		const auto risk = risk_of(judged, proof.tolerated);
		if (risk < proof.risk)
		{
			proof.risk = risk;
			proof.judged = judged;
		}
	}
	return proof;
}

/// A route, or the last part of the trial, that looks as bad as a bad version would there. Its answers may be
/// too few to show that it is good, which is left to all of them together.
bool is_doubtful(const route_evidence& seen, const sound_cells& sound, const verdict_tuning& tuning)
{
	const auto judged = seen.new_version.sum(sound.of_new);
	const auto tolerated = most_of_good(seen, sound, tuning);
	return judged.failed >= tuning.fewest_doubtful && judged.share() >= tuning.doubtful_part * tolerated;
}

bool has_doubtful_part(const version_evidence& seen, const sound_cells& sound, const verdict_tuning& tuning)
{
	const auto is_doubtful_route = [&](const auto& entry)
	{ return is_doubtful(entry.second, sound, tuning); };
	return is_doubtful(seen.late, sound, tuning) ||
		   std::any_of(seen.by_route.begin(), seen.by_route.end(), is_doubtful_route);
}

double evidence_as_fast(const std::vector<compared_times>& times)
{
	return std::max(log_evidence_as_fast(times, true), log_evidence_as_fast(times, false));
}

/// Answers that a version as fast as the old one would hardly give. Paces count against idle engines': those
/// of an overloaded old version hide that the new one's are slow.
std::uint64_t count_slow(const std::vector<compared_times>& times, bool are_paces, const time_tuning& tuning)
{
	double slow = 0;
	for (const auto& one : times)
	{
		const auto limit =
			are_paces ? std::min(one.fast_within, one.fastest * tuning.fastest_multiple) : one.fast_within;
		slow += static_cast<double>(one.all_new.size()) * (1 - one.all_new.share_within(limit));
	}
	return static_cast<std::uint64_t>(std::lround(slow));
}

/// What both decisions rest on.
struct compared_evidence
{
	compared_evidence(const version_evidence& of, const verdict_tuning& tuning)
		: seen(of), all_routes(of.all_routes()), sound(all_routes),
		  times(compare_times(of.by_model, tuning.times)), paces(compare_times(of.by_pace, tuning.times))
	{
	}

	const version_evidence& seen;
	route_evidence all_routes;
	sound_cells sound;
	std::vector<compared_times> times;
	std::vector<compared_times> paces;
};

version_verdict judge_compared(const compared_evidence& compared, const verdict_tuning& tuning)
{
	const auto& [seen, all_routes, sound, times, paces] = compared;
	version_verdict worst;
	worst.evidence = -std::numeric_limits<double>::infinity();
	const auto consider = [&worst](const version_verdict& one)
	{
		if (one.evidence > worst.evidence)
		{
			worst = one;
		}
	};
	for (const auto& [route, one] : seen.by_route)
	{
		consider(judge_route(route, one, sound, tuning));
	}
	consider(judge_late(seen, all_routes, sound, tuning));
	consider(judge_overall(all_routes, tuning));
	for (const auto* of_kind : {&times, &paces})
	{
		for (const auto& one : judge_times(*of_kind, tuning))
		{
			consider(one);
		}
	}
	return worst;
}

version_proof prove_compared(const compared_evidence& compared, const verdict_tuning& tuning)
{
	const auto& [seen, all_routes, sound, times, paces] = compared;
	version_proof proof;
	const auto failures = prove_failures(all_routes, sound, tuning);
	proof.judged = failures.judged;
	proof.tolerated = failures.tolerated;
	proof.failure_risk = failures.risk;
	proof.has_doubtful_part = has_doubtful_part(seen, sound, tuning);
	proof.fast_evidence = evidence_as_fast(times);
	if (!paces.empty())
	{
		proof.fast_evidence = std::min(proof.fast_evidence, evidence_as_fast(paces));
		proof.slow_risk = risk_of_slow_at_best(paces, tuning.times);
	}
	proof.bad = std::max({all_routes.new_version.sum().failed, count_slow(times, false, tuning.times),
		count_slow(paces, true, tuning.times)});
	const bool is_fast = proof.fast_evidence >= -std::log(tuning.risk) && proof.slow_risk <= tuning.risk;
	proof.is_shown = proof.failure_risk <= tuning.risk && !proof.has_doubtful_part && is_fast;
	return proof;
}
} // namespace

const char* name_of(verdict_ground ground) noexcept
{
	switch (ground)
	{
	case verdict_ground::none:
		return "none";
	case verdict_ground::failures:
		return "failures";
	case verdict_ground::times:
		return "times";
	case verdict_ground::unproven:
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
