// SPDX-License-Identifier: MIT
// One request from its arrival to its final answer, over all its attempts.
#pragma once

#include <gingerdyke/proxy/answer_sink.hpp>
#include <gingerdyke/proxy/event_stream.hpp>
#include <gingerdyke/proxy/gateway.hpp>
#include <gingerdyke/proxy/prompt.hpp>
#include <gingerdyke/proxy/stream_pace.hpp>

namespace gingerdyke::proxy
{
/// \brief What this VM may tell the caller about a request.
enum class trace
{
	/// No replica has run it.
	not_run,
	/// A replica ran it or may have.
	may_have_run,
};

/// \brief One attempt under way.
struct attempt
{
	routing::replica_ptr to;
	std::shared_ptr<upstream_link> link;
	answer_head head;
	std::string body;
	instant sent_at;

	/// From sending to the head of the answer.
	duration first_byte{};
	routing::size_step size;

	quarantine::run_number run;

	/// What its end tells about the request, unless it ends otherwise.
	quarantine::run_end run_ends{quarantine::run_end::given_up};

	/// Work that the replica is counted to have with it now, in tokens read by the largest model.
	double work{};

	/// Work that was to be read before its first token, its own prompt's included.
	double work_ahead{};

	/// What was known before it was sent; true again where this replica did not run it.
	trace trace_before{trace::not_run};

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
	exchange(gateway& shared, request what, std::shared_ptr<answer_sink> to);

	/// \brief Admits the request and sends it on, or refuses it; waits a little where the VM is not ready
	/// yet.
	void start();

	void cancel() override;

  private:
	// Admission.
	void await_ready();
	void begin();
	[[nodiscard]] bool admit();
	[[nodiscard]] bool admit_key();
	[[nodiscard]] quarantine::request_key read_key() const;
	void refuse_unknown(int status, std::string reason);
	void read_deadline();

	// Attempts.
	void dispatch();
	[[nodiscard]] routing::replica_ptr choose_replica() const;
	using replica_filter = std::function<bool(const routing::replica&)>;
	[[nodiscard]] routing::replica_ptr choose_among(const replica_filter& allowed) const;
	[[nodiscard]] std::optional<duration> time_until_servable(const routing::replica& at) const;
	[[nodiscard]] bool has_room(const routing::replica& one) const;
	[[nodiscard]] bool is_for_engines() const;
	[[nodiscard]] double model_weight() const;
	[[nodiscard]] double work_before_first_token(const routing::replica& at) const;
	[[nodiscard]] duration time_to_first_token(const routing::replica& at) const;
	[[nodiscard]] header_fields fields_for(const routing::replica& to) const;
	[[nodiscard]] bool may_try_again() const;
	void send_to(const routing::replica_ptr& to);
	void try_again_or(const std::function<void()>& otherwise);
	void note_prompt_read();
	void end_attempt(bool answered_whole);
	void note_run_end();
	void note_result(routing::replica_result result);

	// What the replica does.
	void on_connected();
	[[nodiscard]] bool may_still_send() const;
	void on_head(answer_head head);
	void note_statements(const answer_head& head);
	void on_not_run();
	void give_up_refused();
	void on_body(std::string_view bytes);
	void on_events(std::string_view bytes);
	void note_pace(std::optional<duration> between_events);
	void on_end();
	void on_fault(upstream_fault fault);
	void on_not_connected(upstream_fault fault);
	void take_back_attempt();
	[[nodiscard]] rollout::response_sample sample_of(duration took) const;
	[[nodiscard]] bool is_foreign(const answer_head& head) const;
	void note_first_token();
	[[nodiscard]] bool wants_larger_model(const answer_head& head);
	[[nodiscard]] bool moves_to_larger_model(double confidence);
	[[nodiscard]] duration expected_first_token() const;
	void pass_on_whole();

	// Time.
	void arm_attempt_timer(duration span);
	void on_attempt_timer();
	void on_deadline();
	[[nodiscard]] duration time_left() const;
	[[nodiscard]] duration first_byte_limit() const;

	// Endings; each answers the caller once.
	void refuse(int status, std::string reason);
	void refuse_held();
	void refuse_without_replica();
	void refuse_until(duration wait, std::string reason);
	void give_up(int status, std::string reason);
	void answer_here(int status, std::string reason, header_fields fields);
	void finish(request_outcome outcome, int status, std::string reason);

	gateway& shared_;
	request request_;
	std::shared_ptr<answer_sink> to_;
	instant arrived_;
	instant ends_at_;
	boot_timer deadline_timer_;
	boot_timer attempt_timer_;
	routing::catalog_ptr catalog_;
	const routing::route* route_ = nullptr;
	const routing::service* service_ = nullptr;
	const routing::workspace* workspace_ = nullptr;
	service_id service_id_;
	std::string id_;
	quarantine::request_key key_;
	prompt prompt_;
	std::uint64_t session_point_ = 0;
	std::vector<replica_id> tried_;
	std::optional<attempt> attempt_;
	event_stream events_;
	routing::size_step size_;
	routing::replica_ptr last_replica_;

	/// Its entry was missing when the request was sent to it.
	bool last_was_suspected_ = false;
	trace trace_{trace::not_run};
	unsigned attempts_ = 0;
	unsigned failed_connections_ = 0;
	duration first_byte_{};
	std::optional<size_choice> size_choice_;
	bool begun_ = false;
	bool answer_begun_ = false;
	bool over_ = false;
};
} // namespace gingerdyke::proxy
