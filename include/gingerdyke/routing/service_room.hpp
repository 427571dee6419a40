// SPDX-License-Identifier: MIT
// How much of a service's room is in use: the slots of its replicas that are taken.
#pragma once

#include <functional>
#include <gingerdyke/routing/replica_selector.hpp>
#include <gingerdyke/routing/replica_set.hpp>
#include <map>
#include <optional>
#include <vector>

namespace gingerdyke::routing
{
/// \brief Tuning of `service_room`.
struct service_room_tuning
{
	/// Interval at which the share of a service in use is determined anew. What other VMs report is some
	/// tenths of a second old in any case.
	duration update_interval = std::chrono::milliseconds{200};

	/// Replicas that are counted at a time. Of a service with more, as many are drawn at random.
	std::size_t max_counted = 256;

	/// Without reports of other VMs, this VM's own requests are scaled by the number of VMs if there are at
	/// least this many: fewer tell nothing.
	double min_own_requests = 10;

	/// Share of the slots in use from which a service counts as short of slots, and below which it no longer
	/// does: a larger model is used less from about the first on.
	double short_from = 0.6;
	double short_until = 0.5;
};

/// \brief Share of the slots in use of one service.
struct slots_used
{
	service_id service;

	/// 0 to 1; 0 if the service's replicas name no slots.
	double share{};
};

/// \brief Determines the share of each service's slots in use, as known to this VM.
class service_room
{
  public:
	/// \brief Called when a service becomes short of slots or has enough again.
	using change_hook = std::function<void(const slots_used& used, bool is_short)>;

	/// \brief Whether this VM may send requests to a replica.
	using replica_filter = std::function<bool(const replica&, instant now)>;

	/// \param replicas The replicas; must outlive this object, as must `selector`.
	/// \param selector Knows the requests in progress.
	/// \param may_use Which replicas count, beside those that leave or may be gone, which don't.
	service_room(const replica_set& replicas, const replica_selector& selector, replica_filter may_use,
		change_hook changed, random_source random, service_room_tuning tuning = {});

	/// \brief Sets the number of VMs that send to the services.
	void set_vm_count(std::size_t count) noexcept { vm_count_ = count; }

	/// \brief Share of a service's slots in use, 0 to 1; 0 if it is not known.
	[[nodiscard]] double slots_in_use(const service_id& service, instant now);

	/// \brief Latest share of each service that was asked for, for metrics.
	[[nodiscard]] std::vector<slots_used> shares() const;

  private:
	struct service_state
	{
		std::optional<instant> updated_at;
		double share{};
		bool is_short{};
	};

	/// Sums over the replicas that were counted.
	struct slot_count
	{
		double slots{};
		double taken{};
		double own_requests{};
	};

	[[nodiscard]] double share_of(const service_id& service, instant now) const;
	void update_shortage(const service_id& service, service_state& state) const;
	void add(slot_count& sum, const replica& of, instant now) const;
	[[nodiscard]] double scale_of(double own_requests, instant now) const;

	const replica_set& replicas_;
	const replica_selector& selector_;
	replica_filter may_use_;
	change_hook changed_;
	random_source random_;
	service_room_tuning tuning_;
	std::map<service_id, service_state> states_;
	std::size_t vm_count_ = 1;
};
} // namespace gingerdyke::routing
