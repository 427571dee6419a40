// SPDX-License-Identifier: MIT
// Membership as seen by this VM: the platform's list, which lags behind, updated by what other VMs announced
// directly.
#pragma once

#include <gingerdyke/base/effect.hpp>
#include <gingerdyke/base/ids.hpp>
#include <gingerdyke/base/random.hpp>
#include <gingerdyke/membership/member.hpp>
#include <map>
#include <set>
#include <string_view>
#include <vector>

namespace gingerdyke::membership
{
/// \brief Weight of a VM for a key in rendezvous hashing; the VM with the highest weight owns the key.
[[nodiscard]] std::uint64_t rendezvous_weight(std::string_view key, const vm_id& vm) noexcept;

/// \brief The VMs known to this VM. The platform's newest list replaces the previous one entirely, except
/// that a VM counts as draining as soon as it has announced it.
class membership_view
{
  public:
	/// \param self This VM.
	/// \param seeds Entry VMs from the settings, used until the first list arrives.
	membership_view(member self, const std::vector<member>& seeds);

	/// \brief Replaces the list if the given one is newer.
	/// \returns Whether it was newer.
	bool apply(const member_list& list);

	/// \brief Records that a VM announced that it is draining.
	void record_draining(const vm_id& vm);

	/// \brief Counter that grows with each change, for callers that cache results derived from the
	/// membership.
	[[nodiscard]] std::uint64_t generation() const noexcept { return generation_; }

	[[nodiscard]] std::int64_t list_revision() const noexcept { return list_.list_revision; }
	[[nodiscard]] const member_list& list() const noexcept { return list_; }
	[[nodiscard]] const member& self() const noexcept { return self_; }

	/// \brief Returns the live entry VMs of a failure domain, this VM included, ordered by id.
	[[nodiscard]] std::vector<vm_id> entries_of(const failure_domain_id& domain) const;

	/// \brief Returns the live entry VMs of all failure domains but one.
	[[nodiscard]] std::vector<vm_id> entries_outside(const failure_domain_id& domain) const;

	/// \brief Returns all live entry VMs.
	[[nodiscard]] std::vector<vm_id> entries() const;

	/// \brief Returns the rank of this VM among the entry VMs of its failure domain by their weight for a
	/// key; rank 0 owns the key.
	[[nodiscard]] std::size_t rank_in_domain(std::string_view key) const;

	/// \brief Returns the owner of a key in a failure domain; an empty id if the domain has no live entry VM.
	[[nodiscard]] vm_id owner_in(const failure_domain_id& domain, std::string_view key) const;

	/// \brief Returns the failure domains that have live entry VMs.
	[[nodiscard]] std::set<failure_domain_id> domains() const;

	/// \brief Returns a listed VM; null if it was never listed.
	[[nodiscard]] const member* find(const vm_id& vm) const;

	/// \brief Returns whether an upstream VM is draining or gone. A VM that was never listed counts as live.
	[[nodiscard]] bool is_upstream_draining(const vm_id& vm) const;

  private:
	void rebuild_index();

	member self_;
	member_list list_;
	std::map<vm_id, member> by_id_;
	std::map<failure_domain_id, std::vector<vm_id>> live_entries_;
	std::set<vm_id> announced_draining_;
	std::uint64_t generation_ = 0;
};

/// \brief Returns a random sample without replacement.
[[nodiscard]] std::vector<vm_id> sample(
	std::vector<vm_id> from, std::size_t count, const random_source& random);
} // namespace gingerdyke::membership
