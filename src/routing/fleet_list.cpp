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
	++generation_;
	members_.clear();
	bool is_listed = false;
	for (const auto& vm : vms)
	{
		members_.push_back({stable_hash(vm.id.str()), stable_hash(vm.domain.str())});
		if (vm.id == self)
		{
			self_ = members_.back();
			is_listed = true;
		}
	}
	listed_at_ = is_listed ? std::optional{listed_at_.value_or(now)} : std::nullopt;
}

void fleet_list::confirm(instant confirmed_at)
{
	confirmed_at_ = std::max(confirmed_at_.value_or(confirmed_at), confirmed_at);
}

bool fleet_list::is_fresh(instant now) const
{
	return confirmed_at_ && now - *confirmed_at_ <= tuning_.lifetime;
}

bool fleet_list::is_known_to_others(instant now) const
{
	return listed_at_ && now - *listed_at_ > tuning_.lifetime;
}

std::size_t fleet_list::rank(std::uint64_t replica) const
{
	std::map<std::uint64_t, std::vector<std::uint64_t>> by_domain;
	for (const auto& member : members_)
	{
		by_domain[member.domain].push_back(mix_hash(replica, member.hash));
	}
	const auto own = mix_hash(replica, self_.hash);
	auto& local = by_domain[self_.domain];
	const auto local_rank = static_cast<std::size_t>(
		std::count_if(local.begin(), local.end(), [&](std::uint64_t vm) { return vm < own; }));
	std::size_t preceding = 0;
	for (auto& [domain, hashes] : by_domain)
	{
		std::sort(hashes.begin(), hashes.end());
		preceding += std::min(local_rank, hashes.size());
		const bool precedes_in_round = local_rank < hashes.size() && hashes[local_rank] < own;
		preceding += precedes_in_round ? 1 : 0;
	}
	return preceding;
}

std::size_t fleet_rank::in(const fleet_list& vms) const
{
	if (cached_generation_ != vms.generation())
	{
		cached_rank_ = vms.rank(replica_);
		cached_generation_ = vms.generation();
	}
	return cached_rank_;
}
} // namespace gingerdyke::routing
