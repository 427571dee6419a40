// SPDX-License-Identifier: MIT
// Times for which replicas want nothing from this VM.
#include <algorithm>
#include <gingerdyke/base/crypto.hpp>
#include <gingerdyke/base/random.hpp>
#include <gingerdyke/routing/rest_periods.hpp>

namespace gingerdyke::routing
{
const rest_periods::state* rest_periods::find(const replica& one) const
{
	const auto found = states_.find(one.id);
	const bool is_known = found != states_.end() && found->second.incarnation == one.incarnation;
	return is_known ? &found->second : nullptr;
}

void rest_periods::note_rest(const replica& from, duration span, const std::string& request, instant now)
{
	if (span <= duration{0})
	{
		return;
	}
	const auto left = std::min(span, tuning_.longest);
	const auto longest_spread = std::min(scaled(left, tuning_.spread), tuning_.longest_spread);
	const auto until = now + left + scaled(longest_spread, to_unit_interval(stable_hash(request)));
	const auto* before = find(from);
	const bool is_told = before != nullptr && before->until > now;
	const auto kept = before == nullptr ? until : std::max(before->until, until);
	states_.insert_or_assign(from.id, state{from.incarnation, from.service, kept, {}});
	if (!is_told)
	{
		began_(from, request, left);
	}
}

void rest_periods::note_answer(const replica& from, instant sent_at)
{
	const auto* known = find(from);
	if (known != nullptr && sent_at >= known->until)
	{
		states_.erase(from.id);
	}
}

void rest_periods::note_sent(const replica& one, instant now)
{
	if (find(one) != nullptr && !is_resting(one, now))
	{
		states_.at(one.id).first_sent = now;
	}
}

bool rest_periods::is_resting(const replica& one, instant now) const
{
	const auto* known = find(one);
	return known != nullptr && now < known->until;
}

bool rest_periods::takes(const replica& one, instant now) const
{
	const auto* known = find(one);
	if (known == nullptr)
	{
		return true;
	}
	const bool waits_for_first = known->first_sent && now - *known->first_sent < tuning_.answer_time;
	return now >= known->until && !waits_for_first;
}

std::optional<duration> rest_periods::time_until_back(const service_id& service, instant now) const
{
	std::optional<duration> shortest;
	for (const auto& [id, one] : states_)
	{
		if (one.service == service && one.until > now)
		{
			const auto left = one.until - now;
			shortest = std::min(shortest.value_or(left), left);
		}
	}
	return shortest;
}

std::size_t rest_periods::count(instant now) const
{
	return static_cast<std::size_t>(std::count_if(
		states_.begin(), states_.end(), [&](const auto& entry) { return entry.second.until > now; }));
}
} // namespace gingerdyke::routing
