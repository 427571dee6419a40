// SPDX-License-Identifier: MIT
// Slow start: how many requests a cold replica gets from all VMs together, kept by each VM for itself.
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
/// \brief Why a replica counts as cold.
enum class cold_reason
{
	/// Its entry says so.
	told,
	/// It started, and its entry does not say how long it is cold.
	started,
	/// No connection to it came up: its process may have started again since its entry was read.
	unreachable,
	/// Its failure domain got nothing for a while.
	evacuated,
};

/// \brief The word for a reason.
[[nodiscard]] const char* name_of(cold_reason reason) noexcept;

/// \brief Tuning of `slow_start`.
struct slow_start_tuning
{
	/// A VM's requests are counted over this time: a second, and the time by which two of them may come
	/// closer together on their way than they were sent.
	duration window = std::chrono::milliseconds{1050};
};

/// \brief Knows which replicas are cold and shares out what these bear.
///
/// No VM asks another one. A VM that knows n VMs may send a cold replica its equal part of the limit in each
/// second; where there are more VMs than requests, one request, if a hash of VM and replica puts it among
/// the first. VMs whose lists differ still keep the limit together: only one with a fresh list, and whom
/// others count, has a share.
class slow_start
{
  public:
	/// \brief Told when a replica begins to count as cold, and for how long.
	using cold_hook = std::function<void(const replica&, cold_reason, duration left)>;

	/// \param vms List of the VMs that send to the replicas; must outlive this.
	slow_start(const fleet_list& vms, cold_hook began, slow_start_tuning tuning = {});

	/// \brief Sets the limits; replicas of other services never count as cold.
	void set_limits(std::map<service_id, cold_limit> limits) { limits_ = std::move(limits); }

	/// \brief Takes what a replica's entry says, where it says how long the replica is cold.
	void note_told(const replica& one, instant now);

	/// \brief Notes that a replica may be cold: until its service's time of a start is over.
	void note_unknown(const replica& one, cold_reason reason, instant now);

	/// \brief Forgets a replica that is gone.
	void forget(const replica_id& id) { states_.erase(id); }

	/// \brief Whether a replica counts as cold.
	[[nodiscard]] bool is_cold(const replica& one, instant now) const;

	/// \brief Whether this VM may send a replica a request now.
	[[nodiscard]] bool takes(const replica& one, instant now) const;

	/// \brief Notes a request for a replica, cold or not.
	void note_sent(const replica& one, instant now);

	/// \brief Notes that a request left later than it was noted, because its connection had to come up.
	void note_left(const replica& one, instant sent_at, instant now);

	/// \brief How long until a cold replica of a service is warm; none: none of them is cold.
	[[nodiscard]] std::optional<duration> time_until_warm(const service_id& service, instant now) const;

	/// \brief Replicas that count as cold.
	[[nodiscard]] std::size_t cold_count(instant now) const;

  private:
	struct state
	{
		service_id service;
		instant cold_until;

		fleet_rank place;

		/// Requests of this VM within the window, the oldest first.
		std::deque<instant> sent;
	};

	[[nodiscard]] const state* find_cold(const replica& one, instant now) const;
	[[nodiscard]] std::size_t share_of(const state& of, instant now) const;
	[[nodiscard]] bool has_list(instant now) const;
	void extend(const replica& one, duration left, cold_reason reason, instant now);

	const fleet_list& vms_;
	cold_hook began_;
	slow_start_tuning tuning_;
	std::map<service_id, cold_limit> limits_;
	std::map<replica_id, state> states_;
};
} // namespace gingerdyke::routing
