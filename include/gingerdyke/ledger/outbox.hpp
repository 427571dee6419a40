// SPDX-License-Identifier: MIT
// The bills of the requests that this VM serves: journalled with peers, then written to the ledger.
#pragma once

#include <chrono>
#include <gingerdyke/base/effect.hpp>
#include <gingerdyke/ledger/bill.hpp>
#include <gingerdyke/membership/membership_view.hpp>
#include <map>
#include <set>
#include <vector>

namespace gingerdyke::ledger
{
/// \brief Pace and size of the outbox.
struct outbox_limits
{
	/// Peers that keep each bill until the ledger has it.
	std::size_t holders = 2;

	/// How long dispatch, or the last chunk, waits for the acknowledgement of all holders. Then one is
	/// enough.
	duration ack_wait = std::chrono::milliseconds{25};

	/// Times that an entry is sent while nobody acknowledges it; then work goes on, with the bill at risk.
	unsigned sends = 3;

	/// A holder that did not acknowledge in time is passed over this long.
	duration suspicion = std::chrono::seconds{10};

	/// Pause between flushes to the ledger, and the number of bills that brings one forward.
	duration flush_interval = std::chrono::seconds{2};
	std::size_t flush_size = 200;

	/// Most bills in one transaction.
	std::size_t batch = 200;

	/// Pause between reports of the tokens of open requests to the holders, and between heartbeats.
	duration report_interval = std::chrono::seconds{1};
};

/// \brief A bill's journal entry is held by peers, or the wait for them is over.
struct journalled
{
	request_id request;
	bill_state state{bill_state::intent};
};

/// \brief Effects, and the entries that need no longer be waited for.
struct outbox_step
{
	effects out;
	std::vector<journalled> ready;
};

/// \brief Keeps each bill until the ledger has it. Rows are keyed by request and inserted if absent, so that
/// writing one twice, here or by a holder, is harmless.
class outbox
{
  public:
	outbox(const membership::membership_view& live, outbox_limits limits = {});

	/// \brief Journals that a request is about to be dispatched.
	[[nodiscard]] outbox_step open(const bill& intent, instant now);

	/// \brief Notes what an open request has used so far; reported to the holders with the next round.
	void note_progress(const request_id& request, const std::vector<bill_line>& lines);

	/// \brief Journals the final amount; it is flushed to the ledger from now on.
	[[nodiscard]] outbox_step close(const bill& final_bill, instant now);

	/// \brief Drops an intent: the request did not run.
	[[nodiscard]] outbox_step cancel(const request_id& request);

	/// \brief Notes the incarnation of a VM: a holder that was restarted holds nothing any more.
	void on_heard(const vm_incarnation& from);

	[[nodiscard]] outbox_step on_ack(const vm_id& from, const peer::journal_ack& ack, instant now);
	[[nodiscard]] outbox_step on_answer(std::uint64_t call, const store::answer& answer, instant now);
	[[nodiscard]] outbox_step on_tick(instant now);

	/// \brief Flushes without waiting for the interval; for a planned stop.
	[[nodiscard]] outbox_step flush_now(instant now);

	/// \brief Bills that the ledger has not confirmed.
	[[nodiscard]] std::size_t unconfirmed() const noexcept { return entries_.size(); }

	/// \brief Bills that no peer holds and the ledger has not confirmed: lost if this VM is lost now.
	[[nodiscard]] std::size_t at_risk() const;

	/// \brief The peers that hold this VM's bills now.
	[[nodiscard]] const std::vector<vm_id>& holders() const noexcept { return holders_; }

  private:
	struct entry
	{
		ledger::bill bill;
		std::set<vm_id> held_by;
		instant wait_until;
		bool waited_for{};
		unsigned sends{};
		bool flushing{};
		bool to_report{};
	};

	void choose_holders(instant now);
	[[nodiscard]] bool is_suspect(const vm_id& vm, instant now) const;
	[[nodiscard]] bool wait_on(entry& entry, instant now, effects& out);
	[[nodiscard]] effects put(const std::vector<bill>& bills, const std::vector<vm_id>& to) const;
	[[nodiscard]] effects flush(instant now);
	[[nodiscard]] effects report(instant now);
	[[nodiscard]] effects journal_with_new_holders();
	[[nodiscard]] outbox_step journal(entry& entry, instant now);
	[[nodiscard]] effects forget(const std::vector<request_id>& requests) const;

	const membership::membership_view& live_;
	outbox_limits limits_;
	std::map<request_id, entry> entries_;
	std::vector<vm_id> holders_;
	std::vector<vm_id> new_holders_;
	std::map<vm_id, instant> suspect_until_;
	std::map<vm_id, std::uint64_t> incarnations_;
	std::uint64_t chosen_generation_ = 0;
	instant choose_again_;
	std::map<std::uint64_t, std::vector<request_id>> calls_;
	std::set<request_id> awaited_;
	std::size_t to_flush_ = 0;
	std::optional<instant> last_flush_;
	std::optional<instant> last_report_;
	std::uint64_t next_call_ = 1;
};
} // namespace gingerdyke::ledger
