// SPDX-License-Identifier: MIT
// Decides, for each request of this VM's callers, whether the service has room for it.
#include <algorithm>
#include <gingerdyke/limits/admission_control.hpp>

namespace gingerdyke::limits
{
service_load sum_of(const service_load& first, const service_load& second)
{
	auto sum = first;
	for (admission_rank rank = 0; rank < rank_count; ++rank)
	{
		sum.arrivals_per_s[rank] += second.arrivals_per_s[rank];
	}
	sum.responses_per_s += second.responses_per_s;
	sum.in_time_per_s += second.in_time_per_s;
	sum.rejections_per_s += second.rejections_per_s;
	sum.vms += second.vms;
	if (sum.responses_per_s > 0)
	{
		const auto second_share = second.responses_per_s / sum.responses_per_s;
		sum.mean_response += scaled(second.mean_response - first.mean_response, second_share);
	}
	return sum;
}

service_load fleet_load(const service_load& own, const service_load* others, std::size_t vms)
{
	auto total = others == nullptr ? own : sum_of(own, *others);
	const auto known = std::max(1U, total.vms);
	const auto scale = std::max(1.0, static_cast<double>(vms) / static_cast<double>(known));
	for (auto& arrivals : total.arrivals_per_s)
	{
		arrivals *= scale;
	}
	total.responses_per_s *= scale;
	total.in_time_per_s *= scale;
	total.rejections_per_s *= scale;
	return total;
}

admission_control::admission_control(
	bool sheds, random_source random, change_hook changed, slots_hook slots, admission_control_tuning tuning)
	: sheds_(sheds), random_(std::move(random)), changed_(std::move(changed)), slots_(std::move(slots)),
	  tuning_(tuning), meter_(tuning.meter)
{
}

void admission_control::set_peer_loads(const std::vector<service_load>& loads, instant now)
{
	peer_loads_.clear();
	for (const auto& load : loads)
	{
		peer_loads_[load.service] = load;
	}
	idle_peers_ = {};
	idle_peers_.vms = loads.empty() ? 0 : loads.front().vms;
	peer_loads_at_ = now;
	update_short_services(now);
}

/// A VM that sends a service few requests would learn with the next of them that there is room again.
void admission_control::update_short_services(instant now)
{
	for (auto& [service, state] : states_)
	{
		if (state.room.admitted_per_s() && is_update_due(state, now))
		{
			update(service, state, now);
		}
	}
}

bool admission_control::is_update_due(const service_state& state, instant now) const
{
	return !state.updated_at || now - *state.updated_at >= tuning_.update_interval;
}

/// VMs name the services only that they send something to.
const service_load* admission_control::peer_load(const service_id& service, instant now) const
{
	if (now - peer_loads_at_ > tuning_.peer_load_lifetime)
	{
		return nullptr;
	}
	const auto found = peer_loads_.find(service);
	if (found != peer_loads_.end())
	{
		return &found->second;
	}
	return idle_peers_.vms > 0 ? &idle_peers_ : nullptr;
}

std::optional<duration> admission_control::admit(
	const service_id& service, admission_rank rank, double work, instant now)
{
	meter_.record_arrival(service, rank, work, now);
	if (!sheds_)
	{
		return std::nullopt;
	}
	auto& state = states_.try_emplace(service, random_, tuning_.room).first->second;
	if (is_update_due(state, now))
	{
		update(service, state, now);
	}
	const auto room = state.room.admitted_per_s();
	if (!room || state.gate.admit(rank))
	{
		return std::nullopt;
	}
	++state.refused;
	return time_until_room(*room, state.total.arrivals_per_s, rank, tuning_.admission);
}

void admission_control::update(const service_id& service, service_state& state, instant now)
{
	const bool was_short = state.room.admitted_per_s().has_value();
	const bool is_outdated = state.updated_at && now - *state.updated_at > tuning_.room_lifetime;
	if (was_short && is_outdated)
	{
		state.room = room_estimator{tuning_.room};
	}
	const auto* others = peer_load(service, now);
	state.total = fleet_load(meter_.load_of(service, now), others, vm_count_);
	const auto known = std::max<std::size_t>(1, (others == nullptr ? 0 : others->vms) + 1);
	const auto known_share =
		std::min(1.0, static_cast<double>(known) / static_cast<double>(std::max(vm_count_, known)));
	const auto metered_share = others == nullptr ? meter_.observed_share(now) : 1.0;
	const auto observed = scaled(tuning_.meter.time_constant, known_share * metered_share);
	const auto slots = slots_ ? slots_(service) : service_slots{};
	state.room.update(state.total, observed, slots, now);
	state.updated_at = now;
	const auto room = state.room.admitted_per_s();
	if (room)
	{
		state.gate.set_shares(divide_room(*room, state.total.arrivals_per_s, tuning_.admission));
	}
	if (was_short != room.has_value() && changed_)
	{
		changed_({service, room, state.total, others == nullptr ? duration{0} : now - peer_loads_at_});
	}
}

std::vector<admission_control::admitted_room> admission_control::rooms() const
{
	std::vector<admitted_room> all;
	for (const auto& [service, state] : states_)
	{
		all.push_back({service, state.room.admitted_per_s(), state.refused});
	}
	return all;
}
} // namespace gingerdyke::limits
