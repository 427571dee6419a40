// SPDX-License-Identifier: MIT
// Limits on the requests in progress at replicas that fail if too many requests have to be rejected, and this
// VM's share of each limit.
#pragma once

#include <functional>
#include <gingerdyke/routing/announced_limits.hpp>
#include <gingerdyke/routing/fleet_list.hpp>
#include <gingerdyke/routing/replica_set.hpp>
#include <map>
#include <optional>

namespace gingerdyke::routing
{
/// \brief Tuning of `concurrency_limits`.
struct concurrency_limits_tuning
{
	/// Part of a replica's slots that is left free, at least one of them: new connections and probes take
	/// slots too.
	double reserved_share = 0.1;

	/// Bounds of the time for which a VM sends nothing to a replica that rejected its request.
	duration min_rejection_backoff = std::chrono::seconds{1};
	duration max_rejection_backoff = std::chrono::seconds{5};
};

/// \brief Tracks which replicas announce that they are brittle: one that has to reject more than a number of
/// requests in a second exits.
///
/// The VMs do not negotiate. Each computes its share of a replica's slots from the list of VMs, so that all
/// together never have more requests in progress than the replica has slots, and none has to be rejected. If
/// there are more VMs than slots, those of the first ranks, which differ by replica, have one each. As long
/// as one replica of a service is brittle, those that have not answered since are taken to be brittle too.
class concurrency_limits
{
  public:
	/// \brief Called when a replica begins or ceases to announce that it is brittle.
	/// \param rejections_per_s Rejections that it survives; none if it ceases.
	using change_hook = std::function<void(const replica&, std::optional<double> rejections_per_s)>;

	/// \param vms List of the VMs that send to the replicas; must outlive this object.
	concurrency_limits(const fleet_list& vms, change_hook changed, concurrency_limits_tuning tuning = {});

	/// \brief Applies what a replica's response says.
	/// \param rejections_per_s Rejections in a second that the replica survives; none if it does not say.
	/// \param sent_at When the request of this response was sent. Responses can overtake each other.
	void record_response(
		const replica& sender, std::optional<double> rejections_per_s, instant sent_at, instant now);

	/// \brief Whether a replica is brittle, or taken to be.
	[[nodiscard]] bool is_limited(const replica& target) const;

	/// \brief Whether a replica of a service is brittle.
	[[nodiscard]] bool is_any_limited(const service_id& service) const;

	/// \brief Whether this VM may send a further request to a replica.
	/// \param in_progress Requests that this VM has in progress there.
	[[nodiscard]] bool allows_request(const replica& target, unsigned in_progress, instant now) const;

	/// \brief Time for which this VM must send nothing to a brittle replica that rejected its request: long
	/// enough that rejections of all VMs together stay below the announced number.
	[[nodiscard]] duration rejection_backoff(const replica& target) const;

	/// \brief Drops the state of a replica that is gone or has restarted.
	void forget(const replica_id& id);

	/// \brief Number of replicas that are brittle.
	[[nodiscard]] std::size_t size() const noexcept { return states_.size(); }

  private:
	struct state
	{
		replica_incarnation incarnation;
		service_id service;
		fleet_rank rank;
		double rejections_per_s{};
		instant announced_at;
	};

	[[nodiscard]] const state* find(const replica& target) const;
	[[nodiscard]] unsigned share_of(const replica& target) const;

	const fleet_list& vms_;
	change_hook changed_;
	concurrency_limits_tuning tuning_;
	std::map<replica_id, state> states_;

	/// Replicas that answered without the statement while others of their service made it.
	std::map<replica_id, replica_incarnation> sound_;
};
} // namespace gingerdyke::routing
