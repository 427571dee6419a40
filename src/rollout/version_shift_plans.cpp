// SPDX-License-Identifier: MIT
// Moves a service's traffic from one software version to another: when a plan begins, when its new version is
// promoted, completed or given back, and which VM says so.
#include <algorithm>
#include <gingerdyke/rollout/version_shift.hpp>

namespace gingerdyke::rollout
{
bool version_shift::has_new_order(const service_state& state)
{
	return state.order && (!state.plan || state.plan->order < state.order->order);
}

bool version_shift::knows_verdict(const service_state& state, instant now) const
{
	const auto first_use = moment_of(*state.plan, tuning_.schedule.trial_at);
	if (state.followed_since < first_use)
	{
		return true;
	}
	return now - state.followed_since >= tuning_.late_wait &&
		   state.known.new_answers() >= tuning_.late_answers;
}

instant version_shift::completed_at(const shift_plan& plan) const
{
	return moment_of(plan, schedule_of(plan).complete_at(promoted_part(plan)));
}

/// Only a VM that reads the registry knows enough of what others saw.
bool version_shift::is_promotable(const service_state& state, instant now) const
{
	const auto& plan = *state.plan;
	return !plan.promoted && !state.suspended && reads_registry_ && state.proof.is_shown &&
		   part_of(plan, now) >= schedule_of(plan).trial_ends_at();
}

/// When a version on trial that is not shown to be good is given back: in the order's time, or later where
/// this VM missed a part of the trial.
instant version_shift::give_back_at(const service_state& state) const
{
	const auto& plan = *state.plan;
	const auto in_time = moment_of(plan, schedule_of(plan).complete_at());
	if (state.followed_since < moment_of(plan, tuning_.schedule.trial_at))
	{
		return in_time;
	}
	const auto held = state.followed_since + scaled(plan.length, tuning_.late_hold);
	return std::clamp(held, in_time, moment_of(plan, tuning_.longest_hold));
}

/// When the new version is suspended unless it is shown to be good until then; none: nothing asks for it.
std::optional<instant> version_shift::unproven_at(const service_state& state) const
{
	if (!reads_registry_ || state.suspended || state.proof.is_shown)
	{
		return std::nullopt;
	}
	std::optional<instant> at;
	if (state.bad_since)
	{
		at = *state.bad_since + tuning_.patience;
	}
	if (!state.plan->promoted)
	{
		const auto end = give_back_at(state);
		at = std::min(at.value_or(end), end);
	}
	return at;
}

/// Held for ever, a version of which too little is seen would neither serve nor be replaced; completed, a bad
/// one would get everything.
void version_shift::give_back_unproven(service_state& state, instant now)
{
	if (!is_running(state) || !clock_offset_)
	{
		return;
	}
	const auto at = unproven_at(state);
	const bool has_bad_answers = state.bad_since.has_value();
	if (!at || now < *at || (!has_bad_answers && !has_fresh_news(now)))
	{
		return;
	}
	state.verdict.ground = verdict_ground::unproven;
	suspend(state, false);
}

std::optional<shift_plan> version_shift::first_plan(const service_state& state) const
{
	if (!clock_offset_ || state.stable_version.empty())
	{
		return std::nullopt;
	}
	shift_plan plan;
	plan.from_version = state.stable_version;
	plan.to_version = state.order->to_version;
	// The operator's time runs from the order: what passes until the plan is written is a part of it.
	plan.started = registry_now(state.order_known_at);
	plan.length = state.order->length;
	plan.order = state.order->order;
	plan.row = state.plan ? state.plan->row : row_version{0};
	return plan;
}

std::optional<shift_plan> version_shift::next_plan(const service_state& state, instant now) const
{
	if (has_new_order(state))
	{
		return first_plan(state);
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
	if (!has_fresh_news(now))
	{
		return std::nullopt;
	}
	if (is_promotable(state, now))
	{
		plan.promoted = registry_now(now);
		return plan;
	}
	const bool is_over = plan.promoted && now >= completed_at(plan);
	if (is_over && knows_verdict(state, now))
	{
		plan.state = shift_state::completed;
		return plan;
	}
	return std::nullopt;
}

std::optional<instant> version_shift::moment_to_act(const service_state& state, instant now) const
{
	if (has_new_order(state))
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
	const auto goes_on =
		plan.promoted ? completed_at(plan) : moment_of(plan, schedule_of(plan).trial_ends_at());
	const bool is_waiting_for_proof = !plan.promoted && !state.proof.is_shown;
	std::optional<instant> at = unproven_at(state);
	if (!is_waiting_for_proof || now < goes_on)
	{
		at = std::min(at.value_or(goes_on), goes_on);
	}
	return at ? std::optional{std::max(*at, now) + random_delay()} : std::nullopt;
}

void version_shift::schedule(service_state& state, instant now)
{
	state.act_at = moment_to_act(state, now);
}

/// A moment that was set before stays where it is sooner: set anew with each answer, it would never come.
void version_shift::schedule_sooner(service_state& state, instant now)
{
	const auto at = moment_to_act(state, now);
	if (at && (!state.act_at || *at < *state.act_at))
	{
		state.act_at = at;
	}
}

duration version_shift::random_delay() const
{
	const auto spread = reads_registry_ ? tuning_.spread : tuning_.reader_advantage;
	const auto least = reads_registry_ ? duration{0} : tuning_.reader_advantage;
	return least + scaled(spread, random_unit(random_));
}
} // namespace gingerdyke::rollout
