// SPDX-License-Identifier: MIT
// The VMs that send to the same replicas, and this VM's rank among them.
#pragma once

#include <gingerdyke/base/ids.hpp>
#include <gingerdyke/base/units.hpp>
#include <optional>
#include <vector>

namespace gingerdyke::routing
{
/// \brief One VM that sends to the replicas.
struct fleet_member
{
	vm_id id;
	failure_domain_id domain;
};

/// \brief Tuning of `fleet_list`.
struct fleet_list_tuning
{
	/// A list is fresh for this long after it was last confirmed to be the newest, and the other VMs are
	/// assumed to know a VM that has been on the list for longer than this. So every fresh list of another
	/// VM contains all VMs that use a share. Changes of the list arrive within a second unless responses
	/// are lost.
	duration lifetime = std::chrono::seconds{5};
};

/// \brief Keeps the list of VMs. Each VM derives its share of fleet-wide limits from the list, without
/// asking other VMs.
class fleet_list
{
  public:
	explicit fleet_list(fleet_list_tuning tuning = {}) : tuning_(tuning) {}

	/// \brief Replaces the list.
	/// \param self This VM, which need not be on the list yet.
	void set(const vm_id& self, const std::vector<fleet_member>& vms, instant now);

	/// \brief Records that the list was the newest at a moment.
	void confirm(instant confirmed_at);

	/// \brief Whether the list was recently confirmed to be the newest.
	[[nodiscard]] bool is_fresh(instant now) const;

	/// \brief Whether the list of every other VM, if fresh, contains this VM.
	[[nodiscard]] bool is_known_to_others(instant now) const;

	[[nodiscard]] std::size_t size() const noexcept { return members_.size(); }

	/// \brief Generation of the list, from 1; 0: there is none yet.
	[[nodiscard]] std::uint64_t generation() const noexcept { return generation_; }

	/// \brief Number of VMs that precede this one in the order of a replica. The order alternates between
	/// failure domains, so that the first few VMs are in as many of them as possible. Adding a VM to the
	/// list never lowers the rank of another one.
	/// \param replica Hash of the replica.
	[[nodiscard]] std::size_t rank(std::uint64_t replica) const;

  private:
	struct member
	{
		std::uint64_t hash{};
		std::uint64_t domain{};
	};

	fleet_list_tuning tuning_;
	std::vector<member> members_;
	std::uint64_t generation_{};
	member self_;

	/// When this VM was first seen on the list; none: the list does not contain it.
	std::optional<instant> listed_at_;
	std::optional<instant> confirmed_at_;
};

/// \brief Caches this VM's rank for one replica until the list changes: every choice of a replica needs the
/// rank, and sorting hundreds of VMs takes longer than the rest of the choice.
class fleet_rank
{
  public:
	explicit fleet_rank(std::uint64_t replica) : replica_(replica) {}

	/// \brief Number of VMs that precede this one.
	[[nodiscard]] std::size_t in(const fleet_list& vms) const;

  private:
	std::uint64_t replica_;
	mutable std::size_t cached_rank_{};
	mutable std::uint64_t cached_generation_{};
};
} // namespace gingerdyke::routing
