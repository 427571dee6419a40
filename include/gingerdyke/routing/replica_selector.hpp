// SPDX-License-Identifier: MIT
// Load balancing among a service's replicas: prompt affinity with bounded load, and outlier ejection.
#pragma once

#include <algorithm>
#include <functional>
#include <gingerdyke/base/random.hpp>
#include <gingerdyke/routing/replica_set.hpp>
#include <gingerdyke/routing/replica_work.hpp>
#include <map>
#include <vector>

namespace gingerdyke::routing
{
/// \brief Tuning of `replica_selector`.
struct selector_tuning
{
	/// Number of replicas of this VM's own failure domain, and of all failure domains, that are sampled at
	/// random in addition to the replicas preferred by affinity. What is known of their load is some tenths
	/// of a second old and the same on many VMs: if each VM considered all replicas of a large deployment,
	/// all would choose the same least loaded one.
	unsigned local_samples = 6;
	unsigned global_samples = 3;

	/// Number of replicas that one choice examines, beside those preferred by affinity. Of a service with
	/// more, as many are drawn at random: to examine thousands takes longer than the rest of a request, and
	/// the choice among the samples above needs no more.
	std::size_t max_examined = 256;

	/// Number of replicas preferred by affinity that are examined in a service with more than
	/// `max_examined`, in case the first ones can't be used.
	std::size_t examined_preferred = 4;

	/// The replica preferred by affinity is not used if another replica has less work by this many prompt
	/// tokens, as processed by the request's model, plus those of the shared prefix that the other replica
	/// would have to process again. With a smaller margin, small changes of load make engines process shared
	/// prefixes again; with a larger one, requests queue while other engines are idle.
	double affinity_margin = 28000;

	/// Work added to a replica of another failure domain, in prompt tokens as processed by the largest
	/// model: traffic between failure domains costs money.
	double cross_domain_work = 3000;

	/// For models that take less than this share of the largest model's time, the preferred replica of this
	/// VM's own failure domain is considered too: processing their shared prefixes once in each failure
	/// domain costs little. For the largest model, processing them again would take longer than the
	/// cross-domain round trip.
	double local_affinity_below = 0.5;

	/// How long the work reported by other VMs counts after it was reported.
	duration remote_work_lifetime = std::chrono::seconds{2};

	/// Weight of a new result in the moving average of a replica's failure rate; it covers about the last 8
	/// results.
	double failure_rate_weight = 0.12;

	/// A replica is ejected if its failure rate exceeds both this rate and this multiple of its service's
	/// failure rate.
	double ejection_rate = 0.35;
	double ejection_multiple = 2.5;

	/// Consecutive failures without a response that eject a replica; a failed connection attempt ejects it
	/// at once.
	unsigned ejection_failures = 2;

	/// Length of the first ejection; doubled each time up to the maximum. The first one is short because a
	/// replica that restarts is back within seconds.
	duration first_ejection = std::chrono::milliseconds{1500};
	duration max_ejection = std::chrono::seconds{12};

	/// A failure domain is considered unreachable if `required_silent_replicas` of a service's replicas there
	/// failed without a response within this window and none has answered since: a network partition is then
	/// more likely than independent failures.
	duration unreachable_domain_window = std::chrono::milliseconds{1500};

	/// Ejections are ignored if less than this share of a service's eligible replicas in reachable failure
	/// domains would remain.
	double min_available_share = 0.5;

	/// Cost added to a replica of another failure domain: one round trip between the failure domains of the
	/// deployments' networks.
	duration cross_domain_penalty = std::chrono::microseconds{2800};

	/// Assumed response time of a replica without any response yet.
	duration assumed_response_time = std::chrono::milliseconds{30};
};

/// \brief Outcome of an attempt at a replica, as far as it shows the replica's state.
enum class replica_result
{
	answered,
	/// The replica responded with an error.
	failed,
	/// The replica refused the request because it is at capacity.
	refused,
	/// No response: the connection was reset, or timed out.
	no_response,
	/// The connection could not be established.
	not_connected,
};

/// \brief Input of a replica choice.
struct selection
{
	service_id service;

	/// Hash of the prompt's shared prefix; 0: none.
	std::uint64_t affinity{};

	/// Work of processing the shared prefix again, in prompt tokens as processed by the largest model.
	double shared_work{};

	/// Work of processing the prompt at an engine that has no part of it, in prompt tokens as processed by
	/// the largest model.
	double own_work{};

	/// Compute time of the requested model relative to the largest model.
	double model_weight{1};

	/// Replicas are model engines: the choice is by outstanding work instead of the number of requests.
	bool is_engine{};

	/// Whether a replica is eligible: its version matches, it has capacity, and it was not tried already.
	std::function<bool(const replica&)> usable;

	/// Whether a replica is known to be silent: it is chosen only if no other is eligible. May be empty.
	std::function<bool(const replica&)> is_silent{};

	/// Whether a replica is believed to have no room: it is chosen only if no other is eligible, silent ones
	/// apart. May be empty.
	std::function<bool(const replica&)> is_full{};

	/// Time that an engine takes for its work, relative to its service. May be empty: all are equal.
	std::function<double(const replica&)> pace{};
};

/// \brief Chooses replicas, and keeps per replica the statistics of this VM's own requests.
class replica_selector
{
  public:
	/// \brief Called when a replica is ejected, with its failure rate and the length of the ejection.
	using ejection_hook = std::function<void(const replica_id&, double rate, duration span)>;

	replica_selector(const replica_set& replicas, failure_domain_id own_domain, random_source random,
		ejection_hook ejected, selector_tuning tuning = {});

	/// \brief Chooses a replica, or returns null if none is eligible.
	[[nodiscard]] replica_ptr choose(const selection& request, instant now) const;

	/// \brief Records a request sent to a replica. This and the other `record_` functions ignore calls for a
	/// replica process that is gone or has restarted since.
	/// \param tokens Size of the work in prompt tokens; 0 for services that are not engines.
	void record_sent(const replica& target, double tokens);

	/// \brief Records that part of the work of a request sent before is done.
	void record_progress(const replica& target, double tokens);

	/// \brief Records that a request sent before has ended.
	void record_completion(const replica& target, double tokens);

	/// \brief Records the outcome of an attempt.
	/// \param took Time to the first byte of the response, if there was one.
	void record_result(const replica& target, replica_result result, duration took, instant now);

	/// \brief Returns the number of requests that this VM has in progress at a replica.
	[[nodiscard]] unsigned requests_in_progress(const replica& target) const;

	/// \brief Returns the work that this VM has outstanding, for other VMs.
	[[nodiscard]] std::vector<replica_work> outstanding_work() const;

	/// \brief Returns the outstanding work at a replica, from this VM and as reported by other VMs, in
	/// prompt tokens as processed by the largest model.
	[[nodiscard]] double work_at(const replica& target, instant now) const;

	/// \brief Returns the requests in progress at a replica, from this VM and as reported by other VMs.
	[[nodiscard]] double requests_at(const replica& target, instant now) const;

	/// \brief Whether other VMs' outstanding work was reported lately.
	[[nodiscard]] bool has_remote_work(instant now) const
	{
		return now - remote_work_at_ <= tuning_.remote_work_lifetime;
	}

	/// \brief Replaces what is known of the outstanding work of other VMs.
	void set_remote_work(const std::vector<replica_work>& work, instant now);

	/// \brief Drops the state of a replica that is gone or has restarted: its work, failures and ejection
	/// were those of the previous process.
	void forget(const replica_id& id);

  private:
	struct replica_stats
	{
		/// Subtracts work that is done.
		void remove_work(double tokens) { outstanding_tokens = std::max(0.0, outstanding_tokens - tokens); }

		unsigned outstanding_requests{};
		double outstanding_tokens{};
		double failure_rate{};
		unsigned consecutive_failures{};
		unsigned ejections{};
		instant ejected_until;
		double mean_response_us{};
	};

	/// State of a failure domain as a whole, derived from the latest attempts.
	struct domain_state
	{
		/// Replicas that failed without a response since the last response from the failure domain, and
		/// when.
		std::map<replica_id, instant> unresponsive;

		/// Number of them that makes the failure domain unreachable.
		std::size_t required{};
	};

	using candidates = std::vector<const replica_ptr*>;

	[[nodiscard]] candidates usable(const selection& request, instant now) const;
	[[nodiscard]] candidates usable_among(
		const candidates& examined, const selection& request, instant now) const;
	[[nodiscard]] candidates examined_of(const selection& request) const;
	[[nodiscard]] replica_ptr choose_among(
		const candidates& from, const selection& request, instant now) const;
	[[nodiscard]] replica_ptr choose_by_work(
		const candidates& from, const selection& request, instant now) const;
	[[nodiscard]] double expected_work(
		const replica& candidate, const selection& request, double shared_work, instant now) const;
	[[nodiscard]] candidates in_own_domain(const candidates& from) const;
	[[nodiscard]] candidates sample(unsigned count, const candidates& from) const;
	[[nodiscard]] replica_ptr choose_by_load(const candidates& from) const;
	[[nodiscard]] double cost_of(const replica& target) const;
	[[nodiscard]] const replica_stats* find_stats(const replica_id& id) const;
	[[nodiscard]] replica_stats* find_current(const replica& target);
	[[nodiscard]] const replica_work* find_remote_work(const replica_id& id, instant now) const;
	void eject(const replica& target, replica_stats& stats, instant now);
	[[nodiscard]] bool is_domain_unreachable(const failure_domain_id& domain, instant now) const;
	void record_domain_result(const replica& target, replica_result result, instant now);

	const replica_set& replicas_;
	failure_domain_id own_domain_;
	random_source random_;
	ejection_hook ejected_;
	selector_tuning tuning_;
	std::map<replica_id, replica_stats> stats_;
	std::map<service_id, double> service_failure_rates_;
	std::map<failure_domain_id, domain_state> domains_;

	/// Outstanding work of other VMs, and when it was reported.
	std::map<replica_id, replica_work> remote_work_;
	instant remote_work_at_;
};
} // namespace gingerdyke::routing
