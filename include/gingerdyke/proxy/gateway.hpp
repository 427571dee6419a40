// SPDX-License-Identifier: MIT
// What all requests of a VM share: the configuration in force, the replicas, the budgets.
#pragma once

#include <algorithm>
#include <gingerdyke/limits/attempt_budget.hpp>
#include <gingerdyke/proxy/answer_sink.hpp>
#include <gingerdyke/proxy/header_names.hpp>
#include <gingerdyke/proxy/replica_end_watch.hpp>
#include <gingerdyke/proxy/request_log.hpp>
#include <gingerdyke/proxy/unknown_statements.hpp>
#include <gingerdyke/proxy/upstream_pool.hpp>
#include <gingerdyke/quarantine/suspect_list.hpp>
#include <gingerdyke/rollout/version_shift.hpp>
#include <gingerdyke/routing/announced_limits.hpp>
#include <gingerdyke/routing/catalog.hpp>
#include <gingerdyke/routing/evacuated_domains.hpp>
#include <gingerdyke/routing/first_token_time.hpp>
#include <gingerdyke/routing/fleet_list.hpp>
#include <gingerdyke/routing/replica_selector.hpp>
#include <gingerdyke/routing/replica_set.hpp>
#include <gingerdyke/routing/rest_periods.hpp>
#include <gingerdyke/routing/size_policy.hpp>
#include <gingerdyke/routing/slow_start.hpp>
#include <map>
#include <ostream>
#include <set>

namespace gingerdyke::proxy
{
/// \brief Tuning of the data path; each figure with its reason.
struct gateway_tuning
{
	/// An attempt that may be repeated is given up without a first byte after this part of the objective.
	/// Below 1 a busy engine's callers would be taken away just before their answers begin, and wait twice.
	double first_byte_share = 1.2;

	/// The same for answers that come whole; their times spread up to seven times the mean.
	double whole_answer_share = 1.7;

	/// A stream that pauses for this multiple of the longest pause in time goes on elsewhere; reason as
	/// above.
	double pause_share = 1.6;

	/// Shortest of the limits above, for routes with a very short objective.
	duration shortest_limit = std::chrono::milliseconds{150};

	/// A connection that is not up by then is given up: a thousand times the users' usual time.
	duration connect_limit = std::chrono::milliseconds{400};

	/// A request that may run again is taken from a replica that does not acknowledge its bytes for this
	/// long: three losses in a row on the users' links take longer. Others wait as long as the connection
	/// does.
	duration unacknowledged_limit = std::chrono::milliseconds{900};

	/// Replicas tried, at most, to which no connection came up: nothing was sent, so they are no attempts.
	unsigned failed_connections = 6;

	/// Connections to one replica that a VM may have whatever its share of the replica's limit is: a share
	/// that is smaller would make requests wait while other VMs use none.
	unsigned least_connections = 4;

	/// An attempt is not begun with less than this left: it could only end too late.
	duration least_time = std::chrono::milliseconds{20};

	/// A stopping VM takes no streams after this time, and no other requests after the longer one: what it
	/// takes must end before the process does. The users' shortest limit for a stop is 8 s.
	duration streams_while_stopping = std::chrono::milliseconds{2900};
	duration requests_while_stopping = std::chrono::milliseconds{5500};

	/// A request that comes before the VM is ready waits this long at most: with a registry that answers, a
	/// VM that has just started is ready sooner.
	duration longest_start = std::chrono::milliseconds{400};

	/// A request is refused where its first token is expected after this multiple of the time that it has.
	/// The expectation is a mean: with 1, half of those refused would have been answered.
	int refusal_margin = 2;

	/// Callers who wait for the same replicas are told to come back over this much more of the wait: all at
	/// one moment would overload what has just returned.
	double retry_spread = 0.5;

	/// When a refused caller may come back: about the time after which another VM or replica is likely found.
	duration retry_after = std::chrono::milliseconds{250};
};

/// \brief Fleet-wide bounds that the deployment states.
struct fleet_bounds
{
	limits::attempt_budget_tuning attempts;

	/// A key that was taken away must not work longer than this, on any VM; none: no such bound.
	std::optional<duration> revocation_time;

	/// A change of the configuration is to be in force everywhere within this time; none: no such bound.
	std::optional<duration> change_limit;

	/// Part of all requests in the time of a shift that a bad version may get; none: an assumed one.
	std::optional<double> exposure_limit;
};

/// \brief Why this VM can't answer requests with keys at the moment, or that it can.
enum class key_trust
{
	trusted,
	/// The configuration was last confirmed too long ago: a key may have been taken away since.
	stale,
};

/// \brief A service without a replica that may be sent a request.
struct unavailability
{
	/// For the log and the caller.
	std::string reason;

	/// How long until that is likely over.
	duration retry_after{};
};

/// \brief State shared by all requests. Lives on one event loop.
class gateway
{
  public:
	/// \param log Told how each request ended.
	gateway(asio::io_context& context, header_names names, fleet_bounds bounds, failure_domain_id own_domain,
		random_source random, request_log& log, gateway_tuning tuning = {});

	/// \brief Takes a newer configuration; an older one or the same is ignored.
	/// \returns Whether it was taken.
	bool take(routing::catalog_ptr next);

	/// \brief Takes the whole registry of replicas.
	void take_replicas(std::vector<routing::replica> entries, instant now);

	/// \brief Notes that the configuration was the newest when a call to the registry was sent.
	void confirm(instant sent_at);

	/// \brief How long ago the configuration was last confirmed; none: never.
	[[nodiscard]] std::optional<duration> confirmed_age(instant now) const;

	/// \brief Whether what the configuration does not know can be said not to exist: it was confirmed within
	/// the time in which a change comes into force. A VM that has lost the registry knows no newer route.
	[[nodiscard]] bool knows_all_routes(instant now) const;

	/// \brief Notes that the table of replicas was the newest at a moment.
	void confirm_replicas(instant newest_at);

	/// \brief How long ago the table of replicas was last confirmed; none: never.
	[[nodiscard]] std::optional<duration> replicas_age(instant now) const;

	/// \brief Whether keys may be trusted now.
	[[nodiscard]] key_trust trust_in_keys(instant now) const;

	/// \brief Notes that the process is being stopped.
	void note_stop(instant now) { stop_began_ = now; }

	/// \brief Whether a request may still be taken: always, but late in a stop.
	[[nodiscard]] bool takes_requests(bool is_stream, instant now) const;

	/// \brief True once a configuration and the replicas are known.
	[[nodiscard]] bool ready() const { return catalog_ != nullptr && replicas_.known(); }

	/// \brief Calls a hook once, later, as soon as `ready` holds.
	void when_ready(std::function<void()> hook) { ready_hooks_.push_back(std::move(hook)); }

	/// \brief Takes how many VMs share the replicas, this one included.
	void note_vms(std::size_t count) { vm_count_ = std::max<unsigned>(1, static_cast<unsigned>(count)); }

	/// \brief VMs that share the replicas; until they are known as many as a small deployment has.
	[[nodiscard]] unsigned vm_count() const noexcept { return vm_count_; }

	/// \brief Why no replica of a service may be sent a request.
	[[nodiscard]] unavailability why_unavailable(const service_id& service, instant now) const;

	/// \brief Answers a caller's request.
	[[nodiscard]] std::shared_ptr<active_request> handle(request what, std::shared_ptr<answer_sink> to);

	/// \brief Whether a replica may be sent a new request: it is neither evacuated nor at rest, and this VM
	/// has a share left of what it bears.
	[[nodiscard]] bool may_send(const routing::replica& to, instant now) const;

	/// \brief Notes a request for a replica, for its shares and its first request after a rest.
	void note_sent(const routing::replica& to, instant now);

	/// \brief Sets who is told that there is something to report about a new version.
	void on_evidence(std::function<void()> hook) { evidence_hook_ = std::move(hook); }

	/// \brief Notes a replica's answer for the shift of its service's version.
	void note_answer(const routing::replica& from, const rollout::response_sample& answer);

	/// \brief Notes a replica's word that it leaves.
	/// \param request Id of the request whose answer said so, for the log.
	void note_leaving(const routing::replica& from, const std::string& request);

	/// \brief Notes that a replica says something of itself that can't be read.
	void note_unreadable(const routing::replica& from, const std::string& value);

	/// \brief Replicas' ends, and the requests under which they came.
	[[nodiscard]] replica_end_watch& ends() noexcept { return ends_; }

	/// \brief Requests under which replicas ended.
	[[nodiscard]] quarantine::suspect_list& suspects() noexcept { return suspects_; }

	/// \brief Whether another request that the next end would hold back runs on a replica, as far as this VM
	/// knows.
	[[nodiscard]] bool runs_other_suspect(
		const routing::replica& at, const quarantine::request_key& than, instant now) const;

	/// \brief Sets who is told that there is something to report about requests under which replicas ended.
	void on_suspicion(std::function<void()> hook) { suspicion_hook_ = std::move(hook); }

	/// \brief What is believed now, as gauges in the Prometheus text format.
	void write_metrics(std::ostream& out, instant now);

	/// \brief The retry budget of a service.
	[[nodiscard]] limits::attempt_budget& budget(const service_id& service);

	/// \brief How long a service's engines take to their first token.
	[[nodiscard]] routing::first_token_time& first_tokens(const service_id& service)
	{
		return first_tokens_[service];
	}

	[[nodiscard]] const routing::catalog_ptr& catalog() const noexcept { return catalog_; }
	[[nodiscard]] routing::replica_set& replicas() noexcept { return replicas_; }
	[[nodiscard]] routing::fleet_list& vms() noexcept { return vms_; }
	[[nodiscard]] routing::evacuated_domains& evacuated() noexcept { return evacuated_; }
	[[nodiscard]] routing::slow_start& cold_replicas() noexcept { return cold_replicas_; }
	[[nodiscard]] routing::announced_limits& announced() noexcept { return announced_; }
	[[nodiscard]] routing::rest_periods& resting() noexcept { return resting_; }
	[[nodiscard]] unknown_statements& unknown() noexcept { return unknown_; }
	[[nodiscard]] routing::replica_selector& selector() noexcept { return selector_; }
	[[nodiscard]] upstream_pool& pool() noexcept { return pool_; }
	[[nodiscard]] rollout::version_shift& versions() noexcept { return versions_; }
	[[nodiscard]] const routing::size_policy& sizes() const noexcept { return sizes_; }
	[[nodiscard]] const header_names& names() const noexcept { return names_; }
	[[nodiscard]] const gateway_tuning& tuning() const noexcept { return tuning_; }
	[[nodiscard]] asio::io_context& context() noexcept { return context_; }
	[[nodiscard]] request_log& log() noexcept { return log_; }

  private:
	void on_replica_change(const routing::replica& one, routing::replica_change change);
	void on_evacuation(const failure_domain_id& domain, bool is_evacuated);
	void note_cold(const routing::replica& one, routing::replica_change change, instant now);
	[[nodiscard]] replica_end_watch::hooks end_hooks();
	void on_replica_end(
		const replica_end& end, bool has_ended, const std::vector<quarantine::process_life>& together);
	void tell_ready();

	asio::io_context& context_;
	header_names names_;
	fleet_bounds bounds_;
	request_log& log_;
	gateway_tuning tuning_;
	routing::catalog_ptr catalog_;
	routing::replica_set replicas_;
	routing::evacuated_domains evacuated_;
	routing::fleet_list vms_;
	routing::slow_start cold_replicas_;
	routing::announced_limits announced_;
	routing::rest_periods resting_;
	routing::replica_selector selector_;
	upstream_pool pool_;
	quarantine::suspect_list suspects_;
	replica_end_watch ends_;
	std::uint64_t replica_ends_ = 0;
	std::uint64_t unreadable_statements_ = 0;
	unknown_statements unknown_;

	/// Replicas of which a line told already that they can't be understood.
	std::set<replica_id> unreadable_replicas_;
	rollout::version_shift versions_;
	routing::size_policy sizes_;
	std::map<service_id, routing::first_token_time> first_tokens_;
	std::map<service_id, limits::attempt_budget> budgets_;
	std::optional<instant> confirmed_at_;
	std::optional<instant> replicas_confirmed_at_;
	std::function<void()> evidence_hook_;
	std::function<void()> suspicion_hook_;
	std::vector<std::function<void()>> ready_hooks_;
	std::optional<instant> stop_began_;

	/// VMs of a small deployment.
	static constexpr unsigned assumed_vms = 6;
	unsigned vm_count_ = assumed_vms;
};
} // namespace gingerdyke::proxy
