// SPDX-License-Identifier: MIT
// Rate limits that overloaded replicas announce in their responses, and this VM's share of each.
#pragma once

#include <functional>
#include <gingerdyke/base/ids.hpp>
#include <gingerdyke/base/units.hpp>
#include <gingerdyke/routing/fleet_list.hpp>
#include <gingerdyke/routing/replica_set.hpp>
#include <map>
#include <optional>
#include <vector>

namespace gingerdyke::routing
{
/// \brief The rate limit that one response of a replica carries.
struct limit_announcement
{
	/// Requests per second that the replica accepts from all VMs together; none: the response carries no
	/// limit.
	std::optional<double> requests_per_s;

	/// When the request that got this response was sent.
	instant sent_at;

	/// Id of that request, for the log; empty if another VM reported the limit.
	std::string request;
};

/// \brief What a VM has learned about a replica's limit, as it reports it to other VMs.
struct limit_update
{
	replica_id replica;
	replica_incarnation incarnation;

	/// None: the replica no longer announces a limit.
	std::optional<double> requests_per_s;

	/// Time since the limit was received or, if it was removed, since the request was sent whose response
	/// carried none.
	duration age{};
};

/// \brief How a replica's limit changed.
enum class limit_change
{
	announced,
	changed,
	removed,
};

/// \brief Returns the name of a change, as logged.
[[nodiscard]] const char* name_of(limit_change change) noexcept;

/// \brief Tuning of `announced_limits`.
struct announced_limits_tuning
{
	/// If there are more VMs than twice the limit in requests per second plus this number, only as many of
	/// them have a share as the limit in requests per second plus this number. All VMs with a share may
	/// send at the same moment, and an overloaded replica must not get a burst from the whole fleet.
	double burst = 4;

	/// Longest interval between two requests of a VM with a share. Otherwise a replica with a very low
	/// limit would stay unused long after its overload has ended.
	duration max_interval = std::chrono::seconds{30};

	/// A VM that may send more than one request in this time may send them closer together than evenly
	/// spaced, following the arrival of client requests.
	duration burst_time = std::chrono::seconds{1};

	/// Part of the limit for VMs without a share. Each of them sends rarely, in turn, and so learns that
	/// the overload is over even if no other VM could report it.
	double probe_share = 0.25;

	/// How long a VM reports limits that it received itself to other VMs: longer than the longest interval,
	/// so that a limit in force is always being reported.
	duration report_lifetime = std::chrono::seconds{35};
};

/// \brief Tracks the rate limits that replicas announce and computes this VM's share of each.
///
/// A limit applies until the replica responds to a request without announcing a limit. Responses on different
/// connections can overtake each other, so only a request that was sent after the limit was last received
/// counts.
///
/// VMs do not negotiate their shares: each computes from the list of VMs how often it may send. In any span
/// of t seconds the VMs with a share together send at most the limit times t + 1, plus one request each;
/// those without a share take turns at a part of the limit. The last list that was read is used whatever its
/// age: VMs cannot be added to the list during a registry outage.
class announced_limits
{
  public:
	/// \brief Called when a replica's limit changes, with the response that changed it.
	using change_hook = std::function<void(const replica&, limit_change, const limit_announcement&)>;

	/// \param vms List of the VMs that send to the replicas; must outlive this object.
	announced_limits(const fleet_list& vms, change_hook changed, announced_limits_tuning tuning = {});

	/// \brief Applies what a replica's response says about its limit.
	void record_response(const replica& sender, const limit_announcement& announcement, instant now);

	/// \brief Applies what another VM has learned about a replica's limit.
	void apply_peer_update(const replica& target, const limit_update& update, instant now);

	/// \brief Returns the limits and removals that this VM itself recently received, to report to other
	/// VMs.
	[[nodiscard]] std::vector<limit_update> local_updates(instant now) const;

	/// \brief Drops the state of a replica that is gone or has restarted.
	void forget(const replica_id& id);

	/// \brief Whether a replica announces a limit.
	[[nodiscard]] bool is_limited(const replica& target) const { return find(target) != nullptr; }

	/// \brief Whether this VM may send a request to a replica now.
	[[nodiscard]] bool allows_request(const replica& target, instant now) const;

	/// \brief Records a request that is sent to a replica, limited or not.
	void record_sent(const replica& target, instant now);

	/// \brief Time until this VM may send a request to one of the limited replicas of a service; none: no
	/// replica of the service is limited.
	[[nodiscard]] std::optional<duration> time_until_allowed(const service_id& service, instant now) const;

	/// \brief Number of replicas that announce a limit.
	[[nodiscard]] std::size_t size() const noexcept { return states_.size(); }

  private:
	struct state
	{
		replica_incarnation incarnation;
		service_id service;
		fleet_rank rank;
		double requests_per_s{};

		/// When any VM last received the limit, as far as this VM knows.
		instant last_announced_at;

		/// When this VM last received the limit itself; none: only other VMs have.
		std::optional<instant> last_received_at;

		/// When this VM's next request to the replica is due if requests are evenly spaced.
		instant next_due_at;
	};

	/// A limit whose removal this VM learned from a response.
	struct removed_limit
	{
		replica_incarnation incarnation;
		instant removed_at;
	};

	/// The schedule by which this VM uses its part of a limit.
	struct schedule
	{
		/// Delay from learning of the limit to the first request.
		duration first;

		/// Interval between evenly spaced requests.
		duration interval;
	};

	[[nodiscard]] const state* find(const replica& target) const;
	[[nodiscard]] state& set_limit(
		const replica& target, double requests_per_s, instant last_announced_at, instant now);
	[[nodiscard]] schedule schedule_of(const state& target) const;
	[[nodiscard]] instant next_send_time(const state& target) const;
	[[nodiscard]] bool is_removed_since(const replica& target, instant at) const;

	const fleet_list& vms_;
	change_hook changed_;
	announced_limits_tuning tuning_;
	std::map<replica_id, state> states_;
	std::map<replica_id, removed_limit> removed_;
};
} // namespace gingerdyke::routing
