// SPDX-License-Identifier: MIT
// Moves a service's traffic from one software version to another: what this VM and others see of the new
// version, and the verdict on it.
#include <algorithm>
#include <gingerdyke/rollout/sequential_test.hpp>
#include <gingerdyke/rollout/version_shift.hpp>
#include <utility>

namespace gingerdyke::rollout
{
namespace
{
/// Group in which an answer's failures count, and the one in which its slowness does.
std::string failure_group(const answer_sample& answer)
{
	return "route " + answer.route;
}

std::string slowness_group(const answer_sample& answer)
{
	return answer.model.empty() ? "time " + answer.route : "model " + answer.model;
}

shift_counts operator+(const shift_counts& a, const shift_counts& b)
{
	return {a.answers + b.answers, a.failed + b.failed, a.slow + b.slow};
}

std::uint64_t answers_in(const group_counts& groups)
{
	std::uint64_t sum = 0;
	for (const auto& [group, counts] : groups)
	{
		sum += counts.answers;
	}
	return sum;
}

void add(const group_counts& more, group_counts& to)
{
	for (const auto& [group, counts] : more)
	{
		to[group] = to[group] + counts;
	}
}

std::uint64_t bad_in(const group_counts& groups)
{
	std::uint64_t sum = 0;
	for (const auto& [group, counts] : groups)
	{
		sum += counts.failed + counts.slow;
	}
	return sum;
}
} // namespace

void version_shift::on_evidence(const std::string& reporter, const shift_evidence& evidence, instant now)
{
	auto& state = services_[evidence.service];
	if (keep_evidence(state, reporter, evidence))
	{
		judge(state, now);
	}
}

void version_shift::on_relayed_evidence(
	const std::string& reporter, const shift_evidence& evidence, instant now)
{
	auto& state = services_[evidence.service];
	if (keep_evidence(state, reporter, evidence))
	{
		state.relayed.insert(reporter);
		state.unwritten.insert(reporter);
		judge(state, now);
	}
}

/// \returns Whether it tells more than what is known of that VM: its ways here may overtake one another.
bool version_shift::keep_evidence(
	service_state& state, const std::string& reporter, const shift_evidence& evidence)
{
	if (!state.plan || state.plan->order != evidence.order)
	{
		return false;
	}
	auto& known = state.others[reporter];
	if (answers_in(evidence.by_group) <= answers_in(known))
	{
		return false;
	}
	known = evidence.by_group;
	return true;
}

void version_shift::on_suspension(const shift_suspension& suspension, instant now)
{
	const auto found = services_.find(suspension.service);
	if (found == services_.end())
	{
		return;
	}
	auto& state = found->second;
	const bool concerns_plan = state.plan && state.plan->order == suspension.order &&
							   state.plan->state == shift_state::running && !state.suspended;
	if (concerns_plan)
	{
		suspend(state);
		state.act_at = now + random_delay();
	}
}

std::vector<shift_evidence> version_shift::own_evidence() const
{
	std::vector<shift_evidence> all;
	for (const auto& [service, state] : services_)
	{
		if (state.plan && state.plan->state == shift_state::running && !state.own.empty())
		{
			all.push_back({service, state.plan->order, state.own});
		}
	}
	return all;
}

std::vector<shift_suspension> version_shift::suspensions() const
{
	std::vector<shift_suspension> all;
	for (const auto& [service, state] : services_)
	{
		if (state.plan && state.plan->state == shift_state::running && state.suspended)
		{
			all.push_back({service, state.plan->order});
		}
	}
	return all;
}

void version_shift::note_answer(
	const service_id& service, const std::string& version, const answer_sample& answer, instant now)
{
	const auto found = services_.find(service);
	if (found == services_.end())
	{
		return;
	}
	auto& state = found->second;
	const bool is_new =
		state.plan && state.plan->state == shift_state::running && version == state.plan->to_version;
	if (!is_new)
	{
		note_base(state, answer);
		return;
	}
	const bool slow = is_slow(state, answer);
	auto& failures = state.own[failure_group(answer)];
	++failures.answers;
	failures.failed += answer.failed ? 1 : 0;
	auto& slowness = state.own[slowness_group(answer)];
	++slowness.answers;
	slowness.slow += slow ? 1 : 0;
	state.unwritten.insert(std::string{});
	if (answer.failed || slow)
	{
		judge(state, now);
	}
}

void version_shift::note_base(service_state& state, const answer_sample& answer)
{
	auto& failures = state.base[failure_group(answer)].counts;
	++failures.answers;
	failures.failed += answer.failed ? 1 : 0;
	if (failures.answers >= tuning_.base_memory)
	{
		failures = {failures.answers / 2, failures.failed / 2, 0};
	}
	auto& slowness = state.base[slowness_group(answer)];
	++slowness.counts.answers;
	if (slowness.slow_above <= 0)
	{
		slowness.slow_above = answer.relative_time;
		return;
	}
	// Steps up and down balance where the wanted share lies below.
	const auto up = tuning_.quantile_step * tuning_.slow_quantile;
	const auto down = tuning_.quantile_step * (1 - tuning_.slow_quantile);
	slowness.slow_above *= answer.relative_time > slowness.slow_above ? 1 + up : 1 - down;
}

bool version_shift::is_slow(const service_state& state, const answer_sample& answer) const
{
	const auto base = state.base.find(slowness_group(answer));
	return base != state.base.end() && base->second.counts.answers >= tuning_.fewest_base &&
		   answer.relative_time > base->second.slow_above;
}

bool version_shift::has_evidence(const service_id& service) const
{
	const auto* state = find(service);
	return state != nullptr && evidence_grew(*state);
}

group_counts version_shift::evidence_to_write(const service_state& state) const
{
	auto sum = state.own;
	for (const auto& reporter : state.relayed)
	{
		const auto found = state.others.find(reporter);
		if (found != state.others.end())
		{
			add(found->second, sum);
		}
	}
	return sum;
}

bool version_shift::is_suspicious(const service_state& state, const group_counts& seen) const
{
	return std::any_of(seen.begin(), seen.end(),
		[&](const auto& one)
		{
			const auto& [group, counts] = one;
			const auto answers = static_cast<double>(counts.answers);
			return static_cast<double>(counts.failed) > answers * tolerated_failures(state, group) ||
				   static_cast<double>(counts.slow) > answers * tuning_.tolerated_slow;
		});
}

bool version_shift::evidence_grew(const service_state& state) const
{
	if (!reads_registry_ || !state.plan || state.plan->state != shift_state::running ||
		state.unwritten.empty())
	{
		return false;
	}
	const auto seen = evidence_to_write(state);
	const auto bad = bad_in(seen);
	const auto grown = static_cast<double>(state.written_bad) * tuning_.report_growth;
	return bad > state.written_bad && static_cast<double>(bad) >= grown && is_suspicious(state, seen);
}

std::vector<reported_evidence> version_shift::take_evidence(
	const service_id& service, service_state& state, instant now)
{
	std::vector<reported_evidence> taken;
	for (const auto& reporter : std::exchange(state.unwritten, {}))
	{
		const auto& groups = reporter.empty() ? state.own : state.others[reporter];
		taken.push_back({reporter, {service, state.plan->order, groups}});
	}
	state.written_bad = bad_in(evidence_to_write(state));
	state.written_at = now;
	return taken;
}

bool version_shift::looks_bad(const service_state& state) const
{
	auto seen = state.own;
	for (const auto& [reporter, by_group] : state.others)
	{
		add(by_group, seen);
	}
	return std::any_of(seen.begin(), seen.end(),
		[&](const auto& one) { return is_bad_group(state, one.first, one.second); });
}

/// Each answer counts in two groups, for its failure and for its slowness.
std::uint64_t version_shift::answers_known(const service_state& state) const
{
	auto counted = answers_in(state.own);
	for (const auto& [reporter, by_group] : state.others)
	{
		counted += answers_in(by_group);
	}
	constexpr std::uint64_t groups_of_an_answer = 2;
	return counted / groups_of_an_answer;
}

bool version_shift::is_bad_group(
	const service_state& state, const std::string& group, const shift_counts& seen) const
{
	if (seen.slow >= tuning_.fewest_slow &&
		log_evidence_against(seen.answers, seen.slow, tuning_.tolerated_slow) > tuning_.verdict)
	{
		return true;
	}
	return seen.failed >= tuning_.fewest_bad && log_evidence_against(seen.answers, seen.failed,
													tolerated_failures(state, group)) > tuning_.verdict;
}

double version_shift::tolerated_failures(const service_state& state, const std::string& group) const
{
	double base_rate = 0;
	const auto base = state.base.find(group);
	if (base != state.base.end() && base->second.counts.answers > 0)
	{
		const auto& counts = base->second.counts;
		base_rate = static_cast<double>(counts.failed) / static_cast<double>(counts.answers);
	}
	constexpr double highest_tolerated = 0.9;
	return std::min(highest_tolerated, tuning_.tolerated + tuning_.tolerated_multiple * base_rate);
}

void version_shift::judge(service_state& state, instant now)
{
	if (state.suspended || !state.plan || state.plan->state != shift_state::running || !looks_bad(state))
	{
		return;
	}
	suspend(state);
	state.act_at = reads_registry_ ? now : now + random_delay();
}

void version_shift::suspend(service_state& state)
{
	state.suspended = true;
	news_(*state.plan, true);
}
} // namespace gingerdyke::rollout
