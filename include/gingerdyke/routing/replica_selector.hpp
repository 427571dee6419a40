// SPDX-License-Identifier: MIT
// The choice among a service's replicas: prompt affinity with bounded load, and ejection of those that fail.
#pragma once

#include <algorithm>
#include <functional>
#include <gingerdyke/base/random.hpp>
#include <gingerdyke/routing/replica_set.hpp>
#include <map>
#include <vector>

namespace gingerdyke::routing
{
/// \brief Tuning of `replica_selector`.
struct selector_tuning
{
	/// Replicas of the own failure domain, and of all, that are considered beside the favoured ones, drawn at
	/// random. What is known of their load is some tenths of a second old and known to many VMs: among all of
	/// a large deployment, each VM would find the same least loaded one.
	unsigned drawn_near = 6;
	unsigned drawn = 3;

	/// Affinity gives way where another replica has less work by this many tokens read by the same model,
	/// beside those of the shared parts that it would have to read. A smaller margin reads shared parts again
	/// with each small change of load; a larger one lets callers queue beside idle engines.
	double affinity_margin = 28000;

	/// A replica of another failure domain counts as having this much more work, in tokens read by the
	/// largest model: prompts and answers that cross failure domains are paid for.
	double far_work = 3000;

	/// Requests for models that take less than this share of the largest one's time also favour a replica of
	/// their own failure domain: to read their shared parts once in each failure domain costs little. For the
	/// largest model the same makes engines read shared parts again for longer than the way there takes.
	double near_affinity_below = 0.5;

	/// The work of other VMs counts for this long after it was told.
	duration elsewhere_lifetime = std::chrono::seconds{2};

	/// Weight of a new result in a replica's failure rate: about the last 8 results count.
	double rate_weight = 0.12;

	/// A replica is ejected where its failure rate passes this and the multiple of its service's rate.
	double ejection_rate = 0.35;
	double ejection_multiple = 2.5;

	/// Consecutive failures without an answer that eject a replica; a connection that does not come up ejects
	/// it at once.
	unsigned ejection_streak = 2;

	/// First ejection; doubled each time up to the longest. The first is short: a replica that restarts is
	/// back within seconds.
	duration first_ejection = std::chrono::milliseconds{1500};
	duration longest_ejection = std::chrono::seconds{12};

	/// A failure domain counts as dark where this many of its replicas failed without an answer within this
	/// time, and none answered since: it is cut off more likely than that each of them fails by itself.
	std::size_t dark_replicas = 2;
	duration dark_memory = std::chrono::milliseconds{1500};

	/// At least this share of a service's replicas stays in use however they fail.
	double kept_share = 0.5;

	/// A call to another failure domain counts as this much more work: one round trip of the users' links.
	duration far_penalty = std::chrono::microseconds{2800};

	/// Assumed time of an answer before one was seen.
	duration assumed_time = std::chrono::milliseconds{30};
};

/// \brief How an attempt at a replica ended, as far as it tells about the replica.
enum class replica_result
{
	answered,
	/// It answered that it failed.
	failed,
	/// It refused: full.
	refused,
	/// No answer: connection reset, or silence.
	no_answer,
	/// No connection came up.
	not_connected,
};

/// \brief Work open at a replica.
struct replica_work
{
	replica_id replica;

	/// Tokens to read by the largest model.
	double tokens{};
};

/// \brief What a choice depends on.
struct selection
{
	service_id service;

	/// Hash of the shared parts of the prompt; 0: none.
	std::uint64_t affinity{};

	/// The work that it would be to read the shared parts again.
	double shared_work{};

	/// Share of the largest model's time that the model takes.
	double model_weight{1};

	/// Replicas are engines: the work open at each counts, not the number of requests.
	bool is_engine{};

	/// Whether a replica may be used: its version, its room, not tried already.
	std::function<bool(const replica&)> usable;
};

/// \brief Chooses replicas and keeps what this VM's own requests tell about each.
class replica_selector
{
  public:
	/// \brief Told when a replica is ejected, with the failure rate and for how long.
	using ejection_hook = std::function<void(const replica_id&, double rate, duration span)>;

	replica_selector(const replica_set& replicas, failure_domain_id own_domain, random_source random,
		ejection_hook ejected, selector_tuning tuning = {});

	/// \brief Chooses a replica, or null where none is usable.
	[[nodiscard]] replica_ptr choose(const selection& what, instant now) const;

	/// \brief Notes a request sent to a replica. What is noted of a process that is gone, or has started
	/// again since, is left out, here and below. \param tokens Size of the work; 0 for plain services.
	void note_sent(const replica& one, double tokens);

	/// \brief Notes that a part of the work of a request sent before is done.
	void note_part_done(const replica& one, double tokens);

	/// \brief Notes that a request sent before is over.
	void note_over(const replica& one, double tokens);

	/// \brief Notes how an attempt ended.
	/// \param took Time to the first byte of the answer, where there was one.
	void note_result(const replica& one, replica_result result, duration took, instant now);

	/// \brief Work that this VM has open, for other VMs.
	[[nodiscard]] std::vector<replica_work> open_work() const;

	/// \brief Work open at a replica, own and told by other VMs, in tokens read by the largest model.
	[[nodiscard]] double work_at(const replica& one, instant now) const;

	/// \brief Takes the work that other VMs have open, in place of what was known of it.
	void note_elsewhere(const std::vector<replica_work>& work, instant now);

	/// \brief Forgets a replica that is gone, or that started again: the work, failures and ejection were
	/// those of the process before.
	void forget(const replica_id& id);

  private:
	struct state
	{
		/// Takes off work that is done.
		void take_off(double tokens) { open_tokens = std::max(0.0, open_tokens - tokens); }

		unsigned open{};
		double open_tokens{};
		double failure_rate{};
		unsigned streak{};
		unsigned ejections{};
		instant ejected_until;
		double mean_us{};
	};

	/// What the last attempts tell about a failure domain as a whole.
	struct domain_state
	{
		/// Replicas that failed without an answer since the last answer, and when.
		std::map<replica_id, instant> silent;
	};

	using candidates = std::vector<const replica_ptr*>;

	[[nodiscard]] candidates usable(const selection& what, instant now) const;
	[[nodiscard]] replica_ptr by_work(const candidates& from, const selection& what, instant now) const;
	[[nodiscard]] candidates near(const candidates& from) const;
	[[nodiscard]] candidates draw(unsigned count, const candidates& from) const;
	[[nodiscard]] replica_ptr by_load(const candidates& from) const;
	[[nodiscard]] double cost_of(const replica& one) const;
	[[nodiscard]] const state* find(const replica_id& id) const;
	[[nodiscard]] state* find_current(const replica& one);
	void eject(const replica& one, state& of, instant now);
	[[nodiscard]] bool is_dark(const failure_domain_id& domain, instant now) const;
	void note_domain(const replica& one, replica_result result, instant now);

	const replica_set& replicas_;
	failure_domain_id own_domain_;
	random_source random_;
	ejection_hook ejected_;
	selector_tuning tuning_;
	std::map<replica_id, state> states_;
	std::map<service_id, double> service_rates_;
	std::map<failure_domain_id, domain_state> domains_;

	/// Work that other VMs have open, and when it was told.
	std::map<replica_id, double> elsewhere_;
	instant elsewhere_at_;
};
} // namespace gingerdyke::routing
