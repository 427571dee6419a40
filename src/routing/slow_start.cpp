// SPDX-License-Identifier: MIT
// Slow start: which replicas are cold, and this VM's part of what they bear.
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
	case cold_reason::told:
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

void slow_start::note_told(const replica& one, instant now)
{
	if (one.cold_left)
	{
		extend(one, *one.cold_left, cold_reason::told, now);
	}
}

void slow_start::note_unknown(const replica& one, cold_reason reason, instant now)
{
	const auto limit = limits_.find(one.service);
	if (limit != limits_.end())
	{
		extend(one, limit->second.start_time, reason, now);
	}
}

void slow_start::extend(const replica& one, duration left, cold_reason reason, instant now)
{
	const auto until = now + left;
	auto& known =
		states_.try_emplace(one.id, state{one.service, {}, fleet_rank{stable_hash(one.id.str())}, {}})
			.first->second;
	const bool was_cold = known.cold_until > now;
	known.cold_until = std::max(known.cold_until, until);
	if (!was_cold && find_cold(one, now) != nullptr)
	{
		began_(one, reason, left);
	}
	if (known.cold_until <= now)
	{
		states_.erase(one.id);
	}
}

const slow_start::state* slow_start::find_cold(const replica& one, instant now) const
{
	const auto found = states_.find(one.id);
	const bool is_cold =
		found != states_.end() && found->second.cold_until > now && limits_.contains(one.service);
	return is_cold ? &found->second : nullptr;
}

bool slow_start::is_cold(const replica& one, instant now) const
{
	return find_cold(one, now) != nullptr;
}

bool slow_start::takes(const replica& one, instant now) const
{
	const auto* cold = find_cold(one, now);
	if (cold == nullptr)
	{
		return true;
	}
	const auto lately = std::count_if(cold->sent.begin(), cold->sent.end(),
		[&](instant sent_at) { return now - sent_at <= tuning_.window; });
	return static_cast<std::size_t>(lately) < share_of(*cold, now);
}

bool slow_start::has_list(instant now) const
{
	return vms_.is_fresh(now) && vms_.is_known_to_others(now);
}

std::size_t slow_start::share_of(const state& of, instant now) const
{
	if (!has_list(now))
	{
		return 0;
	}
	const auto limit = static_cast<std::size_t>(std::floor(limits_.at(of.service).requests_per_s));
	if (vms_.size() <= limit)
	{
		return limit / vms_.size();
	}
	return of.place.in(vms_) < limit ? 1 : 0;
}

void slow_start::note_sent(const replica& one, instant now)
{
	const auto found = states_.find(one.id);
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

void slow_start::note_left(const replica& one, instant sent_at, instant now)
{
	const auto found = states_.find(one.id);
	if (found == states_.end())
	{
		return;
	}
	auto& sent = found->second.sent;
	const auto noted = std::find(sent.begin(), sent.end(), sent_at);
	if (noted != sent.end())
	{
		sent.erase(noted);
		sent.push_back(now);
	}
}

std::optional<duration> slow_start::time_until_warm(const service_id& service, instant now) const
{
	std::optional<duration> shortest;
	for (const auto& [id, one] : states_)
	{
		if (one.service == service && one.cold_until > now && limits_.contains(service))
		{
			const auto left = one.cold_until - now;
			shortest = std::min(shortest.value_or(left), left);
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
