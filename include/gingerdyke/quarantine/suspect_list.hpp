// SPDX-License-Identifier: MIT
// Requests that were running when replicas exited, and which of them are quarantined, that is, no longer
// sent to any replica.
#pragma once

#include <gingerdyke/quarantine/replica_runs.hpp>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace gingerdyke::quarantine
{
/// \brief Replica processes that exited, each with the other processes that exited at the same time.
using process_exits = std::map<process_instance, std::set<process_instance>>;

/// \brief Evidence against one request. The sets only grow, so reports may arrive in any order and more
/// than once, from any VM.
struct suspicion
{
	request_key key;

	/// Replica processes that exited while they were running the request. Whether the processes that exited
	/// at the same time were running it too is known only after the reports of all VMs are merged: each VM
	/// knows only what it sent itself.
	process_exits ended;

	/// Replica processes that completed the request.
	std::set<process_instance> survived;

	auto operator<=>(const suspicion&) const = default;
};

/// \brief Tuning of `suspect_list`.
struct suspect_tuning
{
	/// Weighted number of exits at which a request is quarantined. In a deployment of 18 replicas, a single
	/// exit involves 20 and more requests and two exits still share some; deployments allow a request to be
	/// sent only a few more times.
	double quarantine_exits = 3;

	/// Weight of an exit that is attributed to another cause than the request because others occurred at
	/// the same time. At this weight, requests that were running on three replicas of a failed rack, or were
	/// retried on replicas that were lost in the next failure, are still served. With a weight of 1, 24 of
	/// 458 requests that were running during unrelated exits would have been quarantined (in one day with six
	/// series of exits within 41 s).
	double simultaneous_weight = 0.5;

	/// Simultaneous exits are attributed to another cause if at least this many of the processes were not
	/// running the request. A request that was running on all of them, sent by any VMs, may have caused all
	/// the exits.
	std::size_t min_unrelated = 2;

	/// A request is quarantined only if its weighted exits exceed this many per process that completed it:
	/// a popular request is completed again and again, even if processes exit while they run it.
	double min_exits_per_completion = 2;

	/// How long evidence is kept after the last exit. Clients retry for minutes, and once a model or
	/// the request is fixed, nobody should have to wait for longer than a roll-out takes.
	duration lifetime = std::chrono::minutes{10};

	/// Evidence of at least this weight is stored in the registry by any VM that saw one of the exits
	/// itself: the next exit would quarantine the request, and storing the evidence through the VM that reads
	/// the registry for others takes 0.2 s more.
	double direct_store_weight = 2;

	/// Maximum number of processes in each set; all VMs keep the smallest ones. More would change no
	/// decision.
	std::size_t max_processes = 8;

	/// Maximum number of simultaneously exited processes kept per exit. Two that were not running the
	/// request are needed for a decision, and two more may turn out to have been running it; each adds 8
	/// bytes to every report.
	std::size_t max_simultaneous = 4;

	/// Maximum number of suspect requests; those with the fewest exits are dropped first. A simultaneous
	/// loss of 20 engines leaves about 500 on the VMs of a failure domain.
	std::size_t max_suspects = 1024;

	/// How long a change is included in reports to other VMs: in several reports, as a single report may be
	/// lost.
	duration report_time = std::chrono::seconds{4};

	/// Maximum number of requests in one report, and of requests with a single exit that are stored at
	/// once. If more are new, many replicas exited at once and a single exit is hardly evidence.
	std::size_t max_reported = 64;
	std::size_t max_singles_stored = 32;
};

/// \brief Keeps the evidence against requests, from this VM and from others.
class suspect_list
{
  public:
	/// \brief Called when a request becomes quarantined, with the total weight of its exits.
	using quarantine_hook = std::function<void(const suspicion&, double weight)>;

	explicit suspect_list(quarantine_hook on_quarantine, suspect_tuning tuning = {});

	/// \brief Records that a replica process probably exited while it was running some requests, until
	/// `confirm` or `retract` is called.
	void presume(process_instance process, const std::vector<request_key>& requests, instant now);

	/// \brief Confirms that a process exited.
	/// \param simultaneous Processes that exited at the same time, whatever they were running; empty: none
	/// did.
	void confirm(process_instance process, const std::vector<process_instance>& simultaneous, instant now);

	/// \brief Withdraws a presumed exit: the process did not exit, or this cannot be determined.
	void retract(process_instance process);

	/// \brief Records that a replica process completed a request; no effect unless there is evidence
	/// against the request.
	void add_completion(const request_key& key, process_instance process, instant now);

	/// \brief Merges the evidence of another VM.
	/// \param last_exit When a replica last exited while running the request.
	void merge(const suspicion& report, instant last_exit, instant now);

	/// \brief Merges evidence from the registry; it need not be stored again.
	void merge_stored(const suspicion& stored, instant last_exit, instant now);

	/// \brief Drops the evidence against a request, because an operator removed its row.
	void forget(const request_key& key) { suspects_.erase(key); }

	/// \brief Whether a request is quarantined.
	[[nodiscard]] bool is_quarantined(const request_key& key, instant now) const;

	/// \brief Whether a request that is not quarantined would be if its presumed exits were confirmed.
	[[nodiscard]] bool is_undecided(const request_key& key, instant now) const;

	/// \brief Whether the next exit would quarantine a request.
	[[nodiscard]] bool is_near_quarantine(const request_key& key, instant now) const;

	/// \brief Returns recently changed evidence to report to other VMs.
	/// \param min_exits Minimum number of exits of the returned requests.
	[[nodiscard]] std::vector<suspicion> recent_changes(std::size_t min_exits, instant now) const;

	/// \brief Returns evidence that should be stored in the registry and is not yet, as far as this VM
	/// knows.
	/// \param for_others Whether this VM reads the registry for others and stores their evidence too.
	[[nodiscard]] std::vector<suspicion> unstored(bool for_others, instant now) const;

	/// \brief Returns when a replica last exited while running a request; none: there is no evidence
	/// against it.
	[[nodiscard]] std::optional<instant> last_exit(const request_key& key) const;

	/// \brief Number of quarantined requests, and of all suspect requests.
	[[nodiscard]] std::size_t quarantined_count(instant now) const;
	[[nodiscard]] std::size_t size() const noexcept { return suspects_.size(); }

  private:
	struct entry
	{
		suspicion evidence;

		/// The part of the evidence that is in the registry, as far as this VM knows.
		suspicion stored;

		/// Processes whose exit is presumed but not yet confirmed.
		std::set<process_instance> presumed;
		instant last_exit;
		instant changed_at;

		/// Whether a replica to which this VM had sent the request exited while running it.
		bool is_seen_here{};
		bool is_quarantine_reported{};
	};

	using entries = std::map<request_key, entry>;

	[[nodiscard]] const entry* find(const request_key& key, instant now) const;
	[[nodiscard]] bool has_other_cause(
		const std::set<process_instance>& simultaneous, const suspicion& evidence) const;
	/// Whether VMs of another failure domain may know as many exits that the request caused. This is so if,
	/// for each exit, the processes that exited at the same time without running the request are no more
	/// than those that exited while running it.
	[[nodiscard]] bool may_be_partial(const suspicion& evidence) const;
	[[nodiscard]] double weight_of(const suspicion& evidence) const;
	[[nodiscard]] bool exceeds_threshold(const suspicion& evidence, std::size_t additional_exits) const;
	[[nodiscard]] bool add_simultaneous(
		suspicion& evidence, const std::vector<process_instance>& processes) const;
	[[nodiscard]] bool is_worth_storing(const entry& suspect, bool for_others) const;
	entry& find_or_add(const request_key& key, instant now);
	void add_exit(
		suspicion& to, process_instance process, const std::set<process_instance>& simultaneous) const;
	[[nodiscard]] bool merge_evidence(suspicion& into, const suspicion& from) const;
	void on_change(entry& suspect, instant now);
	void drop_expired(instant now);
	void enforce_max_suspects();

	quarantine_hook on_quarantine_;
	suspect_tuning tuning_;
	entries suspects_;
};
} // namespace gingerdyke::quarantine
