// SPDX-License-Identifier: MIT
// State shared by all requests of a VM: the configuration in force, the replicas and the retry budgets.
#pragma once

#include <algorithm>
#include <gingerdyke/limits/admission_control.hpp>
#include <gingerdyke/limits/attempt_budget.hpp>
#include <gingerdyke/limits/memory_account.hpp>
#include <gingerdyke/limits/token_bucket.hpp>
#include <gingerdyke/limits/workspace_usage.hpp>
#include <gingerdyke/proxy/forwarding_terms.hpp>
#include <gingerdyke/proxy/header_names.hpp>
#include <gingerdyke/proxy/path_prober.hpp>
#include <gingerdyke/proxy/replica_exit_detector.hpp>
#include <gingerdyke/proxy/request_log.hpp>
#include <gingerdyke/proxy/response_sink.hpp>
#include <gingerdyke/proxy/slot_queue.hpp>
#include <gingerdyke/proxy/unknown_statements.hpp>
#include <gingerdyke/proxy/upstream_pool.hpp>
#include <gingerdyke/quarantine/canary_schedule.hpp>
#include <gingerdyke/quarantine/suspect_list.hpp>
#include <gingerdyke/rollout/version_health.hpp>
#include <gingerdyke/rollout/version_shift.hpp>
#include <gingerdyke/routing/announced_limits.hpp>
#include <gingerdyke/routing/backoff_periods.hpp>
#include <gingerdyke/routing/catalog.hpp>
#include <gingerdyke/routing/concurrency_limits.hpp>
#include <gingerdyke/routing/engine_pace.hpp>
#include <gingerdyke/routing/evacuated_domains.hpp>
#include <gingerdyke/routing/first_token_estimator.hpp>
#include <gingerdyke/routing/fleet_list.hpp>
#include <gingerdyke/routing/full_replicas.hpp>
#include <gingerdyke/routing/path_monitor.hpp>
#include <gingerdyke/routing/peer_selector.hpp>
#include <gingerdyke/routing/replica_selector.hpp>
#include <gingerdyke/routing/replica_set.hpp>
#include <gingerdyke/routing/service_room.hpp>
#include <gingerdyke/routing/silence_board.hpp>
#include <gingerdyke/routing/size_policy.hpp>
#include <gingerdyke/routing/slow_start.hpp>
#include <map>
#include <ostream>
#include <set>

namespace gingerdyke::proxy
{
/// \brief Tuning of the data path.
struct gateway_tuning
{
	/// A repeatable attempt without a first byte is abandoned after the route's latency objective times this.
	/// Below 1, requests would be taken from a busy engine just before it responds, and wait in a queue
	/// twice.
	double first_byte_timeout_factor = 1.2;

	/// The same for responses that are not streamed. Their times vary more: up to seven times the mean.
	double buffered_response_timeout_factor = 1.7;

	/// A stream is resumed on another replica after a pause of this multiple of the route's longest
	/// acceptable pause. Above 1 for the same reason as `first_byte_timeout_factor`.
	double stream_pause_timeout_factor = 1.6;

	/// Lower bound of the timeouts above, for routes with a very short objective.
	duration min_attempt_timeout = std::chrono::milliseconds{150};

	/// Longest time from sending a request on an idle connection to learning that the replica had closed it:
	/// a multiple of the time that the connection took to be established, and the delay of an event loop.
	double idle_close_round_trips = 2;
	duration idle_close_delay = std::chrono::milliseconds{2};

	/// Timeout of establishing a connection: a thousand times the usual time on the deployments' networks.
	duration connect_timeout = std::chrono::milliseconds{400};

	/// Interval at which a request that waits for its first byte checks whether the path to its replica is
	/// lost. Most requests wait for less.
	duration path_check_interval = std::chrono::milliseconds{500};

	/// A repeatable request is taken from a replica that leaves its bytes unacknowledged for this long; three
	/// consecutive packet losses on the deployments' links take longer. Other requests wait for as long as
	/// the connection lasts.
	duration unacknowledged_timeout = std::chrono::milliseconds{900};

	/// Maximum number of replicas to which the connection failed. As nothing was sent to them, they do not
	/// count as attempts.
	unsigned max_failed_connections = 6;

	/// Maximum number of connections that did not come up within the timeout above if another VM may be asked
	/// instead. A refusal takes one round trip, and replicas that are down refuse connections too.
	unsigned max_unanswered_connections_before_forwarding = 2;

	/// Maximum number of VMs through which one request is sent. Those after the first are asked because the
	/// one before had lost its path too; half of the VMs may have.
	std::size_t max_forwarding_vms = 3;

	/// Maximum number of requests that this VM forwards to replicas for other VMs at a time; each takes some
	/// tens of kilobytes.
	unsigned max_forwarded_requests = 400;

	/// Connections that a VM may open to a replica even if its share of the replica's limit is smaller: with
	/// a smaller share, requests would wait while other VMs leave theirs unused.
	unsigned min_connections = 4;

	/// No attempt starts with less time than this left until the deadline, as it could only end too late.
	duration min_attempt_time = std::chrono::milliseconds{20};

	/// For how long after the start of a shutdown requests are accepted that may outlast it, if they can be
	/// repeated: until then callers are still sent here, and most requests end long before their deadline.
	duration acceptance_while_stopping = std::chrono::milliseconds{2900};

	/// Time for a response given at its request's deadline to reach the caller before the process exits.
	duration final_response_time = std::chrono::milliseconds{100};

	/// Maximum wait of a request that arrives before the VM is ready. If the registry responds, a VM that has
	/// just started is ready sooner.
	duration max_ready_wait = std::chrono::milliseconds{400};

	/// A request is refused if its first token is expected later than this multiple of its remaining time.
	/// The expectation is a mean: with a factor of 1, half of the refused requests would have been served.
	int refusal_factor = 2;

	/// Random increase of `Retry-After`, relative to the wait: callers that all returned at the same moment
	/// would overload replicas that have just become available.
	double retry_after_jitter = 0.5;

	/// Part of a request's latency objective for which it waits for a slot of a brittle replica. A caller
	/// that is refused after that may still be served in time elsewhere.
	double slot_wait_share = 0.25;

	/// Default and minimum `Retry-After` of refused requests: about the time after which another VM or
	/// replica is likely to be available.
	duration retry_after = std::chrono::milliseconds{250};
};

/// \brief A shutdown of the process: its start, and when the process exits at the latest.
struct shutdown_period
{
	instant started_at;
	instant ends_at;
};

/// \brief Fleet-wide limits set by the deployment.
struct fleet_bounds
{
	/// Limit on additional attempts; `slack` is that of all VMs together.
	limits::attempt_budget_tuning attempts;

	/// A revoked API key must be rejected by all VMs after this time; none: no such limit.
	std::optional<duration> revocation_time;

	/// A configuration change must be in force on all VMs within this time; none: no such limit.
	std::optional<duration> change_limit;

	/// Region of each failure domain.
	routing::region_map regions;

	/// Requests are admitted by priority, and the least urgent are refused at once, while a service has less
	/// room than its callers ask for.
	bool sheds_overload{};

	/// Fraction of all requests during a version shift that a bad version may receive; none: a default
	/// applies.
	std::optional<double> exposure_limit;

	/// Number of requests that it may receive on top, from all VMs together.
	double exposure_slack{};

	/// Limits on what a VM keeps for others.
	limits::memory_tuning memory{};
};

/// \brief A response that was dropped for its size or content.
struct given_up_response
{
	/// Id of the request.
	std::string request;

	/// The replica, or the VM that forwarded the request.
	replica_id sender;
	upstream_fault reason{};
	std::uint64_t received_bytes{};
};

/// \brief An attempt that ended without a whole response, as evidence on its replica's version.
struct broken_attempt
{
	/// Its ending, as a failure.
	rollout::response_sample sample;

	/// A response had begun, and was recorded then as a success.
	bool has_begun{};

	/// Where the response was counted as a success; none if it was not compared.
	std::optional<rollout::counted_response> counted;
};

/// \brief Whether this VM can authenticate requests by API key.
enum class key_trust
{
	trusted,
	/// The configuration was last confirmed too long ago: a key may have been revoked since.
	stale,
};

/// \brief Why no replica of a service can be sent a request.
struct unavailability
{
	/// Reason, for the log and the caller.
	std::string reason;

	/// Estimated time until a replica is available again.
	duration retry_after{};
};

/// \brief State shared by all requests. Used on one event loop only.
class gateway
{
  public:
	/// \param log Records how each request ended.
	gateway(asio::io_context& context, header_names names, fleet_bounds bounds, failure_domain_id own_domain,
		random_source random, request_log& log, gateway_tuning tuning = {});

	/// \brief Applies a configuration if it is newer than the one in force.
	/// \returns Whether it was applied.
	bool apply_catalog(routing::catalog_ptr next);

	/// \brief Replaces all replicas by the entries of the registry.
	void set_replicas(std::vector<routing::replica> entries, instant now);

	/// \brief Applies changes of entries; what depends on all replicas of a service is computed once.
	/// \param apply Applies the changes to `replicas()`.
	void change_replicas(const std::function<void(routing::replica_set&)>& apply);

	/// \brief Records that the configuration was the newest at the time when a call to the registry was sent.
	void confirm_catalog(instant sent_at);

	/// \brief Time since the configuration was last confirmed; none if it never was.
	[[nodiscard]] std::optional<duration> catalog_age(instant now) const;

	/// \brief Whether a route or key that the configuration lacks can be reported as nonexistent: the
	/// configuration was confirmed within the time in which a change comes into force. A VM that has lost the
	/// registry does not know newer routes.
	[[nodiscard]] bool knows_all_routes(instant now) const;

	/// \brief Records the time at which the table of replicas was known to be the newest.
	void confirm_replicas(instant newest_at);

	/// \brief Time since the table of replicas was last confirmed; none if it never was.
	[[nodiscard]] std::optional<duration> replicas_age(instant now) const;

	/// \brief Whether API keys can be trusted now.
	[[nodiscard]] key_trust trust_in_keys(instant now) const;

	/// \brief Records that the process is shutting down.
	void record_shutdown(const shutdown_period& period) { shutdown_ = period; }

	/// \brief Whether a new request is accepted. During a shutdown only those are that end before the process
	/// does, and at first also those that can be repeated.
	/// \param deadline When the request is answered at the latest.
	[[nodiscard]] bool accepts_request(const routing::route& on, instant deadline, instant now) const;

	/// \brief Whether a configuration and the replicas are known.
	[[nodiscard]] bool ready() const { return catalog_ != nullptr && replicas_.is_loaded(); }

	/// \brief Posts a hook to the event loop once `ready` holds.
	void when_ready(std::function<void()> hook) { ready_hooks_.push_back(std::move(hook)); }

	/// \brief Sets the number of VMs that share the replicas, including this one.
	void set_vm_count(std::size_t count);

	/// \brief Number of VMs that share the replicas; until it is known, the size of a small deployment.
	[[nodiscard]] unsigned vm_count() const noexcept { return vm_count_; }

	/// \brief Why no replica of a service can be sent a request.
	[[nodiscard]] unavailability why_unavailable(const service_id& service, instant now) const;

	/// \brief Handles a caller's request.
	[[nodiscard]] std::shared_ptr<active_request> handle(
		request incoming, std::shared_ptr<response_sink> output);

	/// \brief Handles a request that another VM forwards.
	[[nodiscard]] std::shared_ptr<active_request> handle_forwarded(
		request incoming, std::shared_ptr<response_sink> output);

	/// \brief Sets this VM's own id, which other VMs log.
	void set_vm(vm_id vm) { vm_ = std::move(vm); }
	[[nodiscard]] const vm_id& vm() const noexcept { return vm_; }

	/// \brief Whether the process is shutting down.
	[[nodiscard]] bool is_stopping() const noexcept { return shutdown_.has_value(); }

	/// \brief Counts the requests in progress that other VMs forward.
	void begin_forwarded() { ++forwarded_count_; }
	void end_forwarded() { --forwarded_count_; }
	[[nodiscard]] unsigned forwarded_count() const noexcept { return forwarded_count_; }

	/// \brief Records that a VM could not serve a forwarded request.
	/// \param request Id of the request, for the log.
	void record_unavailable_peer(
		const vm_id& peer, const service_id& service, const std::string& request, const std::string& reason);

	/// \brief Records a failure of a connection to a replica that may be one of the path.
	void record_path_failure(const routing::replica& to, routing::path_failure failure, instant now);

	/// \brief Records that a VM could not be reached, or was lost while it forwarded a request.
	void record_unreachable_peer(const vm_id& peer, const std::string& request, const char* reason);

	/// \brief Whether a failure domain lies in a region that a request may be sent to.
	/// \param workspace The workspace that the request is of; null if it is of none.
	[[nodiscard]] bool is_region_allowed(
		const failure_domain_id& to, const routing::route& route, const routing::workspace* workspace) const
	{
		return bounds_.regions.allows(to, route.regions) &&
			   (workspace == nullptr || bounds_.regions.allows(to, workspace->regions));
	}

	/// \brief Whether a replica can be sent a new request: its failure domain is not evacuated, it has not
	/// asked this VM to back off, and this VM has some of its share of the replica's cold limit, load limit
	/// and slots left.
	[[nodiscard]] bool may_send(const routing::replica& to, instant now) const;

	/// \brief Whether a replica's slots are room for this VM's requests: its failure domain is not evacuated,
	/// this VM has a path to it, and it is not known to be silent.
	[[nodiscard]] bool has_usable_slots(const routing::replica& of, instant now) const;

	/// \brief Returns what is known of the slots of a service's replicas.
	[[nodiscard]] limits::service_slots slots_of(const service_id& id);

	/// \brief Records a request sent to a replica. It uses part of this VM's shares of the replica's limits
	/// and may be the first after a back-off.
	void record_sent(const routing::replica& to, instant now);

	/// \brief Sets the hook that is called when there is new evidence on a version to report to other VMs.
	void on_evidence(std::function<void()> hook) { evidence_hook_ = std::move(hook); }

	/// \brief Sets the hook that is called with the workspace of each request that began running.
	void on_request_started(std::function<void(const workspace_id&)> hook)
	{
		request_started_hook_ = std::move(hook);
	}

	/// \brief Records that a request of a workspace began running on a replica.
	void record_started(const workspace_id& workspace) const
	{
		if (request_started_hook_)
		{
			request_started_hook_(workspace);
		}
	}

	/// \brief Records a response as evidence for the version shift of the replica's service.
	/// \returns Where it was counted as a success; none if it was not.
	std::optional<rollout::counted_response> record_response(
		const routing::replica& from, const rollout::response_sample& sample);

	/// \brief Records as evidence that an attempt ended without a whole response. It counts only if the
	/// replica is in service and its process turns out to run: an exit breaks all responses of a replica off
	/// at once, and a lost path or a planned stop says nothing about its version.
	void record_broken_attempt(const routing::replica_ptr& from, const broken_attempt& ended);

	/// \brief Records such an attempt at once, where what was received shows that the process runs.
	void count_broken_attempt(const routing::replica& from, const broken_attempt& ended);

	/// \brief Records a replica's statement that it is draining.
	/// \param request Id of the request whose response said so, for the log.
	void record_draining(const routing::replica& from, const std::string& request);

	/// \brief Whether a request to a service waits for one in progress to end: its brittle replicas have
	/// enough from this VM.
	[[nodiscard]] bool should_await_slot(const service_id& service) const
	{
		return concurrency_limits_.is_any_limited(service);
	}

	/// \brief Requests that wait for a slot of a brittle replica.
	[[nodiscard]] slot_queue& slots() noexcept { return slots_; }

	/// \brief Records a response that was dropped for its size or content.
	void record_given_up(const given_up_response& response, instant now);

	/// \brief Records a malformed statement of a replica.
	void record_malformed_statement(const routing::replica& from, const std::string& value);

	/// \brief Detects exits of replica processes and the requests that ran on them.
	[[nodiscard]] replica_exit_detector& exit_detector() noexcept { return exit_detector_; }

	/// \brief Requests during which replica processes exited, and which of them are quarantined, that is, no
	/// longer sent to any replica.
	[[nodiscard]] quarantine::suspect_list& suspects() noexcept { return suspects_; }

	/// \brief Whether this VM sends one request with an ambiguous combination of parts to a replica, to learn
	/// which part is to blame. One VM of all does so for a combination, with growing pauses.
	[[nodiscard]] bool start_canary(const quarantine::content_key& combination, instant now);

	/// \brief Whether a replica runs another request that would be quarantined after one more exit, as far
	/// as this VM knows.
	[[nodiscard]] bool runs_another_suspect(
		const routing::replica& target, const quarantine::content_keys& excluded, instant now) const;

	/// \brief Sets the hook that is called when there is news on suspected requests to report to other VMs.
	void on_suspicion(std::function<void()> hook) { suspicion_hook_ = std::move(hook); }

	/// \brief Writes the current state as metrics in the Prometheus text format.
	void write_metrics(std::ostream& out, instant now);

	/// \brief Load of services, and which requests they have room for.
	[[nodiscard]] limits::admission_control& admission() noexcept { return admission_; }

	/// \brief Account of what this VM keeps for others; connections share it.
	[[nodiscard]] const limits::memory_account& memory() const noexcept { return *memory_; }
	[[nodiscard]] const std::shared_ptr<limits::memory_account>& memory_ptr() const noexcept
	{
		return memory_;
	}

	/// \brief What workspaces usually send.
	[[nodiscard]] limits::workspace_usage& usage() noexcept { return workspace_usage_; }

	/// \brief The retry budget of a service.
	[[nodiscard]] limits::attempt_budget& budget(const service_id& service);

	/// \brief Estimator of the time to first token of a service's engines.
	[[nodiscard]] routing::first_token_estimator& first_token_times(const service_id& service)
	{
		return first_token_times_[service];
	}

	/// \brief Pace of each engine relative to its service.
	[[nodiscard]] routing::engine_pace& paces() noexcept { return paces_; }

	[[nodiscard]] const routing::catalog_ptr& catalog() const noexcept { return catalog_; }
	[[nodiscard]] routing::replica_set& replicas() noexcept { return replicas_; }
	[[nodiscard]] routing::fleet_list& vms() noexcept { return vms_; }
	[[nodiscard]] routing::evacuated_domains& evacuated() noexcept { return evacuated_domains_; }
	[[nodiscard]] routing::slow_start& cold_replicas() noexcept { return cold_replicas_; }
	[[nodiscard]] routing::announced_limits& load_limits() noexcept { return load_limits_; }
	[[nodiscard]] routing::concurrency_limits& concurrency() noexcept { return concurrency_limits_; }
	[[nodiscard]] routing::backoff_periods& backoffs() noexcept { return backoffs_; }
	[[nodiscard]] unknown_statements& unknown_names() noexcept { return unknown_names_; }
	[[nodiscard]] routing::replica_selector& selector() noexcept { return selector_; }
	[[nodiscard]] upstream_pool& pool() noexcept { return pool_; }

	/// \brief Connections to other VMs that forward requests.
	[[nodiscard]] upstream_pool& peer_pool() noexcept { return peer_pool_; }
	[[nodiscard]] routing::peer_selector& peers() noexcept { return peers_; }
	[[nodiscard]] routing::path_monitor& paths() noexcept { return paths_; }
	[[nodiscard]] routing::silence_board& silences() noexcept { return silences_; }
	[[nodiscard]] routing::service_room& rooms() noexcept { return rooms_; }
	[[nodiscard]] routing::full_replicas& full_replicas() noexcept { return full_replicas_; }
	[[nodiscard]] rollout::version_shift& versions() noexcept { return versions_; }
	[[nodiscard]] const routing::size_policy& sizes() const noexcept { return sizes_; }
	[[nodiscard]] const header_names& names() const noexcept { return names_; }
	[[nodiscard]] const gateway_tuning& tuning() const noexcept { return tuning_; }
	[[nodiscard]] asio::io_context& context() noexcept { return context_; }
	[[nodiscard]] request_log& log() noexcept { return log_; }

  private:
	[[nodiscard]] double usable_slots(const service_id& id) const;
	void write_room_metrics(std::ostream& out) const;
	void write_memory_metrics(std::ostream& out) const;
	void write_pace_metrics(std::ostream& out) const;
	void write_version_metrics(std::ostream& out) const;
	void report_evidence(const service_id& service);
	void on_path_change(const routing::path_change& change);
	void retract_silences(const routing::path_group& group);
	void on_replica_change(const routing::replica& instance, routing::replica_change change);
	void log_replica_change(const routing::replica& instance, routing::replica_change change);
	void log_counted_changes();
	void update_version_counts();
	void on_evacuation(const failure_domain_id& domain, bool is_evacuated);
	void record_cold_state(const routing::replica& instance, routing::replica_change change, instant now);
	[[nodiscard]] replica_exit_detector::hooks exit_detector_hooks();
	void on_replica_exit(const replica_exit& exited, bool has_exited,
		const std::vector<quarantine::process_instance>& correlated);
	void run_ready_hooks();

	asio::io_context& context_;
	header_names names_;
	fleet_bounds bounds_;
	request_log& log_;
	gateway_tuning tuning_;
	std::shared_ptr<limits::memory_account> memory_;
	std::map<upstream_fault, std::uint64_t> given_up_responses_;
	limits::token_bucket given_up_lines_;
	routing::catalog_ptr catalog_;
	routing::replica_set replicas_;
	routing::evacuated_domains evacuated_domains_;
	routing::fleet_list vms_;
	routing::slow_start cold_replicas_;
	routing::announced_limits load_limits_;
	routing::concurrency_limits concurrency_limits_;
	slot_queue slots_;
	routing::backoff_periods backoffs_;
	routing::replica_selector selector_;
	upstream_pool pool_;
	upstream_pool peer_pool_;
	routing::peer_selector peers_;
	routing::path_monitor paths_;
	path_prober path_prober_;
	routing::silence_board silences_;
	routing::service_room rooms_;
	routing::full_replicas full_replicas_;
	vm_id vm_;
	unsigned forwarded_count_ = 0;
	quarantine::suspect_list suspects_;
	quarantine::canary_schedule canaries_;
	replica_exit_detector exit_detector_;
	std::uint64_t replica_exits_ = 0;

	/// Attempts that ended without a whole response, by whether they count against a version.
	std::uint64_t counted_broken_attempts_ = 0;
	std::uint64_t excused_broken_attempts_ = 0;
	std::uint64_t malformed_statements_ = 0;
	unknown_statements unknown_names_;

	/// Services whose replicas changed since the counts by version were updated.
	std::set<service_id> changed_services_;
	bool is_changing_replicas_ = false;

	/// Changes since the last line about them that were not logged one by one.
	std::map<routing::replica_change, std::size_t> counted_changes_;
	std::size_t logged_changes_ = 0;

	/// Replicas whose malformed statements have been logged already.
	std::set<replica_id> logged_malformed_replicas_;
	limits::admission_control admission_;
	limits::workspace_usage workspace_usage_;
	rollout::version_shift versions_;
	routing::size_policy sizes_;
	std::map<service_id, routing::first_token_estimator> first_token_times_;
	routing::engine_pace paces_;
	rollout::version_health health_;
	std::map<service_id, limits::attempt_budget> budgets_;
	std::optional<instant> catalog_confirmed_at_;
	std::optional<instant> replicas_confirmed_at_;
	std::function<void()> evidence_hook_;
	std::function<void()> suspicion_hook_;
	std::function<void(const workspace_id&)> request_started_hook_;
	std::vector<std::function<void()>> ready_hooks_;
	std::optional<shutdown_period> shutdown_;

	/// Number of VMs in a small deployment.
	static constexpr unsigned default_vm_count = 6;
	unsigned vm_count_ = default_vm_count;
};
} // namespace gingerdyke::proxy
