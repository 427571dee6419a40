// SPDX-License-Identifier: MIT
// Requests a second that replicas in need ask for in their answers, and this VM's part of them.
#include <algorithm>
#include <cmath>
#include <gingerdyke/base/crypto.hpp>
#include <gingerdyke/routing/announced_limits.hpp>

namespace gingerdyke::routing
{
namespace
{
/// A limit of none at all counts as this one: some request has to find out that the need is over.
constexpr double least_limit = 0.05;

duration seconds_of(double seconds)
{
	return std::chrono::duration_cast<duration>(std::chrono::duration<double>{seconds});
}
} // namespace

const char* name_of(limit_change change) noexcept
{
	switch (change)
	{
	case limit_change::named:
		return "named";
	case limit_change::changed:
		return "changed";
	case limit_change::over:
		return "over";
	}
	return "unknown";
}

announced_limits::announced_limits(const fleet_list& vms, change_hook changed, announced_limits_tuning tuning)
	: vms_(vms), changed_(std::move(changed)), tuning_(tuning)
{
}

const announced_limits::state* announced_limits::find(const replica& one) const
{
	const auto found = states_.find(one.id);
	const bool is_known = found != states_.end() && found->second.incarnation == one.incarnation;
	return is_known ? &found->second : nullptr;
}

announced_limits::state& announced_limits::put(
	const replica& of, double requests_per_s, instant named_at, instant now)
{
	if (find(of) == nullptr)
	{
		states_.erase(of.id);
		const fleet_rank place{stable_hash(of.id.str())};
		auto& made =
			states_.emplace(of.id, state{of.incarnation, of.service, place, requests_per_s, named_at, {}, {}})
				.first->second;
		made.next_due = now + pace_of(made).first;
		ended_.erase(of.id);
	}
	auto& known = states_.at(of.id);
	known.requests_per_s = requests_per_s;
	known.named_at = std::max(known.named_at, named_at);
	// A limit that has grown does not wait for the pace of before.
	const auto allowed = pace_of(known);
	known.next_due =
		std::min(known.next_due, now + std::max({allowed.first, allowed.interval, tuning_.burst_time}));
	return known;
}

void announced_limits::note_answer(const replica& from, const limit_statement& said, instant now)
{
	const auto* known = find(from);
	if (!said.requests_per_s)
	{
		if (known != nullptr && said.sent_at > known->named_at)
		{
			states_.erase(from.id);
			ended_[from.id] = {from.incarnation, said.sent_at};
			changed_(from, limit_change::over, said);
		}
		return;
	}
	const bool is_new = known == nullptr;
	const bool differs = is_new || known->requests_per_s != *said.requests_per_s;
	put(from, *said.requests_per_s, now, now).heard_at = now;
	if (differs)
	{
		changed_(from, is_new ? limit_change::named : limit_change::changed, said);
	}
}

void announced_limits::note_elsewhere(const replica& of, const limit_news& heard, instant now)
{
	const auto at = now - heard.age;
	const auto* known = find(of);
	if (of.incarnation != heard.incarnation || (known != nullptr && known->named_at >= at))
	{
		return;
	}
	if (!heard.requests_per_s)
	{
		if (known != nullptr)
		{
			states_.erase(of.id);
			changed_(of, limit_change::over, {{}, at, {}});
		}
		return;
	}
	if (is_over_since(of, at))
	{
		return;
	}
	const bool is_new = known == nullptr;
	static_cast<void>(put(of, *heard.requests_per_s, at, now));
	if (is_new)
	{
		changed_(of, limit_change::named, {heard.requests_per_s, at, {}});
	}
}

bool announced_limits::is_over_since(const replica& of, instant at) const
{
	const auto found = ended_.find(of.id);
	return found != ended_.end() && found->second.incarnation == of.incarnation &&
		   found->second.over_at >= at;
}

std::vector<limit_news> announced_limits::own_news(instant now) const
{
	std::vector<limit_news> news;
	for (const auto& [id, one] : states_)
	{
		if (one.heard_at && now - *one.heard_at <= tuning_.news_lifetime)
		{
			news.push_back({id, one.incarnation, one.requests_per_s, now - *one.heard_at});
		}
	}
	for (const auto& [id, one] : ended_)
	{
		if (now - one.over_at <= tuning_.news_lifetime)
		{
			news.push_back({id, one.incarnation, std::nullopt, now - one.over_at});
		}
	}
	return news;
}

void announced_limits::forget(const replica_id& id)
{
	states_.erase(id);
	ended_.erase(id);
}

bool announced_limits::takes(const replica& one, instant now) const
{
	const auto* known = find(one);
	return known == nullptr || (vms_.is_known_to_others(now) && now >= next_request(*known));
}

void announced_limits::note_sent(const replica& one, instant now)
{
	if (find(one) != nullptr)
	{
		auto& known = states_.at(one.id);
		known.next_due = std::max(known.next_due, now) + pace_of(known).interval;
	}
}

std::optional<duration> announced_limits::time_until_share(const service_id& service, instant now) const
{
	std::optional<duration> shortest;
	for (const auto& [id, one] : states_)
	{
		if (one.service == service)
		{
			const auto left = std::max(next_request(one) - now, duration{0});
			shortest = std::min(shortest.value_or(left), left);
		}
	}
	return shortest;
}

instant announced_limits::next_request(const state& of) const
{
	return of.next_due - std::max(tuning_.burst_time - pace_of(of).interval, duration{0});
}

announced_limits::pace announced_limits::pace_of(const state& of) const
{
	const auto limit = std::max(of.requests_per_s, least_limit);
	const auto vms = std::max(1.0, static_cast<double>(vms_.size()));
	const bool all_have_share = vms <= 2 * limit + tuning_.burst;
	const auto shares = all_have_share ? vms : std::floor(limit) + tuning_.burst;
	const auto turn = static_cast<double>(of.place.in(vms_)) + 1;
	if (turn <= shares)
	{
		const auto longest = tuning_.longest_interval;
		return {std::min(seconds_of(turn / limit), longest), std::min(seconds_of(shares / limit), longest)};
	}
	const auto probing = limit * tuning_.probing_share;
	return {seconds_of(turn / probing), seconds_of(vms / probing)};
}
} // namespace gingerdyke::routing
