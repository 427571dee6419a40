// SPDX-License-Identifier: MIT
// Slow start: limits the requests that a cold replica, one that is still warming up, gets from all VMs
// together; each VM computes its own share.
#pragma once

#include <deque>
#include <functional>
#include <gingerdyke/routing/catalog.hpp>
#include <gingerdyke/routing/fleet_list.hpp>
#include <gingerdyke/routing/replica_set.hpp>
#include <map>
#include <optional>
#include <vector>

namespace gingerdyke::routing
{
/// \brief Why a replica is considered cold.
enum class cold_reason
{
	/// The replica's entry states a remaining warm-up time.
	announced,
	/// The replica has started, and its entry does not state a remaining warm-up time.
	started,
	/// A connection to the replica failed: its process may have restarted since its entry was read.
	unreachable,
	/// The replica's failure domain was evacuated and got no requests for a while.
	evacuated,
};

/// \brief Returns the name of a reason, as logged.
[[nodiscard]] const char* name_of(cold_reason reason) noexcept;

/// \brief Tuning of `slow_start`.
struct slow_start_tuning
{
	/// Sliding window over which a VM counts its requests: one second, plus the time by which the interval
	/// between two requests may shrink on their way to the replica.
	duration window = std::chrono::milliseconds{1050};
};

/// \brief Tracks which replicas are cold and computes this VM's share of their limits.
///
/// VMs do not negotiate their shares. A VM with a list of n VMs may send a cold replica an equal part of
/// the limit in each second. If there are more VMs than requests that the limit allows in a second, a VM
/// may send one request if a hash of VM and replica ranks it among the first VMs. VMs with different lists
/// still keep to the limit together, because only a VM with a fresh list that is known to the other VMs has a
/// share.
class slow_start
{
  public:
	/// \brief Called when a replica becomes cold, with the remaining time.
	using cold_hook = std::function<void(const replica&, cold_reason, duration remaining)>;

	/// \param vms List of the VMs that send to the replicas; must outlive this object.
	slow_start(const fleet_list& vms, cold_hook began, slow_start_tuning tuning = {});

	/// \brief Sets the limits; replicas of services without a limit are never considered cold.
	void set_limits(std::map<service_id, cold_limit> limits) { limits_ = std::move(limits); }

	/// \brief Applies the remaining warm-up time in a replica's entry, if the entry states one.
	void apply_entry(const replica& target, instant now);

	/// \brief Considers a replica cold for its service's warm-up time, because it has started, may have
	/// restarted, or got no requests during an evacuation.
	void assume_cold(const replica& target, cold_reason reason, instant now);

	/// \brief Drops the state of a replica that is gone.
	void forget(const replica_id& id) { states_.erase(id); }

	/// \brief Whether a replica is considered cold.
	[[nodiscard]] bool is_cold(const replica& target, instant now) const;

	/// \brief Whether this VM may send a request to a replica now.
	[[nodiscard]] bool allows_request(const replica& target, instant now) const;

	/// \brief Records a request to a replica, cold or not.
	void record_sent(const replica& target, instant now);

	/// \brief Moves a recorded request to the time at which it was actually sent, after its connection had
	/// to be established first.
	void update_sent_time(const replica& target, instant sent_at, instant now);

	/// \brief Time until the first of a service's cold replicas is warm; none: no replica is cold.
	[[nodiscard]] std::optional<duration> time_until_warm(const service_id& service, instant now) const;

	/// \brief Number of cold replicas.
	[[nodiscard]] std::size_t cold_count(instant now) const;

  private:
	struct state
	{
		service_id service;
		instant cold_until;

		fleet_rank rank;

		/// Requests of this VM within the window, the oldest first.
		std::deque<instant> sent;
	};

	[[nodiscard]] const state* find_cold(const replica& target, instant now) const;
	[[nodiscard]] std::size_t share_of(const state& target, instant now) const;
	[[nodiscard]] bool is_list_usable(instant now) const;
	void extend(const replica& target, duration remaining, cold_reason reason, instant now);

	const fleet_list& vms_;
	cold_hook began_;
	slow_start_tuning tuning_;
	std::map<service_id, cold_limit> limits_;
	std::map<replica_id, state> states_;
};
} // namespace gingerdyke::routing
