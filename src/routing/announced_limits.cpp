// SPDX-License-Identifier: MIT
// Requests a second that replicas in need ask for in their answers.
#include <gingerdyke/routing/announced_limits.hpp>

namespace gingerdyke::routing
{
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

const announced_limits::state* announced_limits::find(const replica& one) const
{
	const auto found = states_.find(one.id);
	const bool is_known = found != states_.end() && found->second.incarnation == one.incarnation;
	return is_known ? &found->second : nullptr;
}

void announced_limits::note_answer(const replica& from, const limit_statement& said, instant now)
{
	const auto* known = find(from);
	if (!said.requests_per_s)
	{
		if (known != nullptr && said.sent_at > known->named_at)
		{
			states_.erase(from.id);
			changed_(from, limit_change::over, said);
		}
		return;
	}
	const bool is_new = known == nullptr;
	const bool differs = is_new || known->requests_per_s != *said.requests_per_s;
	states_[from.id] = {from.incarnation, *said.requests_per_s, now};
	if (differs)
	{
		changed_(from, is_new ? limit_change::named : limit_change::changed, said);
	}
}
} // namespace gingerdyke::routing
