// SPDX-License-Identifier: MIT
// Replicas that are believed to have no room for a further request.
#include <gingerdyke/routing/full_replicas.hpp>
#include <gingerdyke/routing/urgency.hpp>

namespace gingerdyke::routing
{
void full_replicas::record_rejection(const replica& by, unsigned priority, instant now)
{
	// Where a more urgent request was rejected lately, this one tells nothing new.
	const bool is_known = has_rejected(by, priority, now) && rejections_[by.id].priority < priority;
	if (!is_known)
	{
		rejections_[by.id] = {by.incarnation, priority, now};
	}
}

bool full_replicas::is_full(const replica& target, unsigned priority, instant now) const
{
	if (has_rejected(target, priority, now))
	{
		return true;
	}
	const auto queue_share =
		by_urgency(priority, tuning_.queue_share_urgent, tuning_.queue_share_least_urgent);
	return target.slots > 0 && selector_.requests_at(target, now) >= target.slots * (1 + queue_share);
}

bool full_replicas::has_rejected(const replica& target, unsigned priority, instant now) const
{
	const auto found = rejections_.find(target.id);
	return found != rejections_.end() && found->second.incarnation == target.incarnation &&
		   priority >= found->second.priority && now - found->second.at < tuning_.rejection_lifetime;
}
} // namespace gingerdyke::routing
