// SPDX-License-Identifier: MIT
// Moves a service's traffic from one software version to another: shares and plans. What is made of answers
// is in version_shift_evidence.cpp.
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

std::size_t count_version(const std::vector<routing::replica_ptr>& replicas, const std::string& version)
{
	const auto count = std::count_if(
		replicas.begin(), replicas.end(), [&](const auto& one) { return one->version == version; });
	return static_cast<std::size_t>(count);
}

bool has_version(const std::vector<routing::replica_ptr>& replicas, const std::string& version)
{
	return count_version(replicas, version) > 0;
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
		state.known = {};
		state.others.clear();
		state.relayed.clear();
		state.unwritten.clear();
		state.written_bad = 0;
		state.followed_since = now;
	}
	state.plan = plan;
	state.stable_version = plan.state == shift_state::completed ? plan.to_version : plan.from_version;
	news_({plan, false, false, summary_of(state)});
	schedule(state, now);
}

bool version_shift::is_shifting() const
{
	return std::any_of(services_.begin(), services_.end(),
		[](const auto& entry)
		{ return entry.second.plan && entry.second.plan->state == shift_state::running; });
}

void version_shift::note_replicas(
	const service_id& service, const std::vector<routing::replica_ptr>& replicas)
{
	auto& state = services_[service];
	if (state.order)
	{
		state.new_replicas = count_version(replicas, state.order->to_version);
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
	if (!state->plan || state->plan->state != shift_state::running)
	{
		return state->stable_version;
	}
	const bool wants_new = !state->suspended && unit_of(point) < share_of(*state, now);
	return wants_new ? state->plan->to_version : state->plan->from_version;
}

std::string version_shift::fallback_for(const service_id& service, std::uint64_t point, instant now) const
{
	const auto* state = find(service);
	if (state == nullptr || !state->plan || state->plan->state != shift_state::running)
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
		if (evidence_grew(state) && now - state.written_at >= tuning_.report_pause)
		{
			writes.push_back({std::nullopt, take_evidence(service, state, now)});
		}
		if (!state.act_at || *state.act_at > now)
		{
			continue;
		}
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
	const auto consider = [&next](instant when) { next = next ? std::min(*next, when) : when; };
	for (const auto& [service, state] : services_)
	{
		if (state.act_at)
		{
			consider(*state.act_at);
		}
		if (evidence_grew(state))
		{
			consider(state.written_at + tuning_.report_pause);
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
	const auto known_until = std::min(now, news_at_ + tuning_.news_limit);
	return schedule_of(*state.plan).share_at(part_of(*state.plan, known_until));
}

/// The hash picks the same replicas on all VMs, and never gives one up while the share grows.
bool version_shift::is_in_use(const routing::replica& one, instant now) const
{
	const auto* state = find(one.service);
	const bool is_new = state != nullptr && state->plan && state->plan->state == shift_state::running &&
						one.version == state->plan->to_version;
	if (!is_new)
	{
		return true;
	}
	const auto count = static_cast<double>(std::max<std::size_t>(1, state->new_replicas));
	const auto least = static_cast<double>(tuning_.fewest_replicas) / count;
	const auto share = share_of(*state, now);
	const auto used = is_at_peak(*state, now) ? share / tuning_.peak_load : std::max(least, share);
	return unit_of(stable_hash(one.id.str())) < used;
}

bool version_shift::is_at_peak(const service_state& state, instant now) const
{
	const auto left = static_cast<double>(state.new_replicas) * share_of(state, now) / tuning_.peak_load;
	return schedule_of(*state.plan).is_at_peak(part_of(*state.plan, now)) &&
		   left >= static_cast<double>(tuning_.fewest_at_peak);
}

bool version_shift::has_new_order(const service_state& state)
{
	return state.order && (!state.plan || state.plan->order < state.order->order);
}

duration version_shift::time_to_completion(const shift_plan& plan, instant now) const
{
	const auto complete_at = scaled(plan.length, schedule_of(plan).complete_at());
	return plan.started + complete_at - registry_now(now);
}

bool version_shift::knows_verdict(const service_state& state, instant now) const
{
	const auto& plan = *state.plan;
	const auto first_use = plan.started + scaled(plan.length, tuning_.schedule.trial_at);
	if (registry_now(state.followed_since) < first_use)
	{
		return true;
	}
	return now - state.followed_since >= tuning_.late_wait &&
		   state.known.new_answers() >= tuning_.late_answers;
}

std::optional<shift_plan> version_shift::next_plan(const service_state& state, instant now) const
{
	if (has_new_order(state))
	{
		if (!clock_offset_ || state.stable_version.empty())
		{
			return std::nullopt;
		}
		shift_plan plan;
		plan.from_version = state.stable_version;
		plan.to_version = state.order->to_version;
		plan.started = registry_now(now);
		plan.length = state.order->length;
		plan.order = state.order->order;
		plan.row = state.plan ? state.plan->row : row_version{0};
		return plan;
	}
	if (!state.plan || state.plan->state != shift_state::running)
	{
		return std::nullopt;
	}
	auto plan = *state.plan;
	if (state.suspended)
	{
		plan.state = shift_state::rolled_back;
		return plan;
	}
	const auto since_news = now - news_at_;
	if (time_to_completion(plan, now) <= duration{0} && since_news < tuning_.news_limit &&
		knows_verdict(state, now))
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
	if (!state.plan || state.plan->state != shift_state::running)
	{
		return std::nullopt;
	}
	if (state.suspended)
	{
		return now + random_delay();
	}
	const auto left = time_to_completion(*state.plan, now);
	return now + std::max(left, duration{0}) + random_delay();
}

void version_shift::schedule(service_state& state, instant now)
{
	state.act_at = moment_to_act(state, now);
}

duration version_shift::random_delay() const
{
	const auto spread = reads_registry_ ? tuning_.spread : tuning_.reader_advantage;
	const auto least = reads_registry_ ? duration{0} : tuning_.reader_advantage;
	return least + scaled(spread, random_unit(random_));
}
} // namespace gingerdyke::rollout
