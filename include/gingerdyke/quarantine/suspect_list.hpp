// SPDX-License-Identifier: MIT
// Requests under which replicas ended, and which of them are sent to no replica any more.
#pragma once

#include <gingerdyke/quarantine/replica_runs.hpp>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace gingerdyke::quarantine
{
/// \brief Lives of replicas that ended, each with other lives that ended at the same moment.
using ended_lives = std::map<process_life, std::set<process_life>>;

/// \brief What is known of one request: sets that only grow, so that reports may come in any order and more
/// than once, from any VM.
struct suspicion
{
	request_key key;

	/// Lives of replicas that ended under it. Whether those that ended at the same moment ended under it too
	/// is only known once the reports of all VMs are united: each knows what it sent itself.
	ended_lives ended;

	/// Lives of replicas that answered it to the end.
	std::set<process_life> survived;

	auto operator<=>(const suspicion&) const = default;
};

/// \brief Tuning of `suspect_list`.
struct suspect_tuning
{
	/// A request is held back once this many replicas ended under it. One end in a deployment of 18 replicas
	/// stands beside 20 and more requests, two still beside some; the users allow a few more sends only.
	double ends_to_hold = 3;

	/// Weight of an end that came together with others. A request that stood on three replicas of a rack, or
	/// was taken up by others that were lost in the next failure, is still served: of 458 requests that stood
	/// beside ends with causes of their own 24 would have been held with a weight of 1 (a day of six series
	/// of ends in 41 s).
	double together_weight = 0.5;

	/// Ends at the same time have another cause than a request that did not stand beside this many of them.
	/// One that stood beside all of them, at whatever VMs, may have caused all.
	std::size_t others_together = 2;

	/// A request is held back only where more than this many replicas ended under it for each that answered
	/// it: one that many callers send is answered again and again, whatever ends beside it.
	double ends_for_survival = 2;

	/// How long after the last end nothing is forgotten. Callers repeat for minutes; whoever mends a model,
	/// or the request, is not kept waiting for longer than a roll-out takes.
	duration lifetime = std::chrono::minutes{10};

	/// A VM stores by itself what weighs as much, if it saw one of the ends: the next end would hold the
	/// request back, and the way over the VM that reads for it takes 0.2 s more.
	double weight_to_store = 2;

	/// Lives that are kept of each kind, the smallest on all VMs alike: beyond these nothing changes.
	std::size_t most_lives = 8;

	/// Lives that are kept as ended at the same moment as another one. Two that did not end under the request
	/// are looked for, and two more may have; each costs 8 bytes in every report.
	std::size_t most_together = 4;

	/// Requests that are kept; those under which fewest replicas ended go first. A loss of 20 engines at once
	/// leaves about 500 on the VMs of a failure domain.
	std::size_t most_suspects = 1024;

	/// For how long news is told to other VMs with each report: several reports, as one may be lost.
	duration news_time = std::chrono::seconds{4};

	/// Requests told in one report, and those of a single end that are stored at once. Where more are new,
	/// many replicas ended at once, and single ends say next to nothing.
	std::size_t most_told = 64;
	std::size_t most_singles_stored = 32;
};

/// \brief Keeps what this VM knows, of its own and told by others.
class suspect_list
{
  public:
	/// \brief Told when a request begins to be held back, with the weight of the ends under it.
	using hold_hook = std::function<void(const suspicion&, double weight)>;

	explicit suspect_list(hold_hook held, suspect_tuning tuning = {});

	/// \brief Notes that a replica probably ended under some requests, until `confirm` or `retract` tells.
	void presume(process_life life, const std::vector<request_key>& requests, instant now);

	/// \brief Notes that it did end.
	/// \param together Lives that ended at the same time, whatever ran on them; empty: it came alone.
	void confirm(process_life life, const std::vector<process_life>& together, instant now);

	/// \brief Notes that it did not, or that this is not known.
	void retract(process_life life);

	/// \brief Notes that a replica answered a request to the end; without effect where nothing speaks against
	/// the request.
	void note_survived(const request_key& key, process_life life, instant now);

	/// \brief Takes what another VM knows.
	/// \param last_end When a replica last ended under it.
	void merge(const suspicion& told, instant last_end, instant now);

	/// \brief Takes what the registry holds; it need not be stored again.
	void note_stored(const suspicion& stored, instant last_end, instant now);

	/// \brief Forgets a request: an operator removed its row.
	void forget(const request_key& key) { suspects_.erase(key); }

	/// \brief Whether a request is sent to no replica any more.
	[[nodiscard]] bool is_held(const request_key& key, instant now) const;

	/// \brief Whether it depends on an end that is only likely yet whether a request is held back.
	[[nodiscard]] bool is_open(const request_key& key, instant now) const;

	/// \brief Whether the next end would hold a request back.
	[[nodiscard]] bool is_nearly_held(const request_key& key, instant now) const;

	/// \brief What other VMs should be told.
	/// \param least_ended Only requests under which so many replicas ended.
	[[nodiscard]] std::vector<suspicion> news(std::size_t least_ended, instant now) const;

	/// \brief What the registry should hold and does not, as far as this VM knows.
	/// \param for_others This VM reads the registry for others, and tells it what they saw.
	[[nodiscard]] std::vector<suspicion> unstored(bool for_others, instant now) const;

	/// \brief When a replica last ended under a request; none: nothing speaks against it.
	[[nodiscard]] std::optional<instant> last_end(const request_key& key) const;

	/// \brief Requests that are held back, and all under which replicas ended.
	[[nodiscard]] std::size_t held_count(instant now) const;
	[[nodiscard]] std::size_t size() const noexcept { return suspects_.size(); }

  private:
	struct entry
	{
		suspicion known;
		suspicion stored;

		/// Lives of which it is not known yet whether they ended.
		std::set<process_life> presumed;
		instant last_end;
		instant changed_at;

		/// A replica ended under it that this VM had sent it to.
		bool is_own{};
		bool is_told_held{};
	};

	using entries = std::map<request_key, entry>;

	[[nodiscard]] const entry* find(const request_key& key, instant now) const;
	[[nodiscard]] bool has_other_cause(const std::set<process_life>& together, const suspicion& known) const;
	/// Whether at least as many replicas ended under it, at each moment, as ended beside it.
	[[nodiscard]] bool is_half_known(const suspicion& known) const;
	[[nodiscard]] double weight_of(const suspicion& known) const;
	[[nodiscard]] bool is_enough(const suspicion& known, std::size_t further_ends) const;
	[[nodiscard]] bool note_together(suspicion& known, const std::vector<process_life>& lives) const;
	[[nodiscard]] bool is_worth_storing(const entry& one, bool for_others) const;
	entry& entry_of(const request_key& key, instant now);
	void add_end(suspicion& to, process_life life, const std::set<process_life>& together) const;
	[[nodiscard]] bool take(suspicion& into, const suspicion& from) const;
	void note_change(entry& one, instant now);
	void drop_old(instant now);
	void make_room();

	hold_hook held_;
	suspect_tuning tuning_;
	entries suspects_;
};
} // namespace gingerdyke::quarantine
