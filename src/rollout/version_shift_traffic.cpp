// SPDX-License-Identifier: MIT
// Moves a service's traffic from one software version to another: which requests and replicas of the new
// version are used at a point of the shift.
#include <algorithm>
#include <gingerdyke/base/crypto.hpp>
#include <gingerdyke/rollout/version_shift.hpp>

namespace gingerdyke::rollout
{
namespace
{
/// Fraction of a request that this VM's trial allowance begins with: those of all VMs are spread evenly, in
/// another order for each shift.
double allowance_phase(const shift_plan& plan, const routing::fleet_list& vms)
{
	const auto rank = vms.rank(static_cast<std::uint64_t>(plan.order.value()));
	return static_cast<double>(rank) / static_cast<double>(vms.size());
}
} // namespace

std::string version_shift::version_for(const service_id& service, std::uint64_t point, instant now) const
{
	const auto* state = find(service);
	if (state == nullptr)
	{
		return {};
	}
	if (!is_running(*state))
	{
		return settled_version(*state);
	}
	if (is_new_version_alone(*state))
	{
		return state->plan->to_version;
	}
	const bool uses_new = !state->suspended && to_unit_interval(point) < share_of(*state, now);
	return uses_new ? state->plan->to_version : state->plan->from_version;
}

std::string version_shift::fallback_for(const service_id& service, std::uint64_t point, instant now) const
{
	const auto* state = find(service);
	if (state == nullptr || !is_running(*state))
	{
		return {};
	}
	const auto chosen = version_for(service, point, now);
	if (chosen == state->plan->to_version)
	{
		return state->plan->from_version;
	}
	return {};
}

bool version_shift::take_trial_request(const service_id& service, const routing::fleet_list& vms, instant now)
{
	const auto found = services_.find(service);
	if (found == services_.end() || !clock_offset_ || !vms.is_fresh(now) || !vms.is_known_to_others(now))
	{
		return false;
	}
	auto& state = found->second;
	if (!is_running(state) || state.suspended || count_new_replicas(state) == 0)
	{
		return false;
	}
	const auto& plan = *state.plan;
	const auto elapsed = trial_fraction(plan, now);
	if (elapsed < 0 || elapsed >= 1)
	{
		return false;
	}
	if (!state.allowance)
	{
		const auto start = std::max(0.0, trial_fraction(plan, state.followed_since));
		state.allowance.emplace(allowance_phase(plan, vms), start);
	}
	const auto allowed = tuning_.exposure_slack * tuning_.schedule.planned_exposure_ratio;
	return state.allowance->take(elapsed, allowed / static_cast<double>(vms.size()));
}

double version_shift::share(const service_id& service, instant now) const
{
	const auto* state = find(service);
	return state == nullptr || !state->plan ? 0 : share_of(*state, now);
}

double version_shift::elapsed_fraction(const shift_plan& plan, instant now) const
{
	const auto elapsed = registry_now(now) - plan.started;
	return static_cast<double>(elapsed.count()) / static_cast<double>(plan.length.count());
}

double version_shift::trial_fraction(const shift_plan& plan, instant now) const
{
	const auto schedule = schedule_of(plan);
	const auto start = schedule.trial_starts_at();
	return (elapsed_fraction(plan, now) - start) / (schedule.trial_ends_at() - start);
}

double version_shift::promoted_fraction(const shift_plan& plan) const
{
	const auto elapsed = *plan.promoted - plan.started;
	return static_cast<double>(elapsed.count()) / static_cast<double>(plan.length.count());
}

instant version_shift::time_at(const shift_plan& plan, double elapsed) const
{
	return instant{plan.started + scaled(plan.length, elapsed) - clock_offset_.value_or(duration{0})};
}

shift_schedule version_shift::schedule_of(const shift_plan& plan) const
{
	return {plan.length, tuning_.exposure_limit, tuning_.schedule};
}

double version_shift::share_of(const service_state& state, instant now) const
{
	if (state.suspended || !clock_offset_)
	{
		return 0;
	}
	const auto& plan = *state.plan;
	const auto known_until = std::min(now, last_registry_contact_ + tuning_.registry_contact_limit);
	const auto promoted = plan.promoted ? std::optional{promoted_fraction(plan)} : std::nullopt;
	return schedule_of(plan).share_at(elapsed_fraction(plan, known_until), promoted);
}

/// The hash selects the same replicas on all VMs, and a selected replica stays selected while the share
/// grows.
bool version_shift::is_in_use(const routing::replica& replica, instant now) const
{
	const auto* state = find(replica.service);
	const bool is_new = state != nullptr && is_running(*state) && replica.version == state->plan->to_version;
	if (!is_new || is_new_version_alone(*state))
	{
		return true;
	}
	const auto count = static_cast<double>(std::max<std::size_t>(1, count_new_replicas(*state)));
	const auto min_fraction = static_cast<double>(tuning_.min_replicas) / count;
	const auto share = share_of(*state, now);
	const auto used_fraction =
		carries_peak_load(*state, now) ? share / tuning_.peak_load_factor : std::max(min_fraction, share);
	return to_unit_interval(stable_hash(replica.id.str())) < used_fraction;
}

bool version_shift::carries_peak_load(const service_state& state, instant now) const
{
	const auto used_replicas =
		static_cast<double>(count_new_replicas(state)) * share_of(state, now) / tuning_.peak_load_factor;
	return schedule_of(*state.plan).is_peak_load_phase(elapsed_fraction(*state.plan, now)) &&
		   used_replicas >= static_cast<double>(tuning_.min_peak_load_replicas);
}
} // namespace gingerdyke::rollout
