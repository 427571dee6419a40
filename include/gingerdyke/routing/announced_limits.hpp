// SPDX-License-Identifier: MIT
// Requests a second that replicas in need ask for in their answers, and this VM's part of them.
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
/// \brief What one answer says of the limit of the replica that gave it.
struct limit_statement
{
	/// Requests a second that the replica takes from all VMs together; none: it names no limit.
	std::optional<double> requests_per_s;

	/// When the request of that answer was sent.
	instant sent_at;

	/// Id of that request, for the log; empty: another VM told.
	std::string request;
};

/// \brief What a VM heard of a replica's limit, as it tells other VMs.
struct limit_news
{
	replica_id replica;
	replica_incarnation incarnation;

	/// None: it names no limit any more.
	std::optional<double> requests_per_s;

	/// Since the limit was heard of, or since the request was sent whose answer named none.
	duration age{};
};

/// \brief What became of a replica's limit.
enum class limit_change
{
	named,
	changed,
	over,
};

/// \brief The word for a change.
[[nodiscard]] const char* name_of(limit_change change) noexcept;

/// \brief Tuning of `announced_limits`.
struct announced_limits_tuning
{
	/// Where VMs are more than this beyond the requests a second, only so many of them have a share: those
	/// with a share may all send at one moment, and a replica in need is not to get a burst of the whole
	/// fleet.
	double burst = 4;

	/// A VM with a share asks again at least this often: else a replica with a very low limit would stay
	/// unused long after its need.
	duration longest_interval = std::chrono::seconds{30};

	/// A VM that may send more than one request in this time may send them closer together than at an even
	/// pace, as callers come.
	duration burst_time = std::chrono::seconds{1};

	/// Part of the limit for VMs without a share. Each asks rarely, in turn, and learns thereby that the need
	/// is over where no other VM could tell it.
	double probing_share = 0.25;

	/// What a VM heard itself is told to others for this long: longer than the longest interval, so that news
	/// of a limit in force never runs out.
	duration news_lifetime = std::chrono::seconds{35};
};

/// \brief Knows the limits that replicas name and shares them out.
///
/// A limit holds until the replica answers a request without naming one. Answers on different connections
/// overtake each other, so only a request that was sent after the limit was last heard of counts.
///
/// No VM asks another one for its share: each works out from the list of VMs how often it may send. In any
/// span of t seconds the VMs with a share send at most the limit times t + 1 together, and one request each;
/// those without take turns at a part of the limit. The last list that was read counts, however old: in an
/// outage of the registry no VM is added to it either.
class announced_limits
{
  public:
	/// \brief Told what became of a replica's limit, and by which answer.
	using change_hook = std::function<void(const replica&, limit_change, const limit_statement&)>;

	/// \param vms List of the VMs that send to the replicas; must outlive this.
	announced_limits(const fleet_list& vms, change_hook changed, announced_limits_tuning tuning = {});

	/// \brief Takes what a replica's answer says.
	void note_answer(const replica& from, const limit_statement& said, instant now);

	/// \brief Takes what another VM heard of a replica.
	void note_elsewhere(const replica& of, const limit_news& heard, instant now);

	/// \brief What this VM heard itself lately, for other VMs.
	[[nodiscard]] std::vector<limit_news> own_news(instant now) const;

	/// \brief Forgets a replica that is gone, or has started again.
	void forget(const replica_id& id);

	/// \brief Whether a replica names a limit.
	[[nodiscard]] bool is_limited(const replica& one) const { return find(one) != nullptr; }

	/// \brief Whether this VM may send a replica a request now.
	[[nodiscard]] bool takes(const replica& one, instant now) const;

	/// \brief Notes a request that is sent to a replica, limited or not.
	void note_sent(const replica& one, instant now);

	/// \brief How long until this VM may send a request to a limited replica of a service; none: none of them
	/// is limited.
	[[nodiscard]] std::optional<duration> time_until_share(const service_id& service, instant now) const;

	/// \brief Replicas that name a limit.
	[[nodiscard]] std::size_t size() const noexcept { return states_.size(); }

  private:
	struct state
	{
		replica_incarnation incarnation;
		service_id service;
		fleet_rank place;
		double requests_per_s{};

		/// When some VM last heard of the limit, as far as this one knows.
		instant named_at;

		/// When this VM last heard of it itself.
		std::optional<instant> heard_at;

		/// When its next request is due at an even pace.
		instant next_due;
	};

	/// A limit that this VM found to be over.
	struct ended_limit
	{
		replica_incarnation incarnation;
		instant over_at;
	};

	/// How this VM may use its part of a limit.
	struct pace
	{
		/// From knowing of the limit to the first request.
		duration first;

		/// Between requests at an even pace.
		duration interval;
	};

	[[nodiscard]] const state* find(const replica& one) const;
	[[nodiscard]] state& put(const replica& of, double requests_per_s, instant named_at, instant now);
	[[nodiscard]] pace pace_of(const state& of) const;
	[[nodiscard]] instant next_request(const state& of) const;
	[[nodiscard]] bool is_over_since(const replica& of, instant at) const;

	const fleet_list& vms_;
	change_hook changed_;
	announced_limits_tuning tuning_;
	std::map<replica_id, state> states_;
	std::map<replica_id, ended_limit> ended_;
};
} // namespace gingerdyke::routing
