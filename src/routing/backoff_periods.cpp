// SPDX-License-Identifier: MIT
// Back-off periods that replicas request.
#include <algorithm>
#include <gingerdyke/base/crypto.hpp>
#include <gingerdyke/base/random.hpp>
#include <gingerdyke/routing/backoff_periods.hpp>

namespace gingerdyke::routing
{
const backoff_periods::state* backoff_periods::find(const replica& target) const
{
	const auto found = states_.find(target.id);
	const bool is_current = found != states_.end() && found->second.incarnation == target.incarnation;
	return is_current ? &found->second : nullptr;
}

void backoff_periods::record_backoff(
	const replica& sender, duration length, const std::string& request, instant now)
{
	if (length <= duration{0})
	{
		return;
	}
	const auto capped = std::min(length, tuning_.max_length);
	const auto spread = std::min(scaled(capped, tuning_.resume_spread), tuning_.max_resume_spread);
	const auto until = now + capped + scaled(spread, to_unit_interval(stable_hash(request)));
	const auto* previous = find(sender);
	const bool is_already_backing_off = previous != nullptr && previous->until > now;
	const auto latest = previous == nullptr ? until : std::max(previous->until, until);
	states_.insert_or_assign(sender.id, state{sender.incarnation, sender.service, latest, {}});
	if (!is_already_backing_off)
	{
		began_(sender, request, capped);
	}
}

void backoff_periods::record_response(const replica& sender, instant sent_at)
{
	const auto* current = find(sender);
	if (current != nullptr && sent_at >= current->until)
	{
		states_.erase(sender.id);
	}
}

void backoff_periods::record_sent(const replica& target, instant now)
{
	if (find(target) != nullptr && !is_backing_off(target, now))
	{
		states_.at(target.id).first_sent = now;
	}
}

bool backoff_periods::is_backing_off(const replica& target, instant now) const
{
	const auto* current = find(target);
	return current != nullptr && now < current->until;
}

bool backoff_periods::allows_request(const replica& target, instant now) const
{
	const auto* current = find(target);
	if (current == nullptr)
	{
		return true;
	}
	const bool is_first_pending =
		current->first_sent && now - *current->first_sent < tuning_.response_timeout;
	return now >= current->until && !is_first_pending;
}

std::optional<duration> backoff_periods::time_until_resumed(const service_id& service, instant now) const
{
	std::optional<duration> shortest;
	for (const auto& [id, backoff] : states_)
	{
		if (backoff.service == service && backoff.until > now)
		{
			const auto remaining = backoff.until - now;
			shortest = std::min(shortest.value_or(remaining), remaining);
		}
	}
	return shortest;
}

std::size_t backoff_periods::count(instant now) const
{
	return static_cast<std::size_t>(std::count_if(
		states_.begin(), states_.end(), [&](const auto& entry) { return entry.second.until > now; }));
}
} // namespace gingerdyke::routing
