// SPDX-License-Identifier: MIT
// One request from its arrival to its final answer, over all its attempts.
#pragma once

#include <gingerdyke/proxy/response_sink.hpp>
#include <gingerdyke/proxy/event_stream.hpp>
#include <gingerdyke/proxy/gateway.hpp>
#include <gingerdyke/proxy/prompt.hpp>
#include <gingerdyke/proxy/stream_pace.hpp>

namespace gingerdyke::proxy
{
/// \brief What this VM may tell the caller about a request.
enum class execution
{
	/// No replica has run it.
	not_run,
	/// A replica ran it or may have.
	may_have_run,
};

/// \brief One attempt under way.
struct attempt
{
	routing::replica_ptr target;
	std::shared_ptr<upstream_connection> connection;
	response_head head;
	std::string body;
	instant sent_at;

	/// From sending to the head of the answer.
	duration first_byte{};
	routing::size_step size;

	quarantine::run_number run;

	/// What its end tells about the request, unless it ends otherwise.
	quarantine::run_end run_outcome{quarantine::run_end::given_up};

	/// Work that the replica is counted to have with it now, in tokens read by the largest model.
	double work{};

	/// Work that was to be read before its first token, its own prompt's included.
	double queued_work{};

	/// What was known before it was sent; true again where this replica did not run it.
	execution execution_before{execution::not_run};

	/// The replica counted as cold, and this VM had a share left.
	bool is_cold{};

	/// The replica named a limit, and this VM had a share left.
	bool is_limited{};

	/// The connection is up: the request may have left.
	bool connected{};

	/// The answer's body is a stream of events.
	bool is_stream{};
	stream_pace pace;
};

/// \brief One request. Decides where it goes, whether it goes again, and what its caller is told.
class exchange : public active_request, public std::enable_shared_from_this<exchange>
{
  public:
	exchange(gateway& shared, request what, std::shared_ptr<response_sink> to);

	/// \brief Admits the request and sends it on, or refuses it; waits a little where the VM is not ready
	/// yet.
	void start();

	void cancel() override;

  private:
	// Admission.
	void await_ready();
	void begin();
	[[nodiscard]] bool admit();
	[[nodiscard]] bool authenticate();
	[[nodiscard]] quarantine::request_key compute_request_key() const;
	void refuse_unknown(int status, std::string reason);
	void read_deadline();

	// Attempts.
	void dispatch();
	[[nodiscard]] routing::replica_ptr choose_replica() const;
	using replica_filter = std::function<bool(const routing::replica&)>;
	[[nodiscard]] routing::replica_ptr choose_replica_among(const replica_filter& allowed) const;
	[[nodiscard]] std::optional<duration> time_until_servable(const routing::replica& at) const;
	[[nodiscard]] bool has_free_connection(const routing::replica& one) const;
	[[nodiscard]] bool targets_engine() const;
	[[nodiscard]] double model_weight() const;
	[[nodiscard]] double work_before_first_token(const routing::replica& at) const;
	[[nodiscard]] duration time_to_first_token(const routing::replica& at) const;
	[[nodiscard]] header_fields upstream_fields(const routing::replica& to) const;
	[[nodiscard]] bool may_retry() const;
	void send_to(const routing::replica_ptr& to);
	void retry_or(const std::function<void()>& otherwise);
	void release_prefill_work();
	void end_attempt(bool is_complete);
	void note_run_end();
	void note_result(routing::replica_result result);

	// What the replica does.
	void on_connected();
	[[nodiscard]] bool is_still_sendable() const;
	void on_head(response_head head);
	void note_statements(const response_head& head);
	void on_not_run();
	void fail_refused();
	void on_body(std::string_view bytes);
	void on_events(std::string_view bytes);
	void note_event_interval(std::optional<duration> at_event_boundary);
	void on_end();
	void on_fault(upstream_fault fault);
	void on_not_connected(upstream_fault fault);
	void undo_attempt();
	[[nodiscard]] rollout::answer_sample sample_for(duration elapsed) const;
	[[nodiscard]] bool is_invalid_response(const response_head& head) const;
	void record_first_token();
	[[nodiscard]] bool should_escalate(const response_head& head);
	[[nodiscard]] bool escalate(double confidence);
	[[nodiscard]] duration expected_first_token() const;
	void forward_buffered_response();

	// Time.
	void arm_attempt_timer(duration span);
	void on_attempt_timer();
	void on_deadline();
	[[nodiscard]] duration time_left() const;
	[[nodiscard]] duration first_byte_limit() const;

	// Endings; each answers the caller once.
	void refuse(int status, std::string reason);
	void refuse_quarantined();
	void refuse_without_replica();
	void refuse_until(duration wait, std::string reason);
	void fail(int status, std::string reason);
	void send_local_reply(int status, std::string reason, header_fields fields);
	void finish(request_outcome outcome, int status, std::string reason);

	gateway& shared_;
	request request_;
	std::shared_ptr<response_sink> sink_;
	instant arrived_;
	instant deadline_;
	boot_timer deadline_timer_;
	boot_timer attempt_timer_;
	routing::catalog_ptr catalog_;
	const routing::route* route_ = nullptr;
	const routing::service* service_ = nullptr;
	const routing::workspace* workspace_ = nullptr;
	service_id service_id_;
	std::string id_;
	quarantine::request_key request_key_;
	prompt prompt_;
	std::uint64_t session_hash_ = 0;
	std::vector<replica_id> tried_replicas_;
	std::optional<attempt> attempt_;
	event_stream events_;
	routing::size_step model_step_;
	routing::replica_ptr last_replica_;

	/// Its entry was missing when the request was sent to it.
	bool last_was_missing_ = false;
	execution execution_{execution::not_run};
	unsigned attempt_count_ = 0;
	unsigned failed_connections_ = 0;
	duration first_byte_time_{};
	std::optional<escalation_choice> escalation_choice_;
	bool started_ = false;
	bool response_started_ = false;
	bool finished_ = false;
};
} // namespace gingerdyke::proxy
