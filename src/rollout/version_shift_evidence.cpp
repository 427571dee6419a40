// SPDX-License-Identifier: MIT
// Moves a service's traffic from one software version to another: what this VM and others see of the new
// version, and what is made of it. The verdict itself is in version_verdict.cpp.
#include <gingerdyke/rollout/version_shift.hpp>
#include <utility>

namespace gingerdyke::rollout
{
namespace
{
/// Where an answer's time counts: the model's speed is the engine's, the route's a plain service's.
const std::string& time_key(const answer_sample& answer)
{
	return answer.model.empty() ? answer.route : answer.model;
}

void add_outcome(const answer_sample& answer, answer_counts& to)
{
	++to.answers;
	to.failed += answer.failed ? 1 : 0;
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
	auto& before = state.others[reporter];
	if (evidence.seen.all_answers() <= before.all_answers())
	{
		return false;
	}
	state.known -= before;
	state.known += evidence.seen;
	before = evidence.seen;
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
		suspend(state, true);
		state.act_at = now + random_delay();
	}
}

std::vector<shift_evidence> version_shift::own_evidence() const
{
	std::vector<shift_evidence> all;
	for (const auto& [service, state] : services_)
	{
		if (state.plan && state.plan->state == shift_state::running && state.own.all_answers() > 0)
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
	if (!state.plan || state.plan->state != shift_state::running)
	{
		return;
	}
	const bool is_new = version == state.plan->to_version;
	note_seen(state, is_new, answer, now);
	if (is_new)
	{
		state.unwritten.insert(std::string{});
		judge(state, now);
	}
}

/// Times are compared during the trial only, and not at its peak: else the engines of the two versions bear
/// unlike loads.
void version_shift::note_seen(
	service_state& state, bool is_new, const answer_sample& answer, instant now) const
{
	const auto part = part_of(*state.plan, now);
	const auto schedule = schedule_of(*state.plan);
	const bool at_peak = is_at_peak(state, now);
	for (auto* to : {&state.own, &state.known})
	{
		if (!answer.silent)
		{
			auto& outcomes = at_peak ? to->at_peak : to->by_route[answer.route];
			add_outcome(answer,
				is_new ? outcomes.new_version[answer.replica_group % replica_groups] : outcomes.old_version);
		}
		auto& times = to->by_model[time_key(answer)];
		if (part < schedule.trial_at())
		{
			if (!is_new)
			{
				times.before.note(answer.relative_time);
			}
			continue;
		}
		if (part < schedule.trial_ends_at() && !at_peak)
		{
			(is_new ? times.new_version : times.old_version).note(answer.relative_time);
		}
	}
}

bool version_shift::has_evidence(const service_id& service) const
{
	const auto* state = find(service);
	return state != nullptr && evidence_grew(*state);
}

version_evidence version_shift::evidence_to_write(const service_state& state) const
{
	auto sum = state.own;
	for (const auto& reporter : state.relayed)
	{
		const auto found = state.others.find(reporter);
		if (found != state.others.end())
		{
			sum += found->second;
		}
	}
	return sum;
}

/// The bad answers in what this VM would write, where more is bad than tolerated; else 0.
std::uint64_t version_shift::suspicious_answers(const service_state& state) const
{
	auto tuning = tuning_.verdict;
	tuning.fewest_failed = tuning_.fewest_reported;
	tuning.fewest_slow = tuning_.fewest_reported;
	const auto verdict = rollout::judge(evidence_to_write(state), tuning);
	return verdict.evidence > 0 ? verdict.bad : 0;
}

bool version_shift::evidence_grew(const service_state& state) const
{
	if (!reads_registry_ || !state.plan || state.plan->state != shift_state::running ||
		state.unwritten.empty())
	{
		return false;
	}
	const auto bad = suspicious_answers(state);
	const auto grown = static_cast<double>(state.written_bad) * tuning_.report_growth;
	return bad > state.written_bad && static_cast<double>(bad) >= grown;
}

std::vector<reported_evidence> version_shift::take_evidence(
	const service_id& service, service_state& state, instant now)
{
	state.written_bad = suspicious_answers(state);
	state.written_at = now;
	std::vector<reported_evidence> taken;
	for (const auto& reporter : std::exchange(state.unwritten, {}))
	{
		const auto& seen = reporter.empty() ? state.own : state.others[reporter];
		taken.push_back({reporter, {service, state.plan->order, seen}});
	}
	return taken;
}

/// A VM that reads the registry knows what many VMs saw: with the trial over it looks once more, since the
/// version would get all traffic next. Others know too little for that; they would find chance.
void version_shift::judge(service_state& state, instant now)
{
	if (state.suspended || !state.plan || state.plan->state != shift_state::running)
	{
		return;
	}
	const auto verdict = rollout::judge(state.known, tuning_.verdict);
	const bool is_trial_over = part_of(*state.plan, now) >= schedule_of(*state.plan).trial_ends_at();
	const bool is_last_look = reads_registry_ && is_trial_over;
	const auto bound = is_last_look ? tuning_.verdict.doubtful : tuning_.verdict.conclusive;
	if (verdict.evidence <= bound)
	{
		return;
	}
	suspend(state, false);
	state.act_at = reads_registry_ ? now : now + random_delay();
}

void version_shift::suspend(service_state& state, bool told)
{
	state.suspended = true;
	news_({*state.plan, true, told, summary_of(state)});
}

shift_summary version_shift::summary_of(const service_state& state) const
{
	shift_summary summary;
	summary.old_version = state.known.all_old();
	summary.new_version = state.known.all_new();
	summary.verdict = rollout::judge(state.known, tuning_.verdict);
	summary.vms = state.others.size() + 1;
	return summary;
}
} // namespace gingerdyke::rollout
