// SPDX-License-Identifier: MIT
// Times for which replicas want nothing from this VM.
#include <algorithm>
#include <gingerdyke/routing/rest_periods.hpp>

namespace gingerdyke::routing
{
void rest_periods::note_rest(const replica& from, duration span, const std::string& request, instant now)
{
	const auto left = std::min(span, tuning_.longest);
	auto& known = states_[from.id];
	if (known.incarnation != from.incarnation)
	{
		known = {from.incarnation, {}};
	}
	const bool is_longer = now + left > known.until;
	const bool is_told = known.until > now;
	known.until = std::max(known.until, now + left);
	if (is_longer && !is_told)
	{
		began_(from, request, left);
	}
}

std::size_t rest_periods::count(instant now) const
{
	return static_cast<std::size_t>(std::count_if(
		states_.begin(), states_.end(), [&](const auto& entry) { return entry.second.until > now; }));
}
} // namespace gingerdyke::routing
