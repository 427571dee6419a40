// SPDX-License-Identifier: MIT
// Moves a service's traffic from one software version to another: when a plan begins, when its new version is
// promoted, completed or rolled back, and which VM writes this.
#include <algorithm>
#include <gingerdyke/rollout/version_shift.hpp>

namespace gingerdyke::rollout
{
bool version_shift::has_new_order(const service_state& state)
{
	return state.order && (!state.plan || state.plan->order < state.order->order);
}

bool version_shift::may_declare_completed(const service_state& state, instant now) const
{
	const auto trial_start = time_at(*state.plan, tuning_.schedule.trial_starts_at);
	if (state.followed_since < trial_start)
	{
		return true;
	}
	return now - state.followed_since >= tuning_.late_follower_wait &&
		   state.total.new_version_responses() >= tuning_.late_follower_min_responses;
}

instant version_shift::completion_time(const shift_plan& plan) const
{
	return time_at(plan, schedule_of(plan).completes_at(promoted_fraction(plan)));
}

/// Only a VM that reads the registry knows enough of the other VMs' evidence.
bool version_shift::may_be_promoted(const service_state& state, instant now) const
{
	const auto& plan = *state.plan;
	return !plan.promoted && !state.suspended && reads_registry_ && state.proof.is_noninferior &&
		   elapsed_fraction(plan, now) >= schedule_of(plan).trial_ends_at();
}

/// When a version on trial that is not shown to be good is rolled back: at the end of the shift, or later if
/// this VM missed a part of the trial.
instant version_shift::rollback_time(const service_state& state) const
{
	const auto& plan = *state.plan;
	const auto regular_end = time_at(plan, schedule_of(plan).completes_at());
	if (state.followed_since < time_at(plan, tuning_.schedule.trial_starts_at))
	{
		return regular_end;
	}
	const auto grace_period_end =
		state.followed_since + scaled(plan.length, tuning_.late_follower_grace_period);
	return std::clamp(grace_period_end, regular_end, time_at(plan, tuning_.max_trial_length));
}

/// When the new version is suspended unless it is shown to be good before; none: there is no deadline.
std::optional<instant> version_shift::proof_deadline_time(const service_state& state) const
{
	if (!reads_registry_ || state.suspended || state.proof.is_noninferior)
	{
		return std::nullopt;
	}
	std::optional<instant> at;
	if (state.proof_deadline_start)
	{
		at = *state.proof_deadline_start + tuning_.proof_deadline;
	}
	if (!state.plan->promoted)
	{
		const auto end = rollback_time(state);
		at = std::min(at.value_or(end), end);
	}
	return at;
}

/// A version with too little evidence must not stay on trial forever, where it would neither serve nor be
/// replaced. Completing it could give all traffic to a bad version, so it is rolled back; without bad
/// responses only while replicas of another version are left to serve.
void version_shift::suspend_if_unproven(service_state& state, instant now)
{
	if (!is_running(state) || !clock_offset_)
	{
		return;
	}
	const auto at = proof_deadline_time(state);
	const bool has_bad_responses = state.proof_deadline_start.has_value();
	const bool may_wait = !has_registry_contact(now) || count_old_replicas(state) == 0;
	if (!at || now < *at || (!has_bad_responses && may_wait))
	{
		return;
	}
	state.verdict.reason = verdict_reason::unproven;
	suspend(state, false);
}

std::optional<shift_plan> version_shift::first_plan(const service_state& state) const
{
	const bool has_two_versions = state.stable_version != state.order->to_version;
	if (!clock_offset_ || state.stable_version.empty() || !has_two_versions)
	{
		return std::nullopt;
	}
	shift_plan plan;
	plan.from_version = state.stable_version;
	plan.to_version = state.order->to_version;
	// The length of the shift counts from the order, so it includes the time until the plan is written.
	plan.started = registry_now(state.order_received_at);
	plan.length = state.order->length;
	plan.order = state.order->order;
	plan.row = std::max(state.plan ? state.plan->row : row_version{0}, state.replaced_row);
	return plan;
}

std::optional<shift_plan> version_shift::next_plan(const service_state& state, instant now) const
{
	if (has_new_order(state))
	{
		return first_plan(state);
	}
	if (state.is_rewrite_due)
	{
		return state.plan;
	}
	if (!is_running(state))
	{
		return std::nullopt;
	}
	auto plan = *state.plan;
	if (state.suspended)
	{
		plan.state = shift_state::rolled_back;
		return plan;
	}
	if (!has_registry_contact(now))
	{
		return std::nullopt;
	}
	if (may_be_promoted(state, now))
	{
		plan.promoted = registry_now(now);
		return plan;
	}
	const bool is_completion_due = plan.promoted && now >= completion_time(plan);
	if (is_completion_due && may_declare_completed(state, now))
	{
		plan.state = shift_state::completed;
		return plan;
	}
	return std::nullopt;
}

std::optional<instant> version_shift::next_action_time(const service_state& state, instant now) const
{
	if (has_new_order(state))
	{
		return now + random_delay();
	}
	if (state.is_rewrite_due)
	{
		return now + random_delay();
	}
	if (!is_running(state))
	{
		return std::nullopt;
	}
	if (state.suspended)
	{
		return now + random_delay();
	}
	const auto& plan = *state.plan;
	const auto next_transition =
		plan.promoted ? completion_time(plan) : time_at(plan, schedule_of(plan).trial_ends_at());
	const bool is_waiting_for_proof = !plan.promoted && !state.proof.is_noninferior;
	std::optional<instant> at = proof_deadline_time(state);
	if (!is_waiting_for_proof || now < next_transition)
	{
		at = std::min(at.value_or(next_transition), next_transition);
	}
	return at ? std::optional{std::max(*at, now) + random_delay()} : std::nullopt;
}

void version_shift::schedule(service_state& state, instant now)
{
	state.next_action_at = next_action_time(state, now);
}

/// Keeps an earlier time that is already set: if each response set it anew, it would never be reached.
void version_shift::reschedule_if_sooner(service_state& state, instant now)
{
	const auto at = next_action_time(state, now);
	if (at && (!state.next_action_at || *at < *state.next_action_at))
	{
		state.next_action_at = at;
	}
}

duration version_shift::random_delay() const
{
	const auto jitter = reads_registry_ ? tuning_.action_jitter : tuning_.non_reader_delay;
	const auto min_delay = reads_registry_ ? duration{0} : tuning_.non_reader_delay;
	return min_delay + scaled(jitter, random_unit(random_));
}
} // namespace gingerdyke::rollout
