// SPDX-License-Identifier: MIT
// Rate limits that overloaded replicas announce in their responses, and this VM's share of each.
#include <algorithm>
#include <cmath>
#include <gingerdyke/base/crypto.hpp>
#include <gingerdyke/routing/announced_limits.hpp>

namespace gingerdyke::routing
{
namespace
{
/// Lower limits, including 0, are raised to this many requests per second: only the response to a request
/// shows that the overload is over.
constexpr double min_limit = 0.05;

duration to_duration(double seconds)
{
	return std::chrono::duration_cast<duration>(std::chrono::duration<double>{seconds});
}
} // namespace

const char* name_of(limit_change change) noexcept
{
	switch (change)
	{
	case limit_change::announced:
		return "named";
	case limit_change::changed:
		return "changed";
	case limit_change::removed:
		return "over";
	}
	return "unknown";
}

announced_limits::announced_limits(const fleet_list& vms, change_hook changed, announced_limits_tuning tuning)
	: vms_(vms), changed_(std::move(changed)), tuning_(tuning)
{
}

const announced_limits::state* announced_limits::find(const replica& target) const
{
	const auto found = states_.find(target.id);
	const bool is_current = found != states_.end() && found->second.incarnation == target.incarnation;
	return is_current ? &found->second : nullptr;
}

announced_limits::state& announced_limits::set_limit(
	const replica& target, double requests_per_s, instant last_announced_at, instant now)
{
	if (find(target) == nullptr)
	{
		states_.erase(target.id);
		const fleet_rank rank{stable_hash(target.id.str())};
		auto& created = states_
							.emplace(target.id, state{target.incarnation, target.service, rank,
													requests_per_s, last_announced_at, {}, {}})
							.first->second;
		created.next_due_at = now + schedule_of(created).first;
		removed_.erase(target.id);
	}
	auto& current = states_.at(target.id);
	current.requests_per_s = requests_per_s;
	current.last_announced_at = std::max(current.last_announced_at, last_announced_at);
	// When a limit is raised, the next request does not wait for the longer interval of the old limit.
	const auto new_schedule = schedule_of(current);
	current.next_due_at = std::min(
		current.next_due_at, now + std::max({new_schedule.first, new_schedule.interval, tuning_.burst_time}));
	return current;
}

void announced_limits::record_response(
	const replica& sender, const limit_announcement& announcement, instant now)
{
	const auto* current = find(sender);
	if (!announcement.requests_per_s)
	{
		if (current != nullptr && announcement.sent_at > current->last_announced_at)
		{
			states_.erase(sender.id);
			removed_[sender.id] = {sender.incarnation, announcement.sent_at};
			changed_(sender, limit_change::removed, announcement);
		}
		return;
	}
	const bool is_new = current == nullptr;
	const bool is_changed = is_new || current->requests_per_s != *announcement.requests_per_s;
	set_limit(sender, *announcement.requests_per_s, now, now).last_received_at = now;
	if (is_changed)
	{
		changed_(sender, is_new ? limit_change::announced : limit_change::changed, announcement);
	}
}

void announced_limits::apply_peer_update(const replica& target, const limit_update& update, instant now)
{
	const auto learned_at = now - update.age;
	const auto* current = find(target);
	if (target.incarnation != update.incarnation ||
		(current != nullptr && current->last_announced_at >= learned_at))
	{
		return;
	}
	if (!update.requests_per_s)
	{
		if (current != nullptr)
		{
			states_.erase(target.id);
			changed_(target, limit_change::removed, {{}, learned_at, {}});
		}
		return;
	}
	if (is_removed_since(target, learned_at))
	{
		return;
	}
	const bool is_new = current == nullptr;
	static_cast<void>(set_limit(target, *update.requests_per_s, learned_at, now));
	if (is_new)
	{
		changed_(target, limit_change::announced, {update.requests_per_s, learned_at, {}});
	}
}

bool announced_limits::is_removed_since(const replica& target, instant at) const
{
	const auto found = removed_.find(target.id);
	return found != removed_.end() && found->second.incarnation == target.incarnation &&
		   found->second.removed_at >= at;
}

std::vector<limit_update> announced_limits::local_updates(instant now) const
{
	std::vector<limit_update> updates;
	for (const auto& [id, limit] : states_)
	{
		if (limit.last_received_at && now - *limit.last_received_at <= tuning_.report_lifetime)
		{
			updates.push_back({id, limit.incarnation, limit.requests_per_s, now - *limit.last_received_at});
		}
	}
	for (const auto& [id, limit] : removed_)
	{
		if (now - limit.removed_at <= tuning_.report_lifetime)
		{
			updates.push_back({id, limit.incarnation, std::nullopt, now - limit.removed_at});
		}
	}
	return updates;
}

void announced_limits::forget(const replica_id& id)
{
	states_.erase(id);
	removed_.erase(id);
}

bool announced_limits::allows_request(const replica& target, instant now) const
{
	const auto* current = find(target);
	return current == nullptr || (vms_.is_known_to_others(now) && now >= next_send_time(*current));
}

void announced_limits::record_sent(const replica& target, instant now)
{
	if (find(target) != nullptr)
	{
		auto& current = states_.at(target.id);
		current.next_due_at = std::max(current.next_due_at, now) + schedule_of(current).interval;
	}
}

std::optional<duration> announced_limits::time_until_allowed(const service_id& service, instant now) const
{
	std::optional<duration> shortest;
	for (const auto& [id, limit] : states_)
	{
		if (limit.service == service)
		{
			const auto wait = std::max(next_send_time(limit) - now, duration{0});
			shortest = std::min(shortest.value_or(wait), wait);
		}
	}
	return shortest;
}

instant announced_limits::next_send_time(const state& target) const
{
	return target.next_due_at - std::max(tuning_.burst_time - schedule_of(target).interval, duration{0});
}

announced_limits::schedule announced_limits::schedule_of(const state& target) const
{
	const auto limit = std::max(target.requests_per_s, min_limit);
	const auto vms = std::max(1.0, static_cast<double>(vms_.size()));
	const bool every_vm_has_share = vms <= 2 * limit + tuning_.burst;
	const auto shares = every_vm_has_share ? vms : std::floor(limit) + tuning_.burst;
	const auto position = static_cast<double>(target.rank.in(vms_)) + 1;
	if (position <= shares)
	{
		const auto interval_cap = tuning_.max_interval;
		return {std::min(to_duration(position / limit), interval_cap),
			std::min(to_duration(shares / limit), interval_cap)};
	}
	const auto probe_rate = limit * tuning_.probe_share;
	return {to_duration(position / probe_rate), to_duration(vms / probe_rate)};
}
} // namespace gingerdyke::routing
