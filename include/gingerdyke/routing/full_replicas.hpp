// SPDX-License-Identifier: MIT
// Replicas that are believed to have no room for a further request.
#pragma once

#include <gingerdyke/routing/replica_selector.hpp>
#include <map>

namespace gingerdyke::routing
{
/// \brief Tuning of `full_replicas`.
struct full_replica_tuning
{
	/// Requests in progress beyond its slots that a replica is given, as a share of the slots, for the most
	/// and the least urgent requests. A replica takes the more urgent ones first from its queue. With
	/// less, requests are taken from replicas whose queue is still short, and many VMs send them to the same
	/// few others at once.
	double queue_share_urgent = 0.75;
	double queue_share_least_urgent = 0.5;

	/// Time for which a rejection tells that a replica is full. Of a dozen slots one becomes free within some
	/// tenths of a second.
	duration rejection_lifetime = std::chrono::milliseconds{300};
};

/// \brief Keeps what this VM knows of full replicas: by the requests in progress there, and by rejections.
class full_replicas
{
  public:
	/// \param selector Knows the requests in progress; must outlive this object.
	explicit full_replicas(const replica_selector& selector, full_replica_tuning tuning = {})
		: selector_(selector), tuning_(tuning)
	{
	}

	/// \brief Records that a replica rejected a request because it had no room.
	/// \param priority Place of the request in the order of priorities; 0 is the highest.
	void record_rejection(const replica& by, unsigned priority, instant now);

	/// \brief Whether a replica is believed to have no room for a request of this priority.
	[[nodiscard]] bool is_full(const replica& target, unsigned priority, instant now) const;

	/// \brief Drops the state of a replica that is gone or has restarted.
	void forget(const replica_id& id) { rejections_.erase(id); }

  private:
	struct rejection
	{
		replica_incarnation incarnation;
		unsigned priority{};
		instant at;
	};

	[[nodiscard]] bool has_rejected(const replica& target, unsigned priority, instant now) const;

	const replica_selector& selector_;
	full_replica_tuning tuning_;
	std::map<replica_id, rejection> rejections_;
};
} // namespace gingerdyke::routing
