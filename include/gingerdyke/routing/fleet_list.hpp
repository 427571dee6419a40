// SPDX-License-Identifier: MIT
// The VMs that send to the same replicas, and this VM's place among them.
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
	/// A list counts as fresh for this long after it was the newest, and a VM that has stood on it for longer
	/// as known to the others: so each VM stands on every fresh list of another one. News of the list comes
	/// within a second, but for lost answers.
	duration lifetime = std::chrono::seconds{5};
};

/// \brief Keeps the list of VMs. Each VM shares out by it what all VMs together may do, and asks no other
/// one.
class fleet_list
{
  public:
	explicit fleet_list(fleet_list_tuning tuning = {}) : tuning_(tuning) {}

	/// \brief Takes the list.
	/// \param self This VM, which need not be on it yet.
	void set(const vm_id& self, const std::vector<fleet_member>& vms, instant now);

	/// \brief Notes that the list was the newest at a moment.
	void confirm(instant newest_at);

	/// \brief Whether the list was the newest lately.
	[[nodiscard]] bool is_fresh(instant now) const;

	/// \brief Whether the other VMs count this one, as far as their lists are fresh.
	[[nodiscard]] bool is_known_to_others(instant now) const;

	[[nodiscard]] std::size_t size() const noexcept { return members_.size(); }

	/// \brief Number of the list, from 1; 0: there is none yet.
	[[nodiscard]] std::uint64_t number() const noexcept { return number_; }

	/// \brief How many VMs come before this one in the order of a replica. Failure domains take turns, so
	/// that the first few VMs stand in as many of them as possible. A VM added to the list brings none
	/// forward. \param replica Hash of the replica.
	[[nodiscard]] std::size_t rank(std::uint64_t replica) const;

  private:
	struct member
	{
		std::uint64_t hash{};
		std::uint64_t domain{};
	};

	fleet_list_tuning tuning_;
	std::vector<member> members_;
	std::uint64_t number_{};
	member self_;

	/// When this VM was first seen on the list; none: it is not on it.
	std::optional<instant> listed_at_;
	std::optional<instant> newest_at_;
};

/// \brief This VM's place in the order of one replica, worked out once for each list: choices ask for it
/// again and again, and to put hundreds of VMs in order takes longer than the choice.
class fleet_rank
{
  public:
	explicit fleet_rank(std::uint64_t replica) : replica_(replica) {}

	/// \brief How many VMs come before this one.
	[[nodiscard]] std::size_t in(const fleet_list& vms) const;

  private:
	std::uint64_t replica_;
	mutable std::size_t rank_{};
	mutable std::uint64_t list_{};
};
} // namespace gingerdyke::routing
