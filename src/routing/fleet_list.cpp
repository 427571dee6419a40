// SPDX-License-Identifier: MIT
// The VMs that send to the same replicas.
#include <algorithm>
#include <gingerdyke/base/crypto.hpp>
#include <gingerdyke/routing/fleet_list.hpp>
#include <map>

namespace gingerdyke::routing
{
void fleet_list::set(const vm_id& self, const std::vector<fleet_member>& vms, instant now)
{
	++number_;
	members_.clear();
	bool is_listed = false;
	for (const auto& one : vms)
	{
		members_.push_back({stable_hash(one.id.str()), stable_hash(one.domain.str())});
		if (one.id == self)
		{
			self_ = members_.back();
			is_listed = true;
		}
	}
	listed_at_ = is_listed ? std::optional{listed_at_.value_or(now)} : std::nullopt;
}

void fleet_list::confirm(instant newest_at)
{
	newest_at_ = std::max(newest_at_.value_or(newest_at), newest_at);
}

bool fleet_list::is_fresh(instant now) const
{
	return newest_at_ && now - *newest_at_ <= tuning_.lifetime;
}

bool fleet_list::is_known_to_others(instant now) const
{
	return listed_at_ && now - *listed_at_ > tuning_.lifetime;
}

std::size_t fleet_list::rank(std::uint64_t replica) const
{
	std::map<std::uint64_t, std::vector<std::uint64_t>> by_domain;
	for (const auto& one : members_)
	{
		by_domain[one.domain].push_back(mix_hash(replica, one.hash));
	}
	const auto own = mix_hash(replica, self_.hash);
	auto& near = by_domain[self_.domain];
	const auto turn = static_cast<std::size_t>(
		std::count_if(near.begin(), near.end(), [&](std::uint64_t vm) { return vm < own; }));
	std::size_t before = 0;
	for (auto& [domain, places] : by_domain)
	{
		std::sort(places.begin(), places.end());
		before += std::min(turn, places.size());
		const bool is_first_of_turn = turn < places.size() && places[turn] < own;
		before += is_first_of_turn ? 1 : 0;
	}
	return before;
}

std::size_t fleet_rank::in(const fleet_list& vms) const
{
	if (list_ != vms.number())
	{
		rank_ = vms.rank(replica_);
		list_ = vms.number();
	}
	return rank_;
}
} // namespace gingerdyke::routing
