// SPDX-License-Identifier: MIT
// The choice among a service's replicas: prompt affinity with bounded load, and ejection of those that fail.
#pragma once

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
	/// Affinity gives way where the favoured replica has more work from here than this multiple of the mean.
	double affinity_bound = 1.6;

	/// Tokens at a replica that never count as overload; about two prompts of the users' larger kind.
	double affinity_floor = 24000;

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

/// \brief What a choice depends on.
struct selection
{
	service_id service;

	/// Hash of the shared parts of the prompt; 0: none.
	std::uint64_t affinity{};

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

	/// \brief Notes a request sent to a replica.
	/// \param tokens Size of the work; 0 for plain services.
	void note_sent(const replica_id& id, double tokens);

	/// \brief Notes that a request sent before is over.
	void note_over(const replica_id& id, double tokens);

	/// \brief Notes how an attempt ended.
	/// \param took Time to the first byte of the answer, where there was one.
	void note_result(const replica& one, replica_result result, duration took, instant now);

	/// \brief Forgets a replica that is gone.
	void forget(const replica_id& id);

	/// \brief Requests open from here at a replica.
	[[nodiscard]] unsigned open_requests(const replica_id& id) const;

  private:
	struct state
	{
		unsigned open{};
		double open_tokens{};
		double failure_rate{};
		unsigned streak{};
		unsigned ejections{};
		instant ejected_until;
		double mean_us{};
	};

	using candidates = std::vector<const replica_ptr*>;

	[[nodiscard]] candidates usable(const selection& what, instant now) const;
	[[nodiscard]] replica_ptr by_affinity(const candidates& from, std::uint64_t affinity) const;
	[[nodiscard]] replica_ptr by_load(const candidates& from) const;
	[[nodiscard]] double cost_of(const replica& one) const;
	[[nodiscard]] const state* find(const replica_id& id) const;
	void eject(const replica& one, state& of, instant now);

	const replica_set& replicas_;
	failure_domain_id own_domain_;
	random_source random_;
	ejection_hook ejected_;
	selector_tuning tuning_;
	std::map<replica_id, state> states_;
	std::map<service_id, double> service_rates_;
};
} // namespace gingerdyke::routing
