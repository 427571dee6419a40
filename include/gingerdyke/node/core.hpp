// SPDX-License-Identifier: MIT
// One entry VM's whole decision making as one pure machine: events in, actions out. No socket, thread,
// clock, log or actor inside, so that tests drive exactly what production runs.
#pragma once

#include <gingerdyke/base/effect.hpp>
#include <gingerdyke/base/random.hpp>
#include <gingerdyke/claims/book.hpp>
#include <gingerdyke/decision/cascade_policy.hpp>
#include <gingerdyke/decision/replica_board.hpp>
#include <gingerdyke/decision/version_picker.hpp>
#include <gingerdyke/ledger/journal.hpp>
#include <gingerdyke/ledger/outbox.hpp>
#include <gingerdyke/limits/workspace_limiter.hpp>
#include <gingerdyke/membership/membership_view.hpp>
#include <gingerdyke/node/request_desk.hpp>
#include <gingerdyke/rollout/permit_owner.hpp>
#include <gingerdyke/rollout/suspensions.hpp>
#include <gingerdyke/rollout/trial_gate.hpp>
#include <gingerdyke/table/editor.hpp>
#include <gingerdyke/table/spread.hpp>
#include <variant>
#include <vector>

namespace gingerdyke::node
{
/// \brief A peer's message arrived.
struct peer_received
{
	peer::envelope what;
};

/// \brief The table service answered a call, or the call is over without an answer.
struct store_answered
{
	call_id id;
	store::answer what;
};

/// \brief The platform's list of VMs was read.
struct members_fetched
{
	membership::member_list list;
};

/// \brief An operator wants the table changed.
struct edit_wanted
{
	table::edit_request edit;
};

/// \brief Time has passed.
struct tick
{
};

/// \brief A planned stop was asked for: no new request will come once the balancer knows.
struct stop_wanted
{
};

using event = std::variant<arrival, attempt_report, progress_report, rating_report, peer_received,
	store_answered, members_fetched, edit_wanted, tick, stop_wanted>;

using action = std::variant<send_peer, call_store, fetch_members, request_order, table::edit_answer>;
using actions = std::vector<action>;

/// \brief Tuning of all parts.
struct core_tuning
{
	table::spread_pace spread;
	claims::book_limits claims;
	ledger::outbox_limits outbox;
	ledger::journal_limits journal;
	decision::board_tuning board;
	decision::cascade_tuning cascades;
	rollout::trial_gate_tuning gate;
	rollout::permit_owner_tuning permits;
	desk_limits desk;
};

/// \brief Who this VM is.
struct identity
{
	membership::member self;
	std::uint64_t incarnation{};
};

/// \brief Everything that one entry VM decides.
class core
{
  public:
	/// \param self Who this VM is.
	/// \param seeds Entry VMs known from the settings.
	/// \param random Source of all randomness.
	core(const identity& self, const std::vector<membership::member>& seeds, const random_source& random,
		const core_tuning& tuning = {});

	/// \brief Takes one event.
	/// \param now The VM's monotonic clock.
	[[nodiscard]] actions step(const event& event, instant now);

	[[nodiscard]] const table::spread& table_copy() const noexcept { return spread_; }
	[[nodiscard]] const membership::membership_view& members() const noexcept { return live_; }
	[[nodiscard]] const request_desk& requests() const noexcept { return desk_; }
	[[nodiscard]] const ledger::outbox& bills() const noexcept { return outbox_; }
	[[nodiscard]] const ledger::journal& journal() const noexcept { return journal_; }
	[[nodiscard]] const claims::book& claims() const noexcept { return claims_; }
	[[nodiscard]] const rollout::suspensions& suspensions() const noexcept { return suspensions_; }
	[[nodiscard]] const rollout::permit_owner& trials() const noexcept { return permits_; }
	[[nodiscard]] const identity& self() const noexcept { return self_; }
	[[nodiscard]] bool stopping() const noexcept { return stopping_; }

	/// \brief Whether a planned stop may end the process: nothing is open, nothing is owed.
	[[nodiscard]] bool drained() const;

  private:
	struct message_taker;

	void on(const arrival& event, instant now, actions& out);
	void on(const attempt_report& event, instant now, actions& out);
	void on(const progress_report& event, instant now, actions& out);
	void on(const rating_report& event, instant now, actions& out);
	void on(const peer_received& event, instant now, actions& out);
	void on(const store_answered& event, instant now, actions& out);
	void on(const members_fetched& event, instant now, actions& out);
	void on(const edit_wanted& event, instant now, actions& out);
	void on(const tick& event, instant now, actions& out);
	void on(const stop_wanted& event, instant now, actions& out);

	void on_resumed(instant now, actions& out);
	void suspend(const std::vector<peer::suspension>& found, instant now, actions& out);
	void run(claims::claim_step step, instant now, actions& out);
	void run(ledger::outbox_step step, instant now, actions& out);
	void run(desk_step step, instant now, actions& out);
	void run(table::edit_step step, instant now, actions& out);
	void run(rollout::permit_owner_step step, instant now, actions& out);
	static void run(effects effects, actions& out);

	identity self_;
	membership::membership_view live_;
	table::spread spread_;
	table::editor editor_;
	claims::book claims_;
	ledger::outbox outbox_;
	ledger::journal journal_;
	rollout::suspensions suspensions_;
	rollout::trial_gate gate_;
	rollout::permit_owner permits_;
	decision::replica_board board_;
	decision::cascade_policy cascades_;
	decision::version_picker versions_;
	limits::workspace_limiter limiter_;
	request_desk desk_;
	bool stopping_ = false;
	std::optional<instant> last_step_;
};
} // namespace gingerdyke::node
