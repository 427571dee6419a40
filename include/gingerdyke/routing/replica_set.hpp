// SPDX-License-Identifier: MIT
// The replicas found by service discovery, and when a missing one is considered gone.
#pragma once

#include <functional>
#include <gingerdyke/base/ids.hpp>
#include <gingerdyke/base/units.hpp>
#include <gingerdyke/routing/address.hpp>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace gingerdyke::routing
{
/// \brief Distinguishes the successive processes under the same replica id; values are not ordered. 0:
/// unknown.
using replica_incarnation = quantity<struct replica_incarnation_tag>;

/// \brief A replica as its registry entry describes it.
struct replica
{
	replica_id id;
	replica_incarnation incarnation;
	service_id service;
	address at;
	failure_domain_id domain;

	/// Software version.
	std::string version;

	/// Maximum number of concurrent requests.
	unsigned slots{};

	/// The replica accepts no new requests and will exit.
	bool is_draining{};

	/// Spot capacity, which the platform may take back.
	bool is_spot{};

	/// Remaining warm-up time when the entry was written; none: the entry does not state one.
	std::optional<duration> remaining_warmup;

	auto operator<=>(const replica&) const = default;

	/// \brief Whether both entries describe the same process. After a restart under the same id a replica
	/// has nothing of its previous state.
	[[nodiscard]] bool is_same_process(const replica& other) const noexcept
	{
		return id == other.id && incarnation == other.incarnation;
	}
};

using replica_ptr = std::shared_ptr<const replica>;

/// \brief Hash of a replica's process, equal on all VMs.
[[nodiscard]] std::uint64_t process_hash(const replica& process) noexcept;

/// \brief How the state of a replica in `replica_set` changed.
enum class replica_change
{
	added,
	changed,
	/// Only the remaining warm-up time in the entry changed, as with every heartbeat of a cold replica.
	remaining_warmup_changed,
	/// The replica restarted under the same id.
	restarted,
	draining,
	/// The entry is missing while the registry is unavailable or only just back: the replica is kept until
	/// the registry has had time to recover.
	suspected,
	gone,
};

/// \brief Returns the name of a change, as logged.
[[nodiscard]] const char* name_of(replica_change change) noexcept;

/// \brief Tuning of `replica_set`.
struct replica_set_tuning
{
	/// Entries that expired during a registry outage are registered again within this time after its end.
	/// Deployments require about two seconds.
	duration reregistration_time = std::chrono::milliseconds{2200};

	/// Replicas whose entries are missing get no requests as long as they are at most this share of their
	/// service's replicas. If more are missing, a registry outage is the more likely cause, and excluding
	/// these replicas would overload the others.
	double max_excluded_share = 0.5;

	/// How long a replica's announcement that it is draining is kept while its entry is missing: longer than
	/// a draining replica keeps serving, and longer than entries are missing in an outage.
	duration drain_announcement_lifetime = std::chrono::minutes{5};
};

/// \brief Tracks the replicas of the registry. Entries that vanish while the registry is unavailable do not
/// mean that the replica is gone.
class replica_set
{
  public:
	using change_hook = std::function<void(const replica&, replica_change)>;

	explicit replica_set(change_hook changed, replica_set_tuning tuning = {});

	/// \brief Adds or updates an entry.
	void put(replica entry, instant now);

	/// \brief Records that an entry is missing from the registry.
	void remove(const replica_id& id, instant now);

	/// \brief Applies a full snapshot of the registry; entries that are not in it are missing.
	void replace_all(std::vector<replica> entries, instant now);

	/// \brief Records that the registry cannot be read.
	void mark_registry_unavailable(instant now);

	/// \brief Records that the registry answered.
	/// \param at When the registry answered; in the past if the snapshot comes from another VM.
	void mark_registry_available(instant at);

	/// \brief Records a replica's own announcement that it is draining. The announcement applies until the
	/// process has exited, whatever the replica's entry says.
	/// \returns Whether the announcement was not known before.
	bool mark_draining(const replica& target, instant now);

	/// \brief Removes a replica because the process at its address answered that it is a different replica.
	void forget(const replica_id& id);

	/// \brief Removes suspected replicas whose entries did not return in time.
	/// \returns When this must be called next; none: not before the next change.
	std::optional<instant> expire(instant now);

	/// \brief Whether suspected replicas of a service are excluded from choices because enough other
	/// replicas have their entries.
	[[nodiscard]] bool excludes_suspected(const service_id& service) const;

	/// \brief Whether a replica may be sent new requests: this process is the current one of its replica
	/// id, is not draining, and is not excluded as suspected.
	[[nodiscard]] bool accepts_requests(const replica& target) const;

	/// \brief Whether the given process is the current one of its replica id.
	[[nodiscard]] bool is_current(const replica& target) const;

	/// \brief Returns the replicas of a service, including draining ones.
	[[nodiscard]] const std::vector<replica_ptr>& of_service(const service_id& service) const;

	/// \brief Finds a replica by its id, or null.
	[[nodiscard]] replica_ptr find(const replica_id& id) const;

	/// \brief Returns the replicas of all services, including draining ones.
	[[nodiscard]] std::vector<replica_ptr> all() const;

	[[nodiscard]] std::size_t size() const noexcept { return by_id_.size(); }

	/// \brief Whether a replica's entry is missing but the replica is not considered gone yet.
	[[nodiscard]] bool is_suspected(const replica_id& id) const { return suspected_.contains(id); }

	/// \brief Number of suspected replicas of all services.
	[[nodiscard]] std::size_t suspected_count() const noexcept { return suspected_.size(); }

	/// \brief Whether the registry has been read at least once.
	[[nodiscard]] bool is_loaded() const noexcept { return is_loaded_; }

  private:
	[[nodiscard]] bool is_registry_stable(instant now) const;
	[[nodiscard]] duration registry_uptime(instant now) const;
	void replace(const replica_ptr& current, replica entry, replica_change change);
	void drop_old_announcements(instant now);
	void drop(const replica_id& id);
	void index(const replica_ptr& entry);
	void unindex(const replica_ptr& entry);

	/// A replica's own announcement that it is draining.
	struct drain_announcement
	{
		replica_incarnation incarnation;
		instant at;
	};

	change_hook changed_;
	replica_set_tuning tuning_;
	bool is_loaded_ = false;
	bool is_registry_available_ = false;
	instant registry_up_since_;
	instant registry_down_since_;

	/// Total time for which the registry was available before the current period of availability.
	duration previous_uptime_{};
	std::map<replica_id, replica_ptr> by_id_;
	std::map<service_id, std::vector<replica_ptr>> by_service_;

	/// Suspected replicas, and the total registry uptime at which each is considered gone. A deadline that
	/// restarted with each loss of the registry would never be reached if the registry is lost every two
	/// seconds, and requests would go to replicas that left long ago.
	std::map<replica_id, duration> suspected_;
	std::map<replica_id, drain_announcement> drain_announcements_;
};
} // namespace gingerdyke::routing
