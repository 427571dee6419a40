// SPDX-License-Identifier: MIT
// Which replicas this VM has no network path to, as opposed to replicas that are down.
#pragma once

#include <functional>
#include <gingerdyke/base/random.hpp>
#include <gingerdyke/routing/replica_set.hpp>
#include <map>
#include <optional>
#include <vector>

namespace gingerdyke::routing
{
/// \brief Evidence against the path to a replica.
enum class path_failure
{
	/// A new connection was refused; open ones may still work.
	refused,
	/// A new connection did not come up in time.
	unanswered,
	/// An open connection timed out: what was sent was not acknowledged.
	silent,
};

/// \brief Returns the name of a kind of evidence, as logged.
[[nodiscard]] const char* name_of(path_failure failure) noexcept;

/// \brief The replicas of one service in one failure domain. They share a network path, and their processes
/// fail independently.
struct path_group
{
	service_id service;
	failure_domain_id domain;

	auto operator<=>(const path_group&) const = default;
};

/// \brief A change of the belief about a group.
struct path_change
{
	path_group group;
	bool is_lost{};

	/// The evidence that decided it; meaningless if the path is back.
	path_failure failure{path_failure::refused};

	/// Replicas that failed without one being reached in between.
	std::size_t failed_replicas{};

	/// For how long the path was lost; 0 if it is lost now.
	duration lost_for{};
};

/// \brief Tuning of `path_monitor`.
struct path_tuning
{
	/// The path to a group counts as lost if connections to `required_silent_replicas` of it hang, or to all
	/// if it has fewer, and no replica of the group sends anything meanwhile. After the first ones that hang,
	/// others are probed.
	///
	/// The same if this many of its replicas refuse connections, or all if it has fewer, and none has
	/// accepted one lately. Replicas that are down refuse connections too, and requests mostly open
	/// connections to those: the others have idle ones. Therefore other replicas are probed after the first
	/// refusals.
	std::size_t min_refusing_replicas = 6;

	/// Number of refusing, or of hanging, replicas from which on others are probed.
	std::size_t min_failed_for_probes = 2;

	/// Failures count together if they lie within this time, which is longer than it takes to notice a
	/// connection that hangs.
	duration evidence_window = std::chrono::milliseconds{1500};

	/// Delay of the first probe of a lost path, doubled with each probe that fails up to the maximum. The
	/// maximum is how much longer than the partition requests take the longer way.
	duration first_probe_delay = std::chrono::milliseconds{250};
	duration max_probe_delay = std::chrono::seconds{2};

	/// Random variation of the delays, relative: VMs that lost their paths together would otherwise probe
	/// together.
	double probe_jitter = 0.25;

	/// A path that is lost again within this time keeps its last probe delay.
	duration stable_time = std::chrono::seconds{5};
};

/// \brief Decides from this VM's own connections to which groups of replicas it has lost its path. Groups
/// without failures cost nothing.
class path_monitor
{
  public:
	using change_hook = std::function<void(const path_change&)>;

	path_monitor(
		const replica_set& replicas, random_source random, change_hook changed, path_tuning tuning = {});

	/// \brief Records that a new connection to a replica came up.
	void record_connected(const replica& to, instant now);

	/// \brief Records bytes received from a replica on an open connection.
	void record_response(const replica& from, instant now);

	/// \brief Records a failure that may be one of the path.
	void record_failure(const replica& to, path_failure failure, instant now);

	/// \brief Whether new connections to a replica are expected to come up.
	[[nodiscard]] bool accepts_connections(const replica& to) const;

	/// \brief Whether requests on an open connection to a replica are expected to be answered.
	[[nodiscard]] bool carries_requests(const replica& to) const;

	/// \brief Returns the replicas to which the paths are to be probed now by new connections: one of each
	/// group whose path is lost, and several of a group whose path may be. The results are recorded as any
	/// other connection's.
	[[nodiscard]] std::vector<replica_ptr> due_probes(instant now);

	/// \brief When `due_probes` must be called next; none if no path is lost or doubtful.
	[[nodiscard]] std::optional<instant> next_probe_at() const;

	/// \brief Number of groups to which the path is lost.
	[[nodiscard]] std::size_t lost_count() const noexcept { return lost_count_; }

	/// \brief Returns the services that have replicas, none of which this VM has a path to.
	[[nodiscard]] std::vector<service_id> unreachable_services() const;

	/// \brief Whether the paths to all groups are lost: what is observed of replicas then says nothing about
	/// them.
	[[nodiscard]] bool is_isolated() const;

  private:
	struct failure_record
	{
		path_failure failure{};
		instant at;
	};

	struct group_state
	{
		/// The latest failure of each replica since a connection to the group came up.
		std::map<replica_id, failure_record> failures;
		bool is_lost{};

		/// Open connections are part of the loss.
		bool is_silent{};
		instant lost_at;
		instant regained_at;

		/// When a connection last came up; none since the first failure.
		std::optional<instant> connected_at;

		/// Replicas are to be probed because others refuse connections, and when they were last.
		bool is_doubtful{};
		std::optional<instant> doubted_at;
		instant probe_at;
		duration probe_delay{};
	};

	[[nodiscard]] group_state* find(const replica& member);
	[[nodiscard]] const group_state* find_lost(const replica& member) const;
	[[nodiscard]] static std::size_t refusing_count(const group_state& state);
	[[nodiscard]] static std::size_t hanging_count(const group_state& state);
	[[nodiscard]] std::size_t required_refusals(const path_group& group) const;
	[[nodiscard]] std::size_t required_hanging(const path_group& group) const;
	[[nodiscard]] std::size_t missing_evidence(const path_group& group, const group_state& state) const;
	[[nodiscard]] bool is_evidence_sufficient(
		const path_group& group, const group_state& state, instant now) const;
	[[nodiscard]] bool is_recent(const std::optional<instant>& event, instant now) const;
	void doubt(group_state& state, instant now) const;
	void drop_stable_groups(instant now);
	[[nodiscard]] std::vector<replica_ptr> probes_of_doubtful(
		const path_group& group, const group_state& state) const;
	[[nodiscard]] replica_ptr probe_of_lost(const path_group& group, group_state& state, instant now) const;
	[[nodiscard]] std::vector<replica_ptr> members_of(const path_group& group) const;
	void lose(const path_group& group, group_state& state, path_failure failure, instant now);
	void regain(const path_group& group, group_state& state, instant now);
	void schedule_probe(group_state& state, instant now) const;

	const replica_set& replicas_;
	random_source random_;
	change_hook changed_;
	path_tuning tuning_;
	std::map<path_group, group_state> groups_;
	std::size_t lost_count_ = 0;
};
} // namespace gingerdyke::routing
