// SPDX-License-Identifier: MIT
// The life of each request: admitted, claimed, decided, journalled, dispatched, retried, closed.
#pragma once

#include <chrono>
#include <deque>
#include <gingerdyke/claims/book.hpp>
#include <gingerdyke/decision/cascade_policy.hpp>
#include <gingerdyke/decision/replica_board.hpp>
#include <gingerdyke/decision/version_picker.hpp>
#include <gingerdyke/ledger/outbox.hpp>
#include <gingerdyke/limits/retry_budget.hpp>
#include <gingerdyke/limits/workspace_limiter.hpp>
#include <gingerdyke/node/request.hpp>
#include <gingerdyke/table/spread.hpp>
#include <map>
#include <memory>
#include <vector>

namespace gingerdyke::node
{
/// \brief Bounds on what one request may cost.
struct desk_limits
{
	/// Attempts at upstreams for one request, the first among them.
	unsigned attempts = 3;

	/// Ended requests that `explain` still knows.
	std::size_t explained = 512;

	/// Replicas kept of each decision for `explain`.
	std::size_t explained_replicas = 16;

	/// Longest wait, after this VM was paused, for the table to be confirmed anew before work is dispatched.
	duration resume_wait = std::chrono::seconds{2};

	/// What callers are told to wait where nothing better is known.
	duration default_retry_after = std::chrono::seconds{1};
};

/// \brief One decision on a request; for `explain`.
struct decision_trace
{
	unsigned attempt{};
	version_ref version;
	std::string version_reason;
	replica_id chosen;
	bool by_affinity{};
	std::vector<decision::weighed_replica> weighed;
};

/// \brief All that was decided on a request.
struct request_trace
{
	request_id id;
	request_facts facts;
	std::vector<decision_trace> decisions;
};

/// \brief Effects, and orders to handlers.
struct desk_step
{
	effects out;
	std::vector<request_order> orders;
};

/// \brief The parts of the node that requests need.
struct desk_parts
{
	const membership::membership_view& live;
	const table::spread& spread;
	claims::book& claims;
	ledger::outbox& outbox;
	decision::replica_board& board;
	decision::cascade_policy& cascades;
	decision::version_picker& versions;
	rollout::trial_gate& gate;
	limits::workspace_limiter& limiter;
};

/// \brief All open requests of this VM.
class request_desk
{
  public:
	explicit request_desk(desk_parts parts, desk_limits limits = {});

	[[nodiscard]] desk_step on_arrival(arrival request, instant now);
	[[nodiscard]] desk_step on_report(const attempt_report& report, instant now);
	void on_progress(const progress_report& report);
	void on_rating(const rating_report& rating);
	[[nodiscard]] desk_step on_claims(const std::vector<claims::claim_answer>& answers, instant now);
	[[nodiscard]] desk_step on_journalled(const std::vector<ledger::journalled>& entries, instant now);
	[[nodiscard]] desk_step on_tick(instant now);

	/// \brief This VM was paused: what it knows may be long out of date. Dispatch waits until the table is
	/// confirmed anew, or for a while where nobody can be reached.
	void on_resumed(instant now);

	/// \brief Requests that are not ended.
	[[nodiscard]] std::size_t open() const noexcept { return records_.size(); }

	/// \brief What was decided on a request; nothing where it is not in memory.
	[[nodiscard]] const request_trace* explain(const request_id& id) const;

  private:
	enum class stage
	{
		queued,
		claiming,
		opening,
		running,
		closing,
	};

	struct record
	{
		arrival in;
		stage at{stage::queued};
		table::table_ptr table;
		const table::workspace_row* workspace{};
		const table::service_row* service{};
		const table::cascade_row* cascade{};
		class_id request_class;
		int rank{};
		bool repeatable{};
		bool claimed{};
		bool intent_open{};
		std::optional<version_ref> session_version;
		instant arrived;
		instant not_before;
		instant queue_until;

		std::vector<decision::cascade_step> steps;
		decision::cascade_plan plan;
		std::size_t step{};
		bool planned{};

		version_ref version;
		const table::replica_row* replica{};
		bool on_permit{};
		unsigned attempt{};
		std::vector<replica_id> tried;
		bool resumed{};
		std::uint64_t delivered{};

		/// Tokens passed on by attempts that were resumed since.
		tokens used_before;
		bool may_have_run{};

		/// The workspace's limit has not let it pass yet.
		bool rate_pending{};

		/// The handler holds a whole answer of this version, given up for a stronger one's.
		std::optional<version_ref> held_answer;
		ledger::bill bill;
		std::optional<order> last_word;
		std::optional<claims::recorded_outcome> recorded;
		request_trace trace;
	};

	struct refusal
	{
		int status{};
		std::string code;
		std::string message;
		std::optional<duration> retry_after;
	};

	// Admission, in request_desk_admission.cpp.
	[[nodiscard]] std::optional<refusal> admit(record& record, instant now);
	[[nodiscard]] static std::optional<refusal> check_session(record& record);
	[[nodiscard]] static std::optional<refusal> check_target(record& record);
	[[nodiscard]] static std::optional<refusal> check_service(record& record);
	[[nodiscard]] std::optional<refusal> check_rate(record& record, instant now);

	// Decision and dispatch, in request_desk.cpp.
	void enqueue(record& record, instant not_before);
	void pass_rate(record& record, instant now, desk_step& step);
	void proceed(record& record, instant now, desk_step& step);
	void decide(record& record, instant now, desk_step& step);
	[[nodiscard]] bool pick_version(record& record, instant now, desk_step& step);
	[[nodiscard]] bool pick_replica(record& record, instant now, desk_step& step);
	[[nodiscard]] std::optional<model_id> model_of(record& record);
	[[nodiscard]] decision::version_question question_of(const record& record, instant now) const;
	void wait_or_refuse(record& record, const decision::replica_choice& choice, instant now, desk_step& step);
	void open_intent(record& record, instant now, desk_step& step);
	void dispatch(record& record, instant now, desk_step& step);
	void send_to_replica(record& record, desk_step& step);
	void refresh_table(record& record);
	[[nodiscard]] std::optional<rating_subject> rating_of(const record& record);
	[[nodiscard]] bool must_wait(instant now) const;

	// Ends of attempts and of requests, in request_desk_endings.cpp.
	void settle_attempt(record& record, const attempt_report& report, instant now);
	void on_complete(record& record, const attempt_report& report, instant now, desk_step& step);
	void on_not_run(record& record, const attempt_report& report, instant now, desk_step& step);
	void on_broken(record& record, const attempt_report& report, instant now, desk_step& step);
	[[nodiscard]] static bool escalates(const record& record, const attempt_report& report);
	static void add_line(record& record, tokens used);
	void retry(record& record, instant now, desk_step& step);
	void break_off(record& record, const attempt_report& report, instant now, desk_step& step);
	void fall_back(record& record, instant now, desk_step& step);
	void refuse(record& record, const refusal& why, instant now, desk_step& step);
	void close(record& record, order last_word, instant now, desk_step& step);
	void end(request_ref ref, order last_word, desk_step& step);
	[[nodiscard]] static request_facts facts_of(const record& record, outcome ran, std::string reason);

	desk_parts parts_;
	desk_limits limits_;
	limits::retry_budget budget_;
	std::map<request_ref, std::unique_ptr<record>> records_;
	std::map<request_id, request_ref> refs_;
	std::map<std::pair<int, request_ref>, record*> queue_;
	std::deque<request_trace> ended_;
	std::optional<instant> resumed_at_;
};
} // namespace gingerdyke::node
