// SPDX-License-Identifier: MIT
// Handles one request from arrival to final response, across all its attempts.
#pragma once

#include <gingerdyke/proxy/attempt.hpp>
#include <gingerdyke/proxy/event_stream.hpp>
#include <gingerdyke/proxy/forwarding_terms.hpp>
#include <gingerdyke/proxy/gateway.hpp>
#include <gingerdyke/proxy/held_response.hpp>
#include <gingerdyke/proxy/prompt.hpp>
#include <gingerdyke/proxy/response_sink.hpp>

namespace gingerdyke::proxy
{
/// \brief A request on its way through another VM.
struct forwarding_hop
{
	vm_id vm;
	std::shared_ptr<upstream_connection> connection;

	/// Attempts that may have been made once the other VM has ended the request, those made here included.
	unsigned max_attempts{};

	/// Execution state before; restored if the other VM did not run the request.
	execution execution_before{execution::not_run};

	/// The connection is established, so the request may have been sent.
	bool connected{};
	response_head head;
	forwarding_result result;
	body_buffer body;

	/// The response body is a stream of events.
	bool is_stream{};
};

/// \brief Handles one request: chooses its replicas, decides on retries and on what the caller is told.
class exchange : public active_request, public std::enable_shared_from_this<exchange>
{
  public:
	/// \param origin Terms of a request that another VM forwards; none if it comes from its caller.
	exchange(gateway& shared, request incoming, std::shared_ptr<response_sink> output,
		std::optional<forwarding_terms> origin = {});

	/// \brief Admits and dispatches the request or refuses it. Waits for a bounded time if the VM is not
	/// ready yet.
	void start();

	void cancel() override;

  private:
	// Admission.
	void await_ready();
	void begin();
	[[nodiscard]] bool admit();
	[[nodiscard]] bool admit_forwarded();
	void refuse_here(std::string reason);
	[[nodiscard]] bool authenticate();
	[[nodiscard]] quarantine::content_keys compute_content_keys() const;
	[[nodiscard]] bool has_room();
	[[nodiscard]] double work_unit() const;
	void refuse_unknown(int status, std::string reason);
	void read_deadline();
	void assign_session();

	// Attempts.
	void dispatch();
	[[nodiscard]] routing::replica_ptr choose_replica() const;
	using replica_filter = std::function<bool(const routing::replica&)>;
	[[nodiscard]] routing::replica_ptr choose_replica_among(const replica_filter& allowed) const;
	[[nodiscard]] bool await_slot();
	[[nodiscard]] slot_outcome on_slot_offered();
	[[nodiscard]] std::optional<duration> time_until_servable(const routing::replica& engine) const;
	[[nodiscard]] bool may_connect() const;
	[[nodiscard]] bool has_path(const routing::replica& candidate) const;
	[[nodiscard]] bool has_free_connection(const routing::replica& candidate) const;
	[[nodiscard]] bool targets_engine() const;
	[[nodiscard]] double model_weight() const;
	[[nodiscard]] bool is_full(const routing::replica& engine) const;
	[[nodiscard]] bool are_engines_full() const;
	[[nodiscard]] routing::cascade_room cascade_room() const;
	[[nodiscard]] double work_before_first_token(const routing::replica& engine) const;
	[[nodiscard]] duration time_to_first_token(const routing::replica& engine) const;
	[[nodiscard]] unsigned request_priority() const;
	[[nodiscard]] bool is_api_key(const header_field& field) const;
	[[nodiscard]] header_fields upstream_fields(const routing::replica& to) const;
	[[nodiscard]] bool may_retry() const;
	void send_to(const routing::replica_ptr& to);
	[[nodiscard]] upstream_callbacks attempt_callbacks();
	void retry_or(const std::function<void()>& otherwise);
	void release_prefill_work();
	void end_attempt(bool is_complete);
	void conclude(attempt& ended, bool is_complete);
	void record_run_end(const attempt& ended);
	void record_completion(const attempt& ended, instant now);
	void record_long_answer(attempt& current);
	void record_part_completion(const attempt& completed, instant now);
	void record_result(routing::replica_result result);
	void record_answered();

	// The response of a smaller model while the larger model's is tried for.
	void hold_response();
	[[nodiscard]] bool is_held(const upstream_connection* by) const;
	void on_held_body(std::string_view bytes);
	void on_held_end();
	void on_held_fault(upstream_fault fault);
	bool use_held_response();
	void stop_waiting();
	void pass_on_whole(held_response& held);
	void continue_with(const held_response& held);
	void drop_held_response();

	// By way of another VM.
	[[nodiscard]] unsigned attempt_limit() const;
	[[nodiscard]] bool has_lost_path() const;
	[[nodiscard]] std::optional<routing::forwarding_peer> choose_peer() const;
	[[nodiscard]] bool forward();
	void forward_to(const routing::forwarding_peer& to);
	[[nodiscard]] upstream_callbacks hop_callbacks();
	[[nodiscard]] header_fields forwarding_fields() const;
	void on_hop_head(response_head head);
	void on_hop_body(std::string_view bytes);
	void on_hop_end();
	void on_hop_fault(upstream_fault fault);
	void on_hop_timer();
	void return_from_hop(bool is_complete);
	void pass_on_hop_response();
	void end_hop(bool is_complete);

	// What is kept, and the caller's pace.
	[[nodiscard]] bool keep(const std::shared_ptr<upstream_connection>& from, std::size_t size) const;
	void record_given_up(const upstream_connection& from, upstream_fault fault);
	void keep_whole_held_response();
	void await_caller();
	void on_caller_drained();
	void arm_event_timer();

	// Events from the replica.
	void on_connected();
	[[nodiscard]] bool is_still_sendable() const;
	void on_head(response_head head);
	void record_started();
	void record_statements(const response_head& head);
	void record_admitted_response(const attempt& from);
	void on_not_run();
	[[nodiscard]] bool is_rejection_by_full_replica() const;
	void fail_refused();
	void on_body(std::string_view bytes);
	void on_events(std::string_view bytes);
	void on_end();
	void on_fault(upstream_fault fault);
	void on_not_connected(upstream_fault fault);
	void undo_attempt();
	[[nodiscard]] bool is_invalid_response(const response_head& head) const;
	void record_first_token();
	[[nodiscard]] bool should_escalate(const response_head& head);
	[[nodiscard]] bool escalate(double confidence);
	[[nodiscard]] duration expected_first_token() const;
	void forward_buffered_response();
	void send_buffered_response(const response_head& head, std::string body);
	void write_events(const response_head& head, const std::vector<std::string>& events);
	void write_event(const response_head& head, const std::string& event);
	[[nodiscard]] forwarding_result result_of_local_reply() const;
	[[nodiscard]] header_fields response_fields(const header_fields& fields) const;
	void record_path_failure(const routing::replica& to, upstream_fault fault);

	// Evidence on versions.
	[[nodiscard]] rollout::response_sample sample_for(const attempt& from, duration elapsed) const;
	void record_response_begin(bool failed);
	void record_event_interval(std::optional<duration> interval);
	void record_silence();
	void record_broken_off(attempt& ended, upstream_fault fault);
	void record_silent_end();
	[[nodiscard]] bool is_silent_for_long() const;
	[[nodiscard]] broken_attempt broken_attempt_of(const attempt& ended) const;
	[[nodiscard]] bool is_idle_close(const attempt& ended, upstream_fault fault) const;

	// Timeouts.
	void arm_attempt_timer(duration span);
	void arm_first_byte_timer();
	[[nodiscard]] bool awaits_first_byte() const;
	void on_attempt_timer();
	void on_deadline();
	[[nodiscard]] duration time_left() const;
	[[nodiscard]] duration first_byte_limit() const;

	// Final outcomes; each responds to the caller once.
	void refuse(int status, std::string reason);
	void refuse_quarantined();
	void refuse_without_replica();
	void refuse_until(duration wait, std::string reason);
	void refuse_without_path();
	void fail(int status, std::string reason);
	void send_local_reply(int status, std::string reason, header_fields fields);
	void finish(request_outcome outcome, int status, std::string reason);

	gateway& shared_;
	std::optional<forwarding_terms> origin_;
	request request_;

	/// The request's body, which attempts that are being written share.
	std::shared_ptr<const std::string> body_;
	std::shared_ptr<response_sink> sink_;
	instant arrived_;
	instant deadline_;
	boot_timer deadline_timer_;
	boot_timer attempt_timer_;
	boot_timer slot_timer_;

	/// The request is sent to learn whether a part of its prompt makes replicas exit.
	bool is_canary_ = false;

	/// The request stands in the queue for a slot.
	bool is_awaiting_slot_ = false;

	/// Number of the latest wait for news on suspected requests. An earlier wait no longer sends the request.
	unsigned wait_number_ = 0;

	/// A slot is being offered to the request.
	bool is_offered_slot_ = false;
	routing::catalog_ptr catalog_;
	const routing::route* route_ = nullptr;
	const routing::service* service_ = nullptr;
	const routing::workspace* workspace_ = nullptr;
	service_id service_id_;
	std::string id_;
	quarantine::content_keys content_keys_;
	prompt prompt_;
	std::uint64_t session_hash_ = 0;
	std::vector<replica_id> tried_replicas_;
	std::optional<attempt> attempt_;
	std::optional<held_response> held_;

	/// What is kept of a held response after its attempt has ended.
	std::optional<limits::kept_bytes> held_bytes_;
	std::optional<forwarding_hop> hop_;

	/// VMs that this request was sent through.
	std::vector<vm_id> asked_vms_;
	event_stream events_;
	routing::size_step model_step_;
	routing::replica_ptr last_replica_;

	/// Replica that another VM sent the request to.
	replica_id last_replica_id_;

	/// The registry entry of the last replica was missing when the request was sent to it.
	bool last_was_missing_ = false;
	execution execution_{execution::not_run};
	unsigned attempt_count_ = 0;
	unsigned failed_connections_ = 0;
	unsigned refused_connections_ = 0;
	duration first_byte_time_{};
	std::optional<escalation_choice> escalation_choice_;
	bool is_counted_ = false;

	/// Its response was recorded for admission.
	bool is_response_recorded_ = false;

	/// The request counts in the retry budget of another VM.
	bool is_budget_moved_ = false;

	/// Refusal status of an answer that was replaced, since the request ran or may have run; 0: none.
	int replaced_status_ = 0;

	/// It is this VM that can't serve the request; another one may.
	bool is_unavailable_here_ = false;

	/// The response passed on was held while a better one was tried for.
	bool is_held_used_ = false;
	bool started_ = false;
	bool response_started_ = false;
	bool finished_ = false;
};
} // namespace gingerdyke::proxy
