// SPDX-License-Identifier: MIT
// Moves a service's traffic from one software version to another: versions for requests, and plans. What is
// made of answers is in version_shift_evidence.cpp, when a plan goes on in version_shift_plans.cpp.
#include <algorithm>
#include <gingerdyke/base/crypto.hpp>
#include <gingerdyke/rollout/version_shift.hpp>
#include <utility>

namespace gingerdyke::rollout
{
namespace
{
constexpr const char* word_running = "running";
constexpr const char* word_completed = "completed";
constexpr const char* word_rolled_back = "rolled_back";

/// An attempt to write is repeated after this time where no news came of it.
constexpr duration write_again = std::chrono::milliseconds{700};

std::string commonest_version(
	const std::vector<routing::replica_ptr>& replicas, const std::optional<shift_order>& order)
{
	std::map<std::string, unsigned> counts;
	for (const auto& one : replicas)
	{
		if (!order || one->version != order->to_version)
		{
			++counts[one->version];
		}
	}
	const auto most = std::max_element(
		counts.begin(), counts.end(), [](const auto& a, const auto& b) { return a.second < b.second; });
	return most == counts.end() ? std::string{} : most->first;
}

bool has_version(const std::vector<routing::replica_ptr>& replicas, const std::string& version)
{
	return std::any_of(
		replicas.begin(), replicas.end(), [&](const auto& one) { return one->version == version; });
}
} // namespace

const char* name_of(shift_state state) noexcept
{
	switch (state)
	{
	case shift_state::running:
		return word_running;
	case shift_state::completed:
		return word_completed;
	case shift_state::rolled_back:
		return word_rolled_back;
	}
	return "unknown";
}

std::optional<shift_state> parse_shift_state(const std::string& word)
{
	for (const auto state : {shift_state::running, shift_state::completed, shift_state::rolled_back})
	{
		if (word == name_of(state))
		{
			return state;
		}
	}
	return std::nullopt;
}

version_shift::version_shift(random_source random, news_hook news, shift_tuning tuning)
	: random_(std::move(random)), news_(std::move(news)), tuning_(tuning)
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
	state.order_known_at = now;
	schedule(state, now);
}

void version_shift::on_plan(const shift_plan& plan, instant now)
{
	auto& state = services_[plan.service];
	if (state.plan && state.plan->row >= plan.row)
	{
		return;
	}
	if (!state.plan || state.plan->order != plan.order)
	{
		state.suspended = false;
		state.own = {};
		for (const auto& [model, paces] : state.usual_paces)
		{
			state.own.by_pace[model].usual = paces;
		}
		state.known = state.own;
		state.to_write = state.own;
		state.others.clear();
		state.relayed.clear();
		state.unwritten.clear();
		state.written_bad = 0;
		state.bad_since.reset();
		state.followed_since = now;
		weigh(state);
	}
	if (plan.state == shift_state::completed)
	{
		state.usual_paces.clear();
	}
	state.plan = plan;
	state.stable_version = plan.state == shift_state::completed ? plan.to_version : plan.from_version;
	news_({plan, false, false, summary_of(state)});
	schedule(state, now);
}

bool version_shift::is_running(const service_state& state)
{
	return state.plan && state.plan->state == shift_state::running;
}

void version_shift::note_reads_registry(bool does)
{
	const bool begins = does && !reads_registry_;
	reads_registry_ = does;
	if (!begins)
	{
		return;
	}
	// What was left to the reader before is to be looked at now.
	for (auto& [service, state] : services_)
	{
		if (is_running(state))
		{
			state.act_at = std::min(state.act_at.value_or(news_at_), news_at_);
		}
	}
}

std::size_t version_shift::new_replicas(const service_state& state)
{
	const auto found = state.replicas.find(state.plan->to_version);
	return found == state.replicas.end() ? 0 : found->second;
}

std::size_t version_shift::old_replicas(const service_state& state)
{
	std::size_t all = 0;
	for (const auto& [version, count] : state.replicas)
	{
		all += count;
	}
	return all - new_replicas(state);
}

bool version_shift::is_shifting() const
{
	return std::any_of(
		services_.begin(), services_.end(), [](const auto& entry) { return is_running(entry.second); });
}

void version_shift::note_replicas(
	const service_id& service, const std::vector<routing::replica_ptr>& replicas)
{
	auto& state = services_[service];
	state.replicas.clear();
	for (const auto& one : replicas)
	{
		++state.replicas[one->version];
	}
	const bool is_stable_known = !state.stable_version.empty();
	if (state.plan || (is_stable_known && has_version(replicas, state.stable_version)))
	{
		return;
	}
	const auto commonest = commonest_version(replicas, state.order);
	if (!commonest.empty())
	{
		state.stable_version = commonest;
	}
}

void version_shift::note_registry_time(registry_time then, instant now)
{
	// An answer is as old as its way here; the largest difference came the fastest way.
	const auto offset = then - now.time_since_epoch();
	clock_offset_ = clock_offset_ ? std::max(*clock_offset_, offset) : offset;
	const bool was_lost = now - news_at_ > tuning_.news_limit;
	news_at_ = now;
	if (was_lost)
	{
		on_registry_back(now);
	}
}

/// Others may have judged meanwhile; a verdict of this VM is due at once.
void version_shift::on_registry_back(instant now)
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

std::string version_shift::version_for(const service_id& service, std::uint64_t point, instant now) const
{
	const auto* state = find(service);
	if (state == nullptr)
	{
		return {};
	}
	if (!is_running(*state))
	{
		return state->stable_version;
	}
	const bool wants_new = !state->suspended && to_unit_interval(point) < share_of(*state, now);
	return wants_new ? state->plan->to_version : state->plan->from_version;
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
		if (!state.act_at || *state.act_at > now)
		{
			continue;
		}
		judge(state, now);
		give_back_unproven(state, now);
		if (auto plan = next_plan(state, now))
		{
			plan->service = service;
			writes.push_back({std::move(plan), {}});
			state.act_at = now + write_again + random_delay();
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
		for (const auto& moment : {state.act_at, evidence_due_at(state)})
		{
			if (moment)
			{
				next = std::min(next.value_or(*moment), *moment);
			}
		}
	}
	return next;
}

double version_shift::share(const service_id& service, instant now) const
{
	const auto* state = find(service);
	return state == nullptr || !state->plan ? 0 : share_of(*state, now);
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

double version_shift::part_of(const shift_plan& plan, instant now) const
{
	const auto elapsed = registry_now(now) - plan.started;
	return static_cast<double>(elapsed.count()) / static_cast<double>(plan.length.count());
}

double version_shift::promoted_part(const shift_plan& plan) const
{
	const auto elapsed = *plan.promoted - plan.started;
	return static_cast<double>(elapsed.count()) / static_cast<double>(plan.length.count());
}

instant version_shift::moment_of(const shift_plan& plan, double part) const
{
	return instant{plan.started + scaled(plan.length, part) - clock_offset_.value_or(duration{0})};
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
	const auto known_until = std::min(now, news_at_ + tuning_.news_limit);
	const auto promoted = plan.promoted ? std::optional{promoted_part(plan)} : std::nullopt;
	return schedule_of(plan).share_at(part_of(plan, known_until), promoted);
}

/// The hash picks the same replicas on all VMs, and never gives one up while the share grows.
bool version_shift::is_in_use(const routing::replica& one, instant now) const
{
	const auto* state = find(one.service);
	const bool is_new = state != nullptr && is_running(*state) && one.version == state->plan->to_version;
	if (!is_new)
	{
		return true;
	}
	const auto count = static_cast<double>(std::max<std::size_t>(1, new_replicas(*state)));
	const auto least = static_cast<double>(tuning_.fewest_replicas) / count;
	const auto share = share_of(*state, now);
	const auto used = is_at_peak(*state, now) ? share / tuning_.peak_load : std::max(least, share);
	return to_unit_interval(stable_hash(one.id.str())) < used;
}

bool version_shift::is_at_peak(const service_state& state, instant now) const
{
	const auto left = static_cast<double>(new_replicas(state)) * share_of(state, now) / tuning_.peak_load;
	return schedule_of(*state.plan).is_at_peak(part_of(*state.plan, now)) &&
		   left >= static_cast<double>(tuning_.fewest_at_peak);
}
} // namespace gingerdyke::rollout
