// SPDX-License-Identifier: MIT
// What this VM keeps for others: their bills, until the ledger has them or their owner is gone.
#pragma once

#include <chrono>
#include <gingerdyke/base/effect.hpp>
#include <gingerdyke/ledger/bill.hpp>
#include <gingerdyke/membership/membership_view.hpp>
#include <map>
#include <optional>

namespace gingerdyke::ledger
{
/// \brief When a holder takes an owner for lost.
struct journal_limits
{
	/// Silence after which the owner's final amounts are written: harmless where it still lives.
	duration final_silence = std::chrono::seconds{10};

	/// Silence after which its open intents are settled too, where the platform has not said that it is
	/// gone: longer than any request lasts.
	duration intent_silence = std::chrono::minutes{10};

	/// Silence after which intents are settled where the platform says that the owner is gone.
	duration gone_silence = std::chrono::seconds{5};

	/// Age at which a final amount is written although its owner lives: its word to forget was lost.
	duration final_age = std::chrono::minutes{1};

	/// Pause between tries to write.
	duration settle_interval = std::chrono::seconds{2};

	/// Most bills in one transaction.
	std::size_t batch = 200;
};

/// \brief Bills held for other VMs. An entry is forgotten only on its owner's word or the ledger's.
class journal
{
  public:
	explicit journal(const membership::membership_view& live, journal_limits limits = {});

	[[nodiscard]] effects on_put(const vm_incarnation& from, const peer::journal_put& body, instant now);
	void on_forget(const vm_incarnation& from, const peer::journal_forget& body, instant now);

	/// \brief Notes any sign of life of a VM.
	void on_heard(const vm_incarnation& from, instant now);

	void on_answer(std::uint64_t call, const store::answer& answer);
	[[nodiscard]] effects on_tick(instant now);

	/// \brief Number of bills held for others.
	[[nodiscard]] std::size_t held() const;

  private:
	struct held_bill
	{
		ledger::bill bill;
		instant since;
	};

	struct owner
	{
		instant heard;
		std::map<request_id, held_bill> bills;
	};

	struct settling
	{
		vm_incarnation owner;
		std::vector<request_id> requests;
	};

	[[nodiscard]] bool may_settle(
		const vm_incarnation& id, const owner& owner, const held_bill& held, instant now) const;

	const membership::membership_view& live_;
	journal_limits limits_;
	std::map<vm_incarnation, owner> owners_;
	std::map<std::uint64_t, settling> calls_;
	std::optional<instant> last_settle_;
	std::uint64_t next_call_ = 1;
};
} // namespace gingerdyke::ledger
