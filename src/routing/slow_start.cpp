// SPDX-License-Identifier: MIT
// Slow start: which replicas are cold, and this VM's share of their limits.
#include <algorithm>
#include <cmath>
#include <gingerdyke/base/crypto.hpp>
#include <gingerdyke/routing/slow_start.hpp>

namespace gingerdyke::routing
{
const char* name_of(cold_reason reason) noexcept
{
	switch (reason)
	{
	case cold_reason::announced:
		return "told";
	case cold_reason::started:
		return "started";
	case cold_reason::unreachable:
		return "unreachable";
	case cold_reason::evacuated:
		return "evacuated";
	}
	return "unknown";
}

slow_start::slow_start(const fleet_list& vms, cold_hook began, slow_start_tuning tuning)
	: vms_(vms), began_(std::move(began)), tuning_(tuning)
{
}

void slow_start::apply_entry(const replica& target, instant now)
{
	if (target.remaining_warmup)
	{
		extend(target, *target.remaining_warmup, cold_reason::announced, now);
	}
}

void slow_start::assume_cold(const replica& target, cold_reason reason, instant now)
{
	const auto limit = limits_.find(target.service);
	if (limit != limits_.end())
	{
		extend(target, limit->second.warmup_time, reason, now);
	}
}

void slow_start::extend(const replica& target, duration remaining, cold_reason reason, instant now)
{
	const auto until = now + remaining;
	auto& current =
		states_
			.try_emplace(target.id, state{target.service, {}, fleet_rank{stable_hash(target.id.str())}, {}})
			.first->second;
	const bool was_cold = current.cold_until > now;
	current.cold_until = std::max(current.cold_until, until);
	if (!was_cold && find_cold(target, now) != nullptr)
	{
		began_(target, reason, remaining);
	}
	if (current.cold_until <= now)
	{
		states_.erase(target.id);
	}
}

const slow_start::state* slow_start::find_cold(const replica& target, instant now) const
{
	const auto found = states_.find(target.id);
	const bool is_cold =
		found != states_.end() && found->second.cold_until > now && limits_.contains(target.service);
	return is_cold ? &found->second : nullptr;
}

bool slow_start::is_cold(const replica& target, instant now) const
{
	return find_cold(target, now) != nullptr;
}

bool slow_start::allows_request(const replica& target, instant now) const
{
	const auto* cold = find_cold(target, now);
	if (cold == nullptr)
	{
		return true;
	}
	const auto recent = std::count_if(cold->sent.begin(), cold->sent.end(),
		[&](instant sent_at) { return now - sent_at <= tuning_.window; });
	return static_cast<std::size_t>(recent) < share_of(*cold, now);
}

bool slow_start::is_list_usable(instant now) const
{
	return vms_.is_fresh(now) && vms_.is_known_to_others(now);
}

std::size_t slow_start::share_of(const state& target, instant now) const
{
	if (!is_list_usable(now))
	{
		return 0;
	}
	const auto limit = static_cast<std::size_t>(std::floor(limits_.at(target.service).requests_per_s));
	if (vms_.size() <= limit)
	{
		return limit / vms_.size();
	}
	return target.rank.in(vms_) < limit ? 1 : 0;
}

void slow_start::record_sent(const replica& target, instant now)
{
	const auto found = states_.find(target.id);
	if (found == states_.end())
	{
		return;
	}
	auto& sent = found->second.sent;
	while (!sent.empty() && now - sent.front() > tuning_.window)
	{
		sent.pop_front();
	}
	sent.push_back(now);
}

void slow_start::update_sent_time(const replica& target, instant sent_at, instant now)
{
	const auto found = states_.find(target.id);
	if (found == states_.end())
	{
		return;
	}
	auto& sent = found->second.sent;
	const auto recorded = std::find(sent.begin(), sent.end(), sent_at);
	if (recorded != sent.end())
	{
		sent.erase(recorded);
		sent.push_back(now);
	}
}

std::optional<duration> slow_start::time_until_warm(const service_id& service, instant now) const
{
	std::optional<duration> shortest;
	for (const auto& [id, state] : states_)
	{
		if (state.service == service && state.cold_until > now && limits_.contains(service))
		{
			const auto remaining = state.cold_until - now;
			shortest = std::min(shortest.value_or(remaining), remaining);
		}
	}
	return shortest;
}

std::size_t slow_start::cold_count(instant now) const
{
	return static_cast<std::size_t>(std::count_if(states_.begin(), states_.end(),
		[&](const auto& entry)
		{ return entry.second.cold_until > now && limits_.contains(entry.second.service); }));
}
} // namespace gingerdyke::routing
