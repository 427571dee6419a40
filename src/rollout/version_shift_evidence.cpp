// SPDX-License-Identifier: MIT
// Moves a service's traffic from one software version to another: what this VM and others see of the new
// version, and what is made of it. The verdict itself is in version_verdict.cpp.
#include <algorithm>
#include <gingerdyke/base/crypto.hpp>
#include <gingerdyke/rollout/version_shift.hpp>
#include <utility>

namespace gingerdyke::rollout
{
namespace
{
/// Gives replicas their groups independently of which of them are in use.
constexpr std::uint64_t group_salt = 0x67726f757073;

/// Where an answer's time counts: the model's speed is the engine's, the route's a plain service's.
const std::string& time_key(const answer_sample& answer)
{
	return answer.model.empty() ? answer.route : answer.model;
}

time_evidence& times_of(version_evidence& seen, const answer_sample& answer)
{
	auto& times = answer.kind == sample_kind::pace ? seen.by_pace : seen.by_model;
	return times[time_key(answer)];
}

void add_outcome(const answer_sample& answer, answer_counts& to)
{
	++to.answers;
	to.failed += answer.failed ? 1 : 0;
}

void note_outcome(route_evidence& to, bool is_new, cell_index cell, const answer_sample& answer)
{
	add_outcome(answer, (is_new ? to.new_version : to.old_version)[cell]);
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
		relay(state, reporter);
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
	if (evidence.seen.size() <= before.size())
	{
		return false;
	}
	state.known -= before;
	state.known += evidence.seen;
	if (state.relayed.contains(reporter))
	{
		state.to_write -= before;
		state.to_write += evidence.seen;
	}
	before = evidence.seen;
	return true;
}

/// From now on this VM writes what that one reports.
void version_shift::relay(service_state& state, const std::string& reporter)
{
	state.unwritten.insert(reporter);
	if (state.relayed.insert(reporter).second)
	{
		state.to_write += state.others[reporter];
	}
}

void version_shift::on_suspension(const shift_suspension& suspension, instant now)
{
	const auto found = services_.find(suspension.service);
	if (found == services_.end())
	{
		return;
	}
	auto& state = found->second;
	const bool concerns_plan = is_running(state) && state.plan->order == suspension.order && !state.suspended;
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
		if (is_running(state) && state.own.size() > 0)
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
		if (is_running(state) && state.suspended)
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
	if (!is_running(state))
	{
		if (version == state.stable_version)
		{
			note_usual(state, answer);
		}
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

void version_shift::note_usual(service_state& state, const answer_sample& answer)
{
	if (answer.kind == sample_kind::pace)
	{
		state.usual_paces[time_key(answer)].note(answer.relative_time);
	}
}

void version_shift::note_before(version_evidence& to, const answer_sample& answer)
{
	if (answer.kind == sample_kind::answer)
	{
		add_outcome(answer, to.by_route[answer.route].before);
	}
	times_of(to, answer).before.note(answer.relative_time);
}

bool version_shift::is_control(const service_state& state, std::uint64_t replica) const
{
	const auto count = static_cast<double>(std::max<std::size_t>(1, old_replicas(state)));
	return to_unit_interval(replica) < static_cast<double>(tuning_.control_replicas) / count;
}

/// Times are compared during the trial only, and not at its peak: else the engines of the two versions bear
/// unlike loads.
void version_shift::note_seen(
	service_state& state, bool is_new, const answer_sample& answer, instant now) const
{
	const auto schedule = schedule_of(*state.plan);
	const auto part = part_of(*state.plan, now);
	const auto sums = {&state.own, &state.known, &state.to_write};
	if (!is_new && part < schedule.trial_at())
	{
		for (auto* to : sums)
		{
			note_before(*to, answer);
		}
		return;
	}
	if (!is_new && !is_control(state, answer.replica))
	{
		return;
	}
	const bool at_peak = is_at_peak(state, now);
	const bool is_late = schedule.is_at_peak(part);
	const bool is_growing = state.plan->promoted && part >= schedule.trial_ends_at();
	const auto group = mix_hash(answer.replica, group_salt) % replica_groups;
	const auto cell = cell_of(group, random_below(random_, answer_halves));
	for (auto* to : sums)
	{
		if (answer.kind == sample_kind::answer)
		{
			note_outcome(to->by_route[answer.route], is_new, cell, answer);
			if (is_late)
			{
				note_outcome(to->late, is_new, cell, answer);
			}
		}
		if (!is_growing && !at_peak)
		{
			auto& times = times_of(*to, answer);
			(is_new ? times.new_version : times.old_version)[cell].note(answer.relative_time);
		}
	}
}

bool version_shift::has_evidence(const service_id& service) const
{
	const auto* state = find(service);
	return state != nullptr && evidence_due_at(*state).has_value();
}

/// Evidence is written as its bad answers grow, and at the end of a trial where the answers known here don't
/// show that the version is good: those known elsewhere may, together with these.
std::optional<instant> version_shift::evidence_due_at(const service_state& state) const
{
	if (!reads_registry_ || !is_running(state) || state.unwritten.empty())
	{
		return std::nullopt;
	}
	const auto grown = static_cast<double>(state.written_bad) * tuning_.report_growth;
	if (state.suspicious > state.written_bad && static_cast<double>(state.suspicious) >= grown)
	{
		return state.written_at + tuning_.report_pause;
	}
	if (state.plan->promoted || state.suspended || state.proof.is_shown)
	{
		return std::nullopt;
	}
	const auto closing_at =
		moment_of(*state.plan, schedule_of(*state.plan).trial_ends_at()) - tuning_.closing;
	return std::max(closing_at, state.written_at + tuning_.closing_pause);
}

std::vector<reported_evidence> version_shift::take_evidence(
	const service_id& service, service_state& state, instant now)
{
	state.written_bad = state.suspicious;
	state.written_at = now;
	std::vector<reported_evidence> taken;
	while (!state.unwritten.empty() && taken.size() < tuning_.most_reported)
	{
		const auto reporter = state.unwritten.extract(state.unwritten.begin()).value();
		const auto& seen = reporter.empty() ? state.own : state.others[reporter];
		taken.push_back({reporter, {service, state.plan->order, seen}});
	}
	return taken;
}

/// Makes of the known answers what is asked for later.
void version_shift::weigh(service_state& state) const
{
	if (!reads_registry_)
	{
		state.verdict = rollout::judge(state.known, tuning_.verdict);
		return;
	}
	auto assessed = assess(state.known, tuning_.verdict);
	state.verdict = std::move(assessed.verdict);
	state.proof = assessed.proof;
	auto reported = tuning_.verdict;
	reported.fewest_failed = tuning_.fewest_reported;
	reported.fewest_slow = tuning_.fewest_reported;
	const auto to_write = rollout::judge(state.to_write, reported);
	state.suspicious = to_write.evidence > 0 ? to_write.bad : 0;
}

/// A VM that reads the registry knows what many VMs saw: with the trial over it looks once more, since the
/// version would get all traffic next. Others know too little for that; they would find chance.
void version_shift::judge(service_state& state, instant now)
{
	if (state.suspended || !is_running(state))
	{
		return;
	}
	weigh(state);
	const bool is_trial_over = part_of(*state.plan, now) >= schedule_of(*state.plan).trial_ends_at();
	const bool is_last_look = reads_registry_ && is_trial_over;
	const auto bound = is_last_look ? tuning_.verdict.doubtful : tuning_.verdict.conclusive;
	if (state.verdict.evidence > bound)
	{
		suspend(state, false);
		state.act_at = reads_registry_ ? now : now + random_delay();
		return;
	}
	if (!state.bad_since && state.proof.bad >= tuning_.patience_bad)
	{
		state.bad_since = now;
	}
	schedule_sooner(state, now);
}

void version_shift::suspend(service_state& state, bool told)
{
	state.suspended = true;
	news_({*state.plan, true, told, summary_of(state)});
}

shift_summary version_shift::summary_of(const service_state& state) const
{
	const auto all = state.known.all_routes();
	shift_summary summary;
	summary.old_version = all.old_version.sum();
	summary.new_version = all.new_version.sum();
	summary.verdict = state.verdict;
	summary.proof = state.proof;
	summary.vms = state.others.size() + 1;
	return summary;
}
} // namespace gingerdyke::rollout
