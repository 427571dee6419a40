// SPDX-License-Identifier: MIT
// How much of a service's room is in use.
#include <algorithm>
#include <gingerdyke/routing/service_room.hpp>

namespace gingerdyke::routing
{
service_room::service_room(const replica_set& replicas, const replica_selector& selector,
	replica_filter may_use, change_hook changed, random_source random, service_room_tuning tuning)
	: replicas_(replicas), selector_(selector), may_use_(std::move(may_use)), changed_(std::move(changed)),
	  random_(std::move(random)), tuning_(tuning)
{
}

double service_room::slots_in_use(const service_id& service, instant now)
{
	auto& state = states_[service];
	if (!state.updated_at || now - *state.updated_at >= tuning_.update_interval)
	{
		state.updated_at = now;
		state.share = share_of(service, now);
		update_shortage(service, state);
	}
	return state.share;
}

void service_room::update_shortage(const service_id& service, service_state& state) const
{
	const auto limit = state.is_short ? tuning_.short_until : tuning_.short_from;
	const bool is_short = state.share >= limit;
	if (is_short != state.is_short)
	{
		state.is_short = is_short;
		changed_({service, state.share}, is_short);
	}
}

std::vector<slots_used> service_room::shares() const
{
	std::vector<slots_used> all;
	all.reserve(states_.size());
	for (const auto& [service, state] : states_)
	{
		all.push_back({service, state.share});
	}
	return all;
}

double service_room::share_of(const service_id& service, instant now) const
{
	const auto& all = replicas_.of_service(service);
	const bool excludes_suspected = replicas_.excludes_suspected(service);
	const bool counts_all = all.size() <= tuning_.max_counted;
	const auto counted = std::min(all.size(), tuning_.max_counted);
	slot_count sum;
	for (std::size_t i = 0; i < counted; ++i)
	{
		const auto& candidate = *all[counts_all ? i : random_below(random_, all.size())];
		const bool is_excluded = excludes_suspected && replicas_.is_suspected(candidate.id);
		if (!candidate.is_draining && !is_excluded && may_use_(candidate, now))
		{
			add(sum, candidate, now);
		}
	}
	const auto taken = std::max(sum.taken, sum.own_requests * scale_of(sum.own_requests, now));
	return sum.slots == 0 ? 0 : std::min(1.0, taken / sum.slots);
}

void service_room::add(slot_count& sum, const replica& of, instant now) const
{
	if (of.slots == 0)
	{
		return;
	}
	sum.slots += of.slots;
	sum.taken += std::min<double>(of.slots, selector_.requests_at(of, now));
	sum.own_requests += selector_.requests_in_progress(of);
}

/// Factor by which this VM's own requests stand for those of all VMs; 0 if they are not needed, or too few.
double service_room::scale_of(double own_requests, instant now) const
{
	const bool are_needed = !selector_.has_remote_work(now) && own_requests >= tuning_.min_own_requests;
	return are_needed ? static_cast<double>(vm_count_) : 0;
}
} // namespace gingerdyke::routing
