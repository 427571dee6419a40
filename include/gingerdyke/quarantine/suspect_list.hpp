// SPDX-License-Identifier: MIT
// Requests that were running when replicas exited and the parts of their prompts, and which of them are
// quarantined, that is, no longer sent to any replica.
#pragma once

#include <functional>
#include <gingerdyke/quarantine/blamed_parts.hpp>
#include <gingerdyke/quarantine/change_point.hpp>
#include <gingerdyke/quarantine/recent_completions.hpp>
#include <gingerdyke/quarantine/suspicion.hpp>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace gingerdyke::quarantine
{
/// \brief Tuning of `suspect_list`.
struct suspect_tuning
{
	/// Weighted number of exits at which a request is quarantined. A single exit involves many requests, and
	/// two exits still share some.
	double quarantine_exits = 3;

	/// The same for a part of prompts. Parts stand in more requests, so that more of them stand beside an
	/// exit by chance.
	double part_quarantine_exits = 4;

	/// Factor of that number for a part that has been completed in the last minutes. Of a known and a new
	/// part that stood beside the same exits, the new one is the more likely cause.
	double known_part_factor = 2;

	/// Time from the first exit that counts to the verdict on such a part. A VM learns at once of the exits
	/// of its own replicas, but of others' completions only from their reports.
	duration known_part_delay = std::chrono::milliseconds{1500};

	/// Weight of an exit that is attributed to another cause than the request because others occurred at the
	/// same time: requests that were running on three replicas of a failed rack, or were retried on replicas
	/// that were lost in the next failure, are still served.
	double simultaneous_weight = 0.5;

	/// Simultaneous exits are attributed to another cause if at least this many of the processes were not
	/// running the request. A request that was running on all of them, sent by any VMs, may have caused all
	/// the exits.
	std::size_t min_unrelated = 2;

	/// A request or part is quarantined only if its weighted exits exceed this many per completion: a popular
	/// one is completed again and again, even if processes exit while they run it.
	double min_exits_per_completion = 2;

	/// How long evidence is kept after the last exit. Clients retry for minutes, and once a model or
	/// the request is fixed, nobody should have to wait for longer than a roll-out takes.
	duration lifetime = std::chrono::minutes{10};

	/// Evidence of at least this weight is stored in the registry by any VM that saw one of the exits
	/// itself: the next exit would quarantine the request, and storing the evidence through the VM that reads
	/// the registry for others takes 0.2 s more.
	double direct_store_weight = 2;

	/// Maximum number of processes in each set of a request, and of a part. Of a request all VMs keep the
	/// smallest ones, and more would change no decision. Of a part the newest are kept; they also explain the
	/// exits of others.
	std::size_t max_processes = 8;
	std::size_t max_processes_of_part = 24;

	/// Maximum number of simultaneously exited processes kept per exit. Two that were not running the
	/// request are needed for a decision, and two more may turn out to have been running it; each adds 8
	/// bytes to every report.
	std::size_t max_simultaneous = 4;

	/// Maximum number of suspect requests and parts; those with the fewest exits are dropped first.
	std::size_t max_suspects = 1024;

	/// How long a change is included in reports to other VMs: in several reports, as a single report may be
	/// lost.
	duration report_time = std::chrono::seconds{4};

	/// Maximum number of suspects in one report, and of requests with a single exit that are stored at
	/// once. If more are new, many replicas exited at once and a single exit is hardly evidence.
	std::size_t max_reported = 64;
	std::size_t max_singles_stored = 32;
};

/// \brief What is known of a request.
enum class quarantine_verdict
{
	allowed,
	/// The request, or a part of its prompt, makes replicas exit.
	quarantined,
	/// Replicas exited while they ran requests with the same combination of parts, but which of these parts,
	/// or of those of other requests that ran there, is to blame can't be told.
	ambiguous,
};

/// \brief Keeps the evidence against requests and parts of prompts, from this VM and from others.
class suspect_list
{
  public:
	/// \brief Called when a request or part becomes quarantined, with the total weight of its exits.
	using quarantine_hook = std::function<void(const suspicion&, double weight)>;

	explicit suspect_list(quarantine_hook on_quarantine, suspect_tuning tuning = {});

	/// \brief Records that a replica process probably exited while it was running requests with some keys,
	/// until `confirm` or `retract` is called. If a quarantined part is among them, it explains the exit.
	void presume(process_instance process, const std::vector<content_key>& keys, instant now);

	/// \brief Confirms that a process exited.
	/// \param simultaneous Processes that exited at the same time, whatever they were running; empty: none
	/// did.
	void confirm(process_instance process, const std::vector<process_instance>& simultaneous, instant now);

	/// \brief Withdraws a presumed exit: the process did not exit, or this cannot be determined.
	void retract(process_instance process);

	/// \brief Records that a replica process completed a request; no effect unless there is evidence
	/// against the request.
	void add_completion(const content_key& request, process_instance process, instant now);

	/// \brief Records that a replica wrote an answer on a prompt with a part: a whole one, or for so long
	/// that the part does not make it exit.
	void add_part_completion(
		const content_key& part, const recent_completions::completion& completed, instant now);

	/// \brief Merges the evidence of another VM.
	/// \param last_exit When a replica last exited while running the request, or one with the part.
	/// \param now The time of exits and completions for which the evidence holds none.
	void merge(const suspicion& report, instant last_exit, instant now);

	/// \brief Merges evidence from the registry; it need not be stored again.
	void merge_stored(const suspicion& stored, instant last_exit, instant now);

	/// \brief Records that the registry holds no evidence, as far as this VM knows.
	void forget_stored();

	/// \brief Drops the evidence against a request or part, because an operator removed its row.
	void forget(const content_key& key);

	/// \brief Judges a request by itself and by the parts of its prompt.
	[[nodiscard]] quarantine_verdict verdict_on(const content_keys& request, instant now);

	/// \brief Whether a request must not be sent to a replica.
	[[nodiscard]] bool is_quarantined(const content_keys& request, instant now)
	{
		return verdict_on(request, now) != quarantine_verdict::allowed;
	}

	/// \brief Whether a request that is not quarantined would be if its presumed exits were confirmed.
	[[nodiscard]] bool is_undecided(const content_keys& request, instant now) const;

	/// \brief Whether the next exit would quarantine a request or part, or one of a request's keys.
	[[nodiscard]] bool is_near_quarantine(const content_key& key, instant now) const;
	[[nodiscard]] bool is_near_quarantine(const content_keys& request, instant now) const;

	/// \brief Returns recently changed evidence to report to other VMs.
	/// \param min_exits Minimum number of exits of the returned requests.
	[[nodiscard]] std::vector<suspicion> recent_changes(std::size_t min_exits, instant now) const;

	/// \brief Returns what a VM has to know that knows nothing yet: the recent changes, and of the others
	/// those with several exits that their completions don't clear. After a loss of many replicas most
	/// suspects are neither.
	[[nodiscard]] std::vector<suspicion> essential(instant now) const;

	/// \brief Returns evidence that should be stored in the registry and is not yet, as far as this VM
	/// knows.
	/// \param for_others Whether this VM reads the registry for others and stores their evidence too.
	[[nodiscard]] std::vector<suspicion> unstored(bool for_others, instant now) const;

	/// \brief Returns when a replica last exited while running a request; none: there is no evidence
	/// against it.
	[[nodiscard]] std::optional<instant> last_exit(const content_key& key) const;

	/// \brief Number of quarantined requests, of quarantined parts, and of all suspects.
	[[nodiscard]] std::size_t quarantined_count(instant now);
	[[nodiscard]] std::size_t quarantined_part_count(instant now);
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

		/// Of a part whose evidence suffices to blame it: its first exit that counted when that was so for
		/// the first time.
		std::optional<instant> suspected_since;

		/// What counts of the evidence; none: the evidence has changed since that was computed. Hundreds of
		/// VMs report each second, and each summary ranks all suspects.
		mutable std::optional<change_point> counts;

		/// Whether a replica to which this VM had sent the request exited while running it.
		bool is_seen_here{};
		bool is_quarantine_reported{};
	};

	using entries = std::map<content_key, entry>;

	[[nodiscard]] const entry* find(const content_key& key, instant now) const;
	[[nodiscard]] bool is_sound_part(const content_key& key, const entry& suspect) const;
	[[nodiscard]] bool is_recent(const entry& suspect, instant now) const;

	/// Those that may have to be quarantined come first.
	[[nodiscard]] std::vector<suspicion> ranked(
		const std::function<bool(const content_key&, const entry&)>& is_included) const;
	[[nodiscard]] bool has_unexplained_exits(
		const content_key& key, const content_keys& request, instant now);
	[[nodiscard]] bool is_blamed(const content_key& part, instant now);
	[[nodiscard]] suspicion without_explained_exits(
		const suspicion& evidence, const content_keys& request, instant now);
	[[nodiscard]] double required_exits(const content_key& key) const;
	[[nodiscard]] std::size_t max_processes(const content_key& key) const;
	[[nodiscard]] bool has_other_cause(
		const std::set<process_instance>& simultaneous, const suspicion& evidence) const;
	/// Whether VMs of another failure domain may know as many exits that the request caused. This is so if,
	/// for each exit, the processes that exited at the same time without running the request are no more
	/// than those that exited while running it.
	[[nodiscard]] bool may_be_partial(const suspicion& evidence) const;
	[[nodiscard]] double weight_of_exit(const suspicion& evidence, process_instance process) const;

	/// The exits and completions that count: of a part, those from its change point on.
	[[nodiscard]] change_point counted(const suspicion& evidence) const;
	[[nodiscard]] const change_point& counts_of(const entry& suspect) const;
	[[nodiscard]] double weight_of(const suspicion& evidence) const { return counted(evidence).weight; }
	[[nodiscard]] bool exceeds_threshold(const suspicion& evidence, std::size_t additional_exits) const;
	[[nodiscard]] bool is_cleared(const suspicion& evidence) const;
	[[nodiscard]] bool is_known_part(const suspicion& evidence, instant now) const;
	[[nodiscard]] std::optional<part_candidate> candidate(const entry& suspect, instant now) const;
	[[nodiscard]] bool add_simultaneous(
		suspicion& evidence, const std::vector<process_instance>& processes) const;
	[[nodiscard]] bool is_worth_storing(const entry& suspect, bool for_others) const;
	[[nodiscard]] bool is_part_worth_storing(const entry& suspect) const;
	entry& find_or_add(const content_key& key, instant now);
	void add_exit(suspicion& to, process_instance process, const std::set<process_instance>& simultaneous,
		instant at) const;
	[[nodiscard]] bool is_completion_needed(const suspicion& evidence) const;
	/// \returns Whether the completion was new.
	bool add_timed_completion(suspicion& to, process_instance completion, instant began_at) const;
	[[nodiscard]] bool merge_evidence(suspicion& into, const suspicion& from, instant now) const;
	[[nodiscard]] std::vector<part_candidate> candidates(instant now);
	void on_change(entry& suspect, instant now);
	[[nodiscard]] const std::vector<blamed_parts>& blamed(instant now);
	void report_quarantine(entry& suspect, bool is_quarantined);
	void drop_expired(instant now);
	void enforce_max_suspects();

	quarantine_hook on_quarantine_;
	suspect_tuning tuning_;
	entries suspects_;
	recent_completions completions_;

	/// The parts to blame, and whether the evidence has changed since they were found.
	std::vector<blamed_parts> blamed_;
	bool is_blame_outdated_ = false;

	/// When they have to be found again, as a known part can be judged then; none: not before the next
	/// change.
	std::optional<instant> next_blame_at_;
};
} // namespace gingerdyke::quarantine
