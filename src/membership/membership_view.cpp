// SPDX-License-Identifier: MIT
// Membership as seen by this VM.
#include <algorithm>
#include <gingerdyke/base/crypto.hpp>
#include <gingerdyke/membership/membership_view.hpp>

namespace gingerdyke::membership
{
std::uint64_t rendezvous_weight(std::string_view key, const vm_id& vm) noexcept
{
	return mix_hash(stable_hash(key), stable_hash(vm.str()));
}

membership_view::membership_view(member self, const std::vector<member>& seeds) : self_(std::move(self))
{
	list_.members = seeds;
	rebuild_index();
}

bool membership_view::apply(const member_list& list)
{
	if (list.list_revision <= list_.list_revision)
	{
		return false;
	}
	list_ = list;
	rebuild_index();
	return true;
}

void membership_view::record_draining(const vm_id& vm)
{
	if (announced_draining_.insert(vm).second)
	{
		rebuild_index();
	}
}

void membership_view::rebuild_index()
{
	++generation_;
	by_id_.clear();
	live_entries_.clear();
	for (const auto& listed : list_.members)
	{
		by_id_[listed.vm] = listed;
	}
	by_id_.try_emplace(self_.vm, self_);
	for (const auto& [id, vm_member] : by_id_)
	{
		const bool is_live = vm_member.state == member_state::live && !announced_draining_.contains(id);
		if (vm_member.kind == member_kind::entry && (is_live || id == self_.vm))
		{
			live_entries_[vm_member.failure_domain].push_back(id);
		}
	}
}

std::vector<vm_id> membership_view::entries_of(const failure_domain_id& domain) const
{
	const auto found = live_entries_.find(domain);
	return found == live_entries_.end() ? std::vector<vm_id>{} : found->second;
}

std::vector<vm_id> membership_view::entries_outside(const failure_domain_id& domain) const
{
	std::vector<vm_id> result;
	for (const auto& [other, vms] : live_entries_)
	{
		if (other != domain)
		{
			result.insert(result.end(), vms.begin(), vms.end());
		}
	}
	return result;
}

std::vector<vm_id> membership_view::entries() const
{
	return entries_outside(failure_domain_id{});
}

std::size_t membership_view::rank_in_domain(std::string_view key) const
{
	const auto own_weight = rendezvous_weight(key, self_.vm);
	const auto vms = entries_of(self_.failure_domain);
	return static_cast<std::size_t>(std::count_if(
		vms.begin(), vms.end(), [&](const vm_id& vm) { return rendezvous_weight(key, vm) > own_weight; }));
}

vm_id membership_view::owner_in(const failure_domain_id& domain, std::string_view key) const
{
	const auto vms = entries_of(domain);
	const auto has_lower_weight = [&](const vm_id& a, const vm_id& b)
	{ return rendezvous_weight(key, a) < rendezvous_weight(key, b); };
	const auto found = std::max_element(vms.begin(), vms.end(), has_lower_weight);
	return found == vms.end() ? vm_id{} : *found;
}

std::set<failure_domain_id> membership_view::domains() const
{
	std::set<failure_domain_id> result;
	for (const auto& [domain, vms] : live_entries_)
	{
		result.insert(domain);
	}
	return result;
}

const member* membership_view::find(const vm_id& vm) const
{
	const auto found = by_id_.find(vm);
	return found == by_id_.end() ? nullptr : &found->second;
}

bool membership_view::is_upstream_draining(const vm_id& vm) const
{
	const auto* known = find(vm);
	return known != nullptr && known->state != member_state::live;
}

std::vector<vm_id> sample(std::vector<vm_id> from, std::size_t count, const random_source& random)
{
	const auto sample_size = std::min(count, from.size());
	for (std::size_t i = 0; i < sample_size; ++i)
	{
		std::swap(from[i], from[i + random_below(random, from.size() - i)]);
	}
	from.resize(sample_size);
	return from;
}
} // namespace gingerdyke::membership
