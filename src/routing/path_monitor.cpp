// SPDX-License-Identifier: MIT
// Which replicas this VM has no network path to.
#include <algorithm>
#include <gingerdyke/routing/path_monitor.hpp>
#include <iterator>

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
	if (state->is_lost)
	{
		regain(group_of(to), *state, now);
	}
	else if (now - state->regained_at > tuning_.stable_time)
	{
		groups_.erase(group_of(to));
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
	auto& state = groups_[group];
	if (state.is_lost)
	{
		state.failures[to.id] = {failure, now};
		return;
	}
	std::erase_if(
		state.failures, [&](const auto& entry) { return now - entry.second.at > tuning_.evidence_window; });
	state.failures[to.id] = {failure, now};
	if (is_evidence_sufficient(group, state))
	{
		lose(group, state, failure, now);
	}
}

bool path_monitor::is_evidence_sufficient(const path_group& group, const group_state& state) const
{
	const auto refusing = static_cast<std::size_t>(std::count_if(state.failures.begin(), state.failures.end(),
		[](const auto& entry) { return entry.second.failure == path_failure::refused; }));
	const auto hanging = state.failures.size() - refusing;
	const auto all = members_of(group).size();
	return (hanging > 0 && hanging >= std::min(tuning_.min_hanging_replicas, all)) ||
		   static_cast<double>(refusing) > tuning_.min_refusing_share * static_cast<double>(all);
}

void path_monitor::lose(const path_group& group, group_state& state, path_failure failure, instant now)
{
	const bool is_unstable = state.probe_delay > duration{0} && now - state.regained_at < tuning_.stable_time;
	state.is_lost = true;
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
	std::vector<replica_ptr> due;
	for (auto& [group, state] : groups_)
	{
		if (!state.is_lost || state.probe_at > now)
		{
			continue;
		}
		const auto members = members_of(group);
		due.push_back(members[random_below(random_, members.size())]);
		state.probe_delay = std::min<duration>(state.probe_delay * 2, tuning_.max_probe_delay);
		schedule_probe(state, now);
	}
	return due;
}

std::optional<instant> path_monitor::next_probe_at() const
{
	std::optional<instant> next;
	for (const auto& [group, state] : groups_)
	{
		if (state.is_lost)
		{
			next = std::min(next.value_or(state.probe_at), state.probe_at);
		}
	}
	return next;
}

bool path_monitor::is_isolated() const
{
	const auto all = replicas_.all();
	return lost_count_ > 0 &&
		   std::none_of(all.begin(), all.end(),
			   [this](const replica_ptr& candidate) { return accepts_connections(*candidate); });
}
} // namespace gingerdyke::routing
