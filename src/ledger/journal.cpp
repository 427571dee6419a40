// SPDX-License-Identifier: MIT
// Bills held for other VMs, and their settlement when an owner is lost.
#include <gingerdyke/ledger/journal.hpp>

namespace gingerdyke::ledger
{
journal::journal(const membership::membership_view& live, journal_limits limits)
	: live_(live), limits_(limits)
{
}

effects journal::on_put(const vm_incarnation& from, const peer::journal_put& body, instant now)
{
	auto& owner = owners_[from];
	owner.heard = now;
	peer::journal_ack intents{{}, bill_state::intent};
	peer::journal_ack finals{{}, bill_state::final_amount};
	for (const auto& bill : body.bills)
	{
		auto& held = owner.bills.try_emplace(bill.request, held_bill{bill, now}).first->second;
		// Messages may arrive crossed: a final amount is never replaced by an intent.
		if (held.bill.state != bill_state::final_amount)
		{
			held.bill = bill;
		}
		(bill.state == bill_state::intent ? intents : finals).requests.push_back(bill.request);
	}
	effects result;
	for (auto* ack : {&intents, &finals})
	{
		if (!ack->requests.empty())
		{
			result.emplace_back(send_peer{from.vm, std::move(*ack)});
		}
	}
	return result;
}

void journal::on_forget(const vm_incarnation& from, const peer::journal_forget& body, instant now)
{
	const auto found = owners_.find(from);
	if (found == owners_.end())
	{
		return;
	}
	found->second.heard = now;
	for (const auto& request : body.requests)
	{
		found->second.bills.erase(request);
	}
}

void journal::on_heard(const vm_incarnation& from, instant now)
{
	const auto found = owners_.find(from);
	if (found != owners_.end())
	{
		found->second.heard = now;
	}
}

bool journal::may_settle(
	const vm_incarnation& id, const owner& owner, const held_bill& held, instant now) const
{
	const auto silence = now - owner.heard;
	const auto age = now - held.since;
	if (held.bill.state == bill_state::final_amount)
	{
		return silence >= limits_.final_silence || age >= limits_.final_age;
	}
	// A VM that runs again under its name with a later incarnation has forgotten all it had open.
	const auto next = owners_.upper_bound(id);
	const bool restarted = next != owners_.end() && next->first.vm == id.vm;
	const auto* known = live_.find(id.vm);
	const bool listed_gone =
		live_.list_revision() > 0 && (known == nullptr || known->state == membership::member_state::gone);
	const bool gone = restarted || listed_gone;
	return age >= limits_.intent_silence || (gone && silence >= limits_.gone_silence);
}

effects journal::on_tick(instant now)
{
	if (last_settle_ && now - *last_settle_ < limits_.settle_interval)
	{
		return {};
	}
	last_settle_ = now;
	effects result;
	for (auto it = owners_.begin(); it != owners_.end();)
	{
		auto& [id, owner] = *it;
		if (owner.bills.empty() && now - owner.heard >= limits_.intent_silence)
		{
			it = owners_.erase(it);
			continue;
		}
		store::transaction body;
		settling lot{id, {}};
		for (const auto& [request, held] : owner.bills)
		{
			if (body.size() < limits_.batch && may_settle(id, owner, held, now))
			{
				body.push_back(bill_operation(held.bill));
				lot.requests.push_back(request);
			}
		}
		if (!body.empty())
		{
			const call_id call{call_owner::journal, next_call_++};
			calls_.emplace(call.number, std::move(lot));
			result.emplace_back(call_store{call, store::priority::bill, std::move(body)});
		}
		++it;
	}
	return result;
}

void journal::on_answer(std::uint64_t call, const store::answer& answer)
{
	const auto found = calls_.find(call);
	if (found == calls_.end())
	{
		return;
	}
	const auto lot = std::move(found->second);
	calls_.erase(found);
	const auto owner = owners_.find(lot.owner);
	if (answer.what != store::verdict::committed || owner == owners_.end())
	{
		return;
	}
	for (const auto& request : lot.requests)
	{
		owner->second.bills.erase(request);
	}
}

std::size_t journal::held() const
{
	std::size_t count = 0;
	for (const auto& [id, owner] : owners_)
	{
		count += owner.bills.size();
	}
	return count;
}
} // namespace gingerdyke::ledger
