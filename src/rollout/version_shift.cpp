// SPDX-License-Identifier: MIT
// Moves a service's traffic from one software version to another: orders, plans, and the version in use. What
// traffic a new version gets is computed in version_shift_traffic.cpp, evidence is handled in
// version_shift_evidence.cpp, the transitions of a plan in version_shift_plans.cpp.
#include <algorithm>
#include <gingerdyke/rollout/version_shift.hpp>
#include <utility>

namespace gingerdyke::rollout
{
namespace
{
constexpr const char* name_running = "running";
constexpr const char* name_completed = "completed";
constexpr const char* name_rolled_back = "rolled_back";

/// A write is repeated after this time if the plan has not changed.
constexpr duration write_retry_delay = std::chrono::milliseconds{700};

/// The version of most replicas, but for the excluded one; empty if there is none.
std::string most_common_version(
	const std::map<std::string, std::size_t>& replicas, const std::string& excluded)
{
	std::string most;
	std::size_t count = 0;
	for (const auto& [version, number] : replicas)
	{
		if (version != excluded && number > count)
		{
			most = version;
			count = number;
		}
	}
	return most;
}
} // namespace

const char* name_of(shift_state state) noexcept
{
	switch (state)
	{
	case shift_state::running:
		return name_running;
	case shift_state::completed:
		return name_completed;
	case shift_state::rolled_back:
		return name_rolled_back;
	}
	return "unknown";
}

std::optional<shift_state> parse_shift_state(const std::string& name)
{
	for (const auto state : {shift_state::running, shift_state::completed, shift_state::rolled_back})
	{
		if (name == name_of(state))
		{
			return state;
		}
	}
	return std::nullopt;
}

version_shift::version_shift(
	random_source random, event_callback callback, shift_tuning tuning, version_callback on_version_change)
	: random_(std::move(random)), event_callback_(std::move(callback)), tuning_(tuning),
	  version_callback_(std::move(on_version_change))
{
}

void version_shift::on_order(const shift_order& order, instant now)
{
	auto& state = services_[order.service];
	if (state.order && state.order->order >= order.order)
	{
		return;
	}
	state.order = order;
	state.order_received_at = now;
	infer_stable_version(state);
	report_version(order.service, state);
	schedule(state, now);
}

void version_shift::on_plan(const shift_plan& plan, instant now)
{
	auto& state = services_[plan.service];
	if (state.plan && state.plan->row >= plan.row)
	{
		return;
	}
	if (is_within_one_version(plan))
	{
		replace_stored_plan(state, plan, now);
		report_version(plan.service, state);
		return;
	}
	if (is_known_plan_later(state, plan))
	{
		state.plan->row = plan.row;
		state.is_rewrite_due = true;
		schedule(state, now);
		return;
	}
	state.is_restored = false;
	state.is_rewrite_due = false;
	if (!state.plan || state.plan->order != plan.order)
	{
		state.suspended = false;
		state.own = {};
		for (const auto& [model, intervals] : state.baseline_event_intervals)
		{
			state.own.event_intervals_by_model[model].baseline = intervals;
		}
		state.total = state.own;
		state.to_write = state.own;
		state.by_reporter.clear();
		state.relayed.clear();
		state.unwritten.clear();
		state.last_written_bad = 0;
		state.proof_deadline_start.reset();
		state.followed_since = now;
		state.allowance.reset();
		evaluate(state);
	}
	if (plan.state == shift_state::completed)
	{
		state.baseline_event_intervals.clear();
	}
	state.plan = plan;
	state.stable_version = plan.state == shift_state::completed ? plan.to_version : plan.from_version;
	event_callback_({plan, false, false, summary_of(state)});
	report_version(plan.service, state);
	schedule(state, now);
}

/// A plan within one version is not followed: it would keep the service on a version that may be gone. The
/// next plan takes its row. Where another plan is in force, that one is written again.
void version_shift::replace_stored_plan(service_state& state, const shift_plan& stored, instant now)
{
	state.replaced_row = std::max(state.replaced_row, stored.row);
	state.replaced_version = stored.state == shift_state::completed ? "" : stored.to_version;
	if (state.plan)
	{
		state.plan->row = stored.row;
		state.is_rewrite_due = true;
		schedule(state, now);
		return;
	}
	infer_stable_version(state);
}

/// Whether a row from before the registry's copy was made holds an earlier state of the known plan.
bool version_shift::is_known_plan_later(const service_state& state, const shift_plan& read)
{
	if (!state.is_restored || !state.plan)
	{
		return false;
	}
	const auto& known = *state.plan;
	if (known.order != read.order)
	{
		return read.order < known.order;
	}
	const bool is_end_missing = known.state != shift_state::running && read.state == shift_state::running;
	return is_end_missing || (known.promoted && !read.promoted);
}

void version_shift::on_registry_restored(instant now)
{
	for (auto& [service, state] : services_)
	{
		state.replaced_row = row_version{0};
		if (state.plan)
		{
			state.plan->row = row_version{0};
			state.is_restored = true;
			state.is_rewrite_due = !is_running(state);
			schedule(state, now);
		}
	}
}

bool version_shift::is_running(const service_state& state)
{
	return state.plan && state.plan->state == shift_state::running;
}

void version_shift::set_reads_registry(bool reads)
{
	const bool starts_reading = reads && !reads_registry_;
	reads_registry_ = reads;
	if (!starts_reading)
	{
		return;
	}
	// Actions that were left to another reader are now due on this VM.
	for (auto& [service, state] : services_)
	{
		if (is_running(state))
		{
			state.next_action_at =
				std::min(state.next_action_at.value_or(last_registry_contact_), last_registry_contact_);
		}
	}
}

std::size_t version_shift::count_new_replicas(const service_state& state)
{
	const auto found = state.replicas.find(state.plan->to_version);
	return found == state.replicas.end() ? 0 : found->second;
}

std::size_t version_shift::count_old_replicas(const service_state& state)
{
	std::size_t all = 0;
	for (const auto& [version, count] : state.replicas)
	{
		all += count;
	}
	return all - count_new_replicas(state);
}

bool version_shift::is_shifting() const
{
	return std::any_of(
		services_.begin(), services_.end(), [](const auto& entry) { return is_running(entry.second); });
}

void version_shift::set_replicas(const service_id& service, const std::vector<routing::replica_ptr>& replicas)
{
	auto& state = services_[service];
	state.replicas.clear();
	for (const auto& replica : replicas)
	{
		if (!replica->is_draining)
		{
			++state.replicas[replica->version];
		}
	}
	infer_stable_version(state);
	report_version(service, state);
}

/// The version that an order moves to, or a stored plan that is not followed; empty if there is none.
const std::string& version_shift::ordered_version(const service_state& state)
{
	return state.order ? state.order->to_version : state.replaced_version;
}

/// Without a plan, the version in use is the one of most replicas. The version of an order is not taken for
/// it, in whichever order the tables of replicas and of orders are read.
void version_shift::infer_stable_version(service_state& state)
{
	if (state.plan)
	{
		return;
	}
	const auto& ordered = ordered_version(state);
	if (state.stable_version == ordered)
	{
		state.stable_version.clear();
	}
	if (state.replicas.contains(state.stable_version))
	{
		return;
	}
	const auto most_common = most_common_version(state.replicas, ordered);
	if (!most_common.empty())
	{
		state.stable_version = most_common;
	}
}

/// The version that serves while no shift is running. If the one in use has no replicas, another one serves
/// rather than none, but for the other version of an ended shift, whose replicas are stopped.
std::string version_shift::settled_version(const service_state& state)
{
	if (state.replicas.contains(state.stable_version))
	{
		return state.stable_version;
	}
	if (!state.plan)
	{
		// Only replicas of the ordered version are left.
		return {};
	}
	const bool is_rolled_back = state.plan->state == shift_state::rolled_back;
	const auto& stopped = is_rolled_back ? state.plan->to_version : state.plan->from_version;
	const auto other = most_common_version(state.replicas, stopped);
	return other.empty() ? state.stable_version : other;
}

void version_shift::report_version(const service_id& service, service_state& state)
{
	const auto settled = is_running(state) ? state.plan->from_version : settled_version(state);
	const auto version = is_running(state) && is_new_version_alone(state) ? state.plan->to_version : settled;
	if (!version_callback_ || state.reported_version == version)
	{
		return;
	}
	state.reported_version = version;
	version_callback_({service, version, version != state.stable_version, state.replicas});
}

/// Whether the new version serves all requests of a running shift because no replica of another version is
/// left.
bool version_shift::is_new_version_alone(const service_state& state)
{
	return !state.suspended && count_old_replicas(state) == 0 && count_new_replicas(state) > 0;
}

void version_shift::update_registry_time(registry_time registry_clock, instant now)
{
	// The largest offset is the most accurate one: it belongs to the response with the shortest delay.
	const auto offset = registry_clock - now.time_since_epoch();
	clock_offset_ = clock_offset_ ? std::max(*clock_offset_, offset) : offset;
	const bool contact_was_lost = now - last_registry_contact_ > tuning_.registry_contact_limit;
	last_registry_contact_ = now;
	if (contact_was_lost)
	{
		on_registry_recovered(now);
	}
}

/// Other VMs may have suspended the version in the meantime, so the period of following the plan restarts. A
/// suspension on this VM is due to be written.
void version_shift::on_registry_recovered(instant now)
{
	for (auto& [service, state] : services_)
	{
		state.followed_since = now;
		if (state.suspended)
		{
			schedule(state, now);
		}
	}
}

std::vector<shift_write> version_shift::due(instant now)
{
	std::vector<shift_write> writes;
	for (auto& [service, state] : services_)
	{
		const auto evidence_at = evidence_due_at(state);
		if (evidence_at && *evidence_at <= now)
		{
			writes.push_back({std::nullopt, take_evidence(service, state, now)});
		}
		if (!state.next_action_at || *state.next_action_at > now)
		{
			continue;
		}
		evaluate_and_suspend(state, now);
		suspend_if_unproven(state, now);
		if (auto plan = next_plan(state, now))
		{
			plan->service = service;
			writes.push_back({std::move(plan), {}});
			state.next_action_at = now + write_retry_delay + random_delay();
			continue;
		}
		schedule(state, now);
	}
	return writes;
}

std::optional<instant> version_shift::next_due() const
{
	std::optional<instant> next;
	for (const auto& [service, state] : services_)
	{
		for (const auto& due_at : {state.next_action_at, evidence_due_at(state)})
		{
			if (due_at)
			{
				next = std::min(next.value_or(*due_at), *due_at);
			}
		}
	}
	return next;
}

const shift_plan* version_shift::plan_of(const service_id& service) const
{
	const auto* state = find(service);
	return state == nullptr || !state->plan ? nullptr : &*state->plan;
}

const version_shift::service_state* version_shift::find(const service_id& service) const
{
	const auto found = services_.find(service);
	return found == services_.end() ? nullptr : &found->second;
}

registry_time version_shift::registry_now(instant now) const
{
	return now.time_since_epoch() + clock_offset_.value_or(duration{0});
}

} // namespace gingerdyke::rollout
