// SPDX-License-Identifier: MIT
// Which replicas this VM has no network path to.
#include <algorithm>
#include <gingerdyke/routing/group_evidence.hpp>
#include <gingerdyke/routing/path_monitor.hpp>
#include <iterator>
#include <set>
#include <utility>

namespace gingerdyke::routing
{
namespace
{
path_group group_of(const replica& member)
{
	return {member.service, member.domain};
}
} // namespace

const char* name_of(path_failure failure) noexcept
{
	switch (failure)
	{
	case path_failure::refused:
		return "refused";
	case path_failure::unanswered:
		return "unanswered";
	case path_failure::silent:
		return "silent";
	}
	return "unknown";
}

path_monitor::path_monitor(
	const replica_set& replicas, random_source random, change_hook changed, path_tuning tuning)
	: replicas_(replicas), random_(std::move(random)), changed_(std::move(changed)), tuning_(tuning)
{
}

path_monitor::group_state* path_monitor::find(const replica& member)
{
	if (groups_.empty())
	{
		return nullptr;
	}
	const auto found = groups_.find(group_of(member));
	return found == groups_.end() ? nullptr : &found->second;
}

const path_monitor::group_state* path_monitor::find_lost(const replica& member) const
{
	if (lost_count_ == 0)
	{
		return nullptr;
	}
	const auto found = groups_.find(group_of(member));
	return found == groups_.end() || !found->second.is_lost ? nullptr : &found->second;
}

void path_monitor::record_connected(const replica& to, instant now)
{
	auto* state = find(to);
	if (state == nullptr)
	{
		return;
	}
	state->failures.clear();
	state->is_doubtful = false;
	state->connected_at = now;
	if (state->is_lost)
	{
		regain(group_of(to), *state, now);
	}
}

/// A response shows that the network carries packets; new connections may still be refused.
void path_monitor::record_response(const replica& from, instant now)
{
	auto* state = find(from);
	if (state == nullptr)
	{
		return;
	}
	std::erase_if(
		state->failures, [](const auto& entry) { return entry.second.failure != path_failure::refused; });
	state->is_silent = false;
	if (state->is_lost && state->failures.empty())
	{
		regain(group_of(from), *state, now);
	}
}

void path_monitor::record_failure(const replica& to, path_failure failure, instant now)
{
	const auto group = group_of(to);
	drop_stable_groups(now);
	auto& state = groups_[group];
	if (state.is_lost)
	{
		state.failures[to.id] = {failure, now};
		return;
	}
	std::erase_if(
		state.failures, [&](const auto& entry) { return now - entry.second.at > tuning_.evidence_window; });
	state.failures[to.id] = {failure, now};
	if (is_evidence_sufficient(group, state, now))
	{
		lose(group, state, failure, now);
		return;
	}
	doubt(state, now);
}

bool path_monitor::is_recent(const std::optional<instant>& event, instant now) const
{
	return event && now - *event <= tuning_.evidence_window;
}

void path_monitor::doubt(group_state& state, instant now) const
{
	const auto failed = std::max(refusing_count(state), hanging_count(state));
	if (failed < tuning_.min_failed_for_probes || is_recent(state.doubted_at, now) ||
		is_recent(state.connected_at, now))
	{
		return;
	}
	state.is_doubtful = true;
	state.doubted_at = now;
}

std::size_t path_monitor::refusing_count(const group_state& state)
{
	return static_cast<std::size_t>(std::count_if(state.failures.begin(), state.failures.end(),
		[](const auto& entry) { return entry.second.failure == path_failure::refused; }));
}

std::size_t path_monitor::hanging_count(const group_state& state)
{
	return state.failures.size() - refusing_count(state);
}

std::size_t path_monitor::required_refusals(const path_group& group) const
{
	return std::min(tuning_.min_refusing_replicas, members_of(group).size());
}

std::size_t path_monitor::required_hanging(const path_group& group) const
{
	const auto members = members_of(group).size();
	return std::min(required_silent_replicas(members), members);
}

/// Number of further replicas that would have to fail for the path to count as lost.
std::size_t path_monitor::missing_evidence(const path_group& group, const group_state& state) const
{
	const auto missing = [this](std::size_t failed, std::size_t required)
	{ return failed < tuning_.min_failed_for_probes ? 0 : required - std::min(required, failed); };
	return std::max(missing(refusing_count(state), required_refusals(group)),
		missing(hanging_count(state), required_hanging(group)));
}

bool path_monitor::is_evidence_sufficient(
	const path_group& group, const group_state& state, instant now) const
{
	const auto refusing = refusing_count(state);
	const auto hanging = hanging_count(state);
	return (hanging > 0 && hanging >= required_hanging(group)) ||
		   (refusing > 0 && refusing >= required_refusals(group) && !is_recent(state.connected_at, now));
}

void path_monitor::lose(const path_group& group, group_state& state, path_failure failure, instant now)
{
	const bool is_unstable = state.probe_delay > duration{0} && now - state.regained_at < tuning_.stable_time;
	state.is_lost = true;
	state.is_doubtful = false;
	++lost_count_;
	state.is_silent = failure != path_failure::refused;
	state.lost_at = now;
	state.probe_delay = is_unstable ? state.probe_delay : tuning_.first_probe_delay;
	schedule_probe(state, now);
	changed_({group, true, failure, state.failures.size(), duration{0}});
}

void path_monitor::regain(const path_group& group, group_state& state, instant now)
{
	state.is_lost = false;
	--lost_count_;
	state.is_silent = false;
	state.regained_at = now;
	changed_({group, false, path_failure::refused, 0, now - state.lost_at});
}

bool path_monitor::accepts_connections(const replica& to) const
{
	return find_lost(to) == nullptr;
}

bool path_monitor::carries_requests(const replica& to) const
{
	const auto* state = find_lost(to);
	return state == nullptr || !state->is_silent;
}

std::vector<replica_ptr> path_monitor::members_of(const path_group& group) const
{
	std::vector<replica_ptr> members;
	const auto& all = replicas_.of_service(group.service);
	std::copy_if(all.begin(), all.end(), std::back_inserter(members),
		[&](const replica_ptr& candidate) { return candidate->domain == group.domain; });
	return members;
}

void path_monitor::schedule_probe(group_state& state, instant now) const
{
	const auto jitter = 1 + tuning_.probe_jitter * (2 * random_unit(random_) - 1);
	state.probe_at = now + scaled(state.probe_delay, jitter);
}

std::vector<replica_ptr> path_monitor::due_probes(instant now)
{
	lost_count_ -= std::erase_if(groups_,
		[this](const auto& entry) { return entry.second.is_lost && members_of(entry.first).empty(); });
	drop_stable_groups(now);
	std::vector<replica_ptr> due;
	for (auto& [group, state] : groups_)
	{
		if (std::exchange(state.is_doubtful, false))
		{
			const auto probes = probes_of_doubtful(group, state);
			due.insert(due.end(), probes.begin(), probes.end());
		}
		if (state.is_lost && state.probe_at <= now)
		{
			due.push_back(probe_of_lost(group, state, now));
		}
	}
	return due;
}

/// Groups without failures cost nothing again after a while.
void path_monitor::drop_stable_groups(instant now)
{
	std::erase_if(groups_,
		[&](const auto& entry)
		{
			const auto& state = entry.second;
			const auto changed_at = std::max(state.regained_at, state.connected_at.value_or(instant{}));
			return !state.is_lost && state.failures.empty() && now - changed_at > tuning_.stable_time;
		});
}

/// As many as are needed to decide, chosen at random among those that have not failed.
std::vector<replica_ptr> path_monitor::probes_of_doubtful(
	const path_group& group, const group_state& state) const
{
	auto candidates = members_of(group);
	std::erase_if(candidates, [&](const replica_ptr& member) { return state.failures.contains(member->id); });
	const auto missing = missing_evidence(group, state);
	std::vector<replica_ptr> probes;
	while (!candidates.empty() && probes.size() < missing)
	{
		const auto chosen = random_below(random_, candidates.size());
		probes.push_back(candidates[chosen]);
		candidates.erase(candidates.begin() + static_cast<std::ptrdiff_t>(chosen));
	}
	return probes;
}

replica_ptr path_monitor::probe_of_lost(const path_group& group, group_state& state, instant now) const
{
	const auto members = members_of(group);
	state.probe_delay = std::min<duration>(state.probe_delay * 2, tuning_.max_probe_delay);
	schedule_probe(state, now);
	return members[random_below(random_, members.size())];
}

std::optional<instant> path_monitor::next_probe_at() const
{
	std::optional<instant> next;
	for (const auto& [group, state] : groups_)
	{
		if (state.is_doubtful)
		{
			return instant{};
		}
		if (state.is_lost)
		{
			next = std::min(next.value_or(state.probe_at), state.probe_at);
		}
	}
	return next;
}

std::vector<service_id> path_monitor::unreachable_services() const
{
	std::set<service_id> services;
	for (const auto& [group, state] : groups_)
	{
		const auto& members = replicas_.of_service(group.service);
		const bool is_reachable = std::any_of(members.begin(), members.end(),
			[this](const replica_ptr& member) { return accepts_connections(*member); });
		if (state.is_lost && !members.empty() && !is_reachable)
		{
			services.insert(group.service);
		}
	}
	return {services.begin(), services.end()};
}

bool path_monitor::is_isolated() const
{
	const auto all = replicas_.all();
	return lost_count_ > 0 &&
		   std::none_of(all.begin(), all.end(),
			   [this](const replica_ptr& candidate) { return accepts_connections(*candidate); });
}
} // namespace gingerdyke::routing
