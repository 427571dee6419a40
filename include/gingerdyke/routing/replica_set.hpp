// SPDX-License-Identifier: MIT
// The replicas that discovery names, and when one that disappears is taken as gone.
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
/// \brief Tells one start of a replica from another under the same id; no order is meant. 0: not stated.
using replica_incarnation = quantity<struct replica_incarnation_tag>;

/// \brief One replica as discovery describes it.
struct replica
{
	replica_id id;
	replica_incarnation incarnation;
	service_id service;
	address at;
	failure_domain_id domain;

	/// Version of its software.
	std::string version;

	/// Requests that it works on at once.
	unsigned slots{};

	/// It takes no new work: it leaves.
	bool leaving{};

	/// How much longer it is cold, as its entry said when it was written; none: it does not say.
	std::optional<duration> cold_left;

	auto operator<=>(const replica&) const = default;

	/// \brief Whether both are one process: one that started again under its id holds nothing of before.
	[[nodiscard]] bool is_same_process(const replica& other) const noexcept
	{
		return id == other.id && incarnation == other.incarnation;
	}
};

using replica_ptr = std::shared_ptr<const replica>;

/// \brief A hash of a replica's process, the same on all VMs.
[[nodiscard]] std::uint64_t process_hash(const replica& one) noexcept;

/// \brief What `replica_set` believes, and what changed it.
enum class replica_change
{
	added,
	changed,
	/// Its entry tells another time for which it is cold, and nothing else: as each heartbeat of a cold one.
	cold_time,
	/// It started again under its id.
	restarted,
	leaving,
	/// Its entry is missing while the registry is unsound: kept until the registry had time to recover.
	suspected,
	gone,
};

/// \brief The word for a change.
[[nodiscard]] const char* name_of(replica_change change) noexcept;

/// \brief Tuning of `replica_set`.
struct replica_set_tuning
{
	/// Entries that lapsed during an outage of the registry are back within this time of its return. The
	/// users state about two seconds.
	duration return_time = std::chrono::milliseconds{2200};

	/// Up to this share of a service's replicas, those whose entries are missing get no work. Where more are
	/// missing an outage is the likelier cause, and the others would be overloaded.
	double avoided_share = 0.5;

	/// A replica's word that it leaves is kept for this long where its entry is missing: longer than it
	/// serves on, and than entries are missing in an outage.
	duration leaving_memory = std::chrono::minutes{5};
};

/// \brief Follows discovery. Entries that vanish while the registry is away say nothing about the replica.
class replica_set
{
  public:
	using change_hook = std::function<void(const replica&, replica_change)>;

	explicit replica_set(change_hook changed, replica_set_tuning tuning = {});

	/// \brief Takes an entry that was written or changed.
	void put(replica entry, instant now);

	/// \brief Takes the news that an entry is missing.
	void remove(const replica_id& id, instant now);

	/// \brief Takes the whole registry; entries that are not in it are missing.
	void replace_all(std::vector<replica> entries, instant now);

	/// \brief Notes that the registry can't be read.
	void note_unsound(instant now);

	/// \brief Notes that the registry answered.
	/// \param at When it did; earlier than now where another VM's copy tells.
	void note_sound(instant at);

	/// \brief A replica's own word that it leaves. It holds until its process has ended, whatever its entry
	/// says before or after.
	/// \returns Whether that is news.
	bool note_leaving(const replica& one, instant now);

	/// \brief A replica's own word that another one has its address now.
	void forget(const replica_id& id);

	/// \brief Drops suspected replicas whose time is over.
	/// \returns When this wants to be called next; none: not before the next change.
	std::optional<instant> expire(instant now);

	/// \brief Whether suspected replicas of a service are to be left out of a choice: their entries are
	/// missing, and enough others have theirs.
	[[nodiscard]] bool avoids_suspected(const service_id& service) const;

	/// \brief Whether a replica may be sent new work: it is known as this process, does not leave and is not
	/// left out.
	[[nodiscard]] bool takes_work(const replica& one) const;

	/// \brief Whether a replica is known, as the process that it is here.
	[[nodiscard]] bool is_current(const replica& one) const;

	/// \brief Replicas of a service, leaving ones too.
	[[nodiscard]] const std::vector<replica_ptr>& of(const service_id& service) const;

	/// \brief A replica by its id, or null.
	[[nodiscard]] replica_ptr find(const replica_id& id) const;

	/// \brief Replicas of all services, leaving ones too.
	[[nodiscard]] std::vector<replica_ptr> all() const;

	[[nodiscard]] std::size_t size() const noexcept { return by_id_.size(); }

	/// \brief Whether a replica's entry is missing and it is not taken as gone yet.
	[[nodiscard]] bool is_suspected(const replica_id& id) const { return suspected_.contains(id); }

	/// \brief Replicas of all services whose entries are missing.
	[[nodiscard]] std::size_t suspected_count() const noexcept { return suspected_.size(); }

	/// \brief True once the registry was read for the first time.
	[[nodiscard]] bool known() const noexcept { return known_; }

  private:
	[[nodiscard]] bool sound_for_long(instant now) const;
	[[nodiscard]] duration sound_time(instant now) const;
	void replace(const replica_ptr& known, replica entry, replica_change change);
	void forget_old_leaves(instant now);
	void drop(const replica_id& id);
	void index(const replica_ptr& entry);
	void unindex(const replica_ptr& entry);

	/// A replica's own word that it leaves.
	struct told_leave
	{
		replica_incarnation incarnation;
		instant at;
	};

	change_hook changed_;
	replica_set_tuning tuning_;
	bool known_ = false;
	bool sound_ = false;
	instant sound_since_;
	instant lost_at_;

	/// How long the registry was sound before the present time of soundness, all such times together.
	duration sound_before_{};
	std::map<replica_id, replica_ptr> by_id_;
	std::map<service_id, std::vector<replica_ptr>> by_service_;

	/// Suspected replicas, and when each is gone, in the time for which the registry was sound. A wait that
	/// began anew with each loss of the registry would never end where it is lost every two seconds, and
	/// requests would go to replicas that left long ago.
	std::map<replica_id, duration> suspected_;
	std::map<replica_id, told_leave> told_leaves_;
};
} // namespace gingerdyke::routing
