// SPDX-License-Identifier: MIT
// The bills of the requests that this VM serves: journalled with peers, then written to the ledger.
#include <algorithm>
#include <gingerdyke/ledger/outbox.hpp>

namespace gingerdyke::ledger
{
outbox::outbox(const membership::membership_view& live, outbox_limits limits) : live_(live), limits_(limits)
{
}

bool outbox::is_suspect(const vm_id& vm, instant now) const
{
	const auto found = suspect_until_.find(vm);
	return found != suspect_until_.end() && now < found->second;
}

void outbox::choose_holders(instant now)
{
	// The choice changes only with what is known of the VMs.
	if (chosen_generation_ == live_.generation() && now < choose_again_)
	{
		return;
	}
	chosen_generation_ = live_.generation();
	choose_again_ = now + limits_.suspicion;
	const auto& self = live_.self();
	const auto by_weight = [&](std::vector<vm_id> vms)
	{
		std::erase_if(vms, [&](const vm_id& vm) { return vm == self.vm || is_suspect(vm, now); });
		std::sort(vms.begin(), vms.end(),
			[&](const vm_id& a, const vm_id& b)
			{
				return membership::rendezvous_weight(self.vm.str(), a) >
					   membership::rendezvous_weight(self.vm.str(), b);
			});
		return vms;
	};
	auto chosen = by_weight(live_.entries_of(self.failure_domain));
	const auto outside = by_weight(live_.entries_outside(self.failure_domain));
	chosen.insert(chosen.end(), outside.begin(), outside.end());
	chosen.resize(std::min(chosen.size(), limits_.holders));
	if (chosen == holders_)
	{
		return;
	}
	for (const auto& vm : chosen)
	{
		if (std::find(holders_.begin(), holders_.end(), vm) == holders_.end())
		{
			new_holders_.push_back(vm);
		}
	}
	holders_ = std::move(chosen);
}

outbox_step outbox::open(const bill& intent, instant now)
{
	auto& entry = entries_[intent.request];
	entry.bill = intent;
	return journal(entry, now);
}

outbox_step outbox::close(const bill& final_bill, instant now)
{
	auto& entry = entries_[final_bill.request];
	entry.bill = final_bill;
	entry.to_report = false;
	++to_flush_;
	auto step = journal(entry, now);
	if (to_flush_ >= limits_.flush_size)
	{
		auto more = flush(now);
		std::move(more.begin(), more.end(), std::back_inserter(step.out));
	}
	return step;
}

outbox_step outbox::journal(entry& entry, instant now)
{
	choose_holders(now);
	entry.held_by.clear();
	entry.sends = 1;
	outbox_step step;
	const auto& bill = entry.bill;
	if (holders_.empty())
	{
		step.ready.push_back({bill.request, bill.state});
		return step;
	}
	entry.waited_for = true;
	entry.wait_until = now + limits_.ack_wait;
	awaited_.insert(bill.request);
	step.out = put({bill}, holders_);
	return step;
}

effects outbox::put(const std::vector<bill>& bills, const std::vector<vm_id>& to) const
{
	effects result;
	for (const auto& vm : to)
	{
		result.emplace_back(send_peer{vm, peer::journal_put{bills}});
	}
	return result;
}

void outbox::note_progress(const request_id& request, const std::vector<bill_line>& lines)
{
	const auto found = entries_.find(request);
	if (found != entries_.end() && found->second.bill.state == bill_state::intent)
	{
		found->second.bill.lines = lines;
		found->second.to_report = true;
	}
}

outbox_step outbox::cancel(const request_id& request)
{
	outbox_step step;
	awaited_.erase(request);
	if (entries_.erase(request) > 0)
	{
		step.out = forget({request});
	}
	return step;
}

outbox_step outbox::on_ack(const vm_id& from, const peer::journal_ack& ack, instant /*now*/)
{
	outbox_step step;
	for (const auto& request : ack.requests)
	{
		const auto found = entries_.find(request);
		if (found == entries_.end() || found->second.bill.state != ack.state)
		{
			continue;
		}
		auto& entry = found->second;
		entry.held_by.insert(from);
		if (entry.waited_for && entry.held_by.size() >= holders_.size())
		{
			entry.waited_for = false;
			awaited_.erase(request);
			step.ready.push_back({request, entry.bill.state});
		}
	}
	return step;
}

outbox_step outbox::on_tick(instant now)
{
	outbox_step step;
	choose_holders(now);
	std::vector<request_id> over;
	for (const auto& request : awaited_)
	{
		auto& entry = entries_.at(request);
		if (now >= entry.wait_until && !wait_on(entry, now, step.out))
		{
			entry.waited_for = false;
			over.push_back(request);
			step.ready.push_back({request, entry.bill.state});
		}
	}
	for (const auto& request : over)
	{
		awaited_.erase(request);
	}
	const auto add = [&](effects more) { std::move(more.begin(), more.end(), std::back_inserter(step.out)); };
	add(journal_with_new_holders());
	if (!last_report_ || now - *last_report_ >= limits_.report_interval)
	{
		add(report(now));
	}
	if (!last_flush_ || now - *last_flush_ >= limits_.flush_interval)
	{
		add(flush(now));
	}
	return step;
}

bool outbox::wait_on(entry& entry, instant now, effects& out)
{
	if (entry.held_by.empty() && entry.sends < limits_.sends)
	{
		++entry.sends;
		entry.wait_until = now + limits_.ack_wait;
		auto again = put({entry.bill}, holders_);
		std::move(again.begin(), again.end(), std::back_inserter(out));
		return true;
	}
	for (const auto& vm : holders_)
	{
		if (!entry.held_by.contains(vm))
		{
			suspect_until_[vm] = now + limits_.suspicion;
			choose_again_ = now;
		}
	}
	return false;
}

void outbox::on_heard(const vm_incarnation& from)
{
	const auto holds = std::find(holders_.begin(), holders_.end(), from.vm) != holders_.end();
	auto& known = incarnations_[from.vm];
	if (holds && known != 0 && known != from.incarnation)
	{
		for (auto& [request, entry] : entries_)
		{
			entry.held_by.erase(from.vm);
		}
		new_holders_.push_back(from.vm);
	}
	known = from.incarnation;
}

effects outbox::journal_with_new_holders()
{
	const auto fresh = std::exchange(new_holders_, {});
	if (fresh.empty() || entries_.empty())
	{
		return {};
	}
	std::vector<bill> all;
	for (const auto& [request, entry] : entries_)
	{
		all.push_back(entry.bill);
	}
	return put(all, fresh);
}

effects outbox::report(instant now)
{
	last_report_ = now;
	if (entries_.empty())
	{
		return {};
	}
	std::vector<bill> changed;
	for (auto& [request, entry] : entries_)
	{
		// A final amount that some holder did not acknowledge is sent again: its message may be lost.
		const bool unheld =
			entry.bill.state == bill_state::final_amount && entry.held_by.size() < holders_.size();
		if (entry.to_report || unheld)
		{
			changed.push_back(entry.bill);
			entry.to_report = false;
		}
	}
	if (!changed.empty())
	{
		return put(changed, holders_);
	}
	effects result;
	for (const auto& vm : holders_)
	{
		result.emplace_back(send_peer{vm, peer::heartbeat{}});
	}
	return result;
}

effects outbox::flush(instant now)
{
	last_flush_ = now;
	store::transaction body;
	std::vector<request_id> requests;
	for (auto& [request, entry] : entries_)
	{
		if (body.size() >= limits_.batch)
		{
			break;
		}
		if (entry.bill.state == bill_state::final_amount && !entry.flushing)
		{
			entry.flushing = true;
			body.push_back(bill_operation(entry.bill));
			requests.push_back(request);
		}
	}
	to_flush_ -= std::min(to_flush_, requests.size());
	if (body.empty())
	{
		return {};
	}
	const call_id id{call_owner::bills, next_call_++};
	calls_.emplace(id.number, std::move(requests));
	return {call_store{id, store::priority::bill, std::move(body)}};
}

outbox_step outbox::flush_now(instant now)
{
	return {flush(now), {}};
}

outbox_step outbox::on_answer(std::uint64_t call, const store::answer& answer, instant /*now*/)
{
	const auto found = calls_.find(call);
	if (found == calls_.end())
	{
		return {};
	}
	auto requests = std::move(found->second);
	calls_.erase(found);
	if (answer.what != store::verdict::committed)
	{
		// Lost or refused: the rows are sent again with the next flush; inserted if absent, so without harm.
		for (const auto& request : requests)
		{
			const auto entry = entries_.find(request);
			if (entry != entries_.end())
			{
				entry->second.flushing = false;
				++to_flush_;
			}
		}
		return {};
	}
	outbox_step step;
	for (const auto& request : requests)
	{
		if (awaited_.erase(request) > 0)
		{
			step.ready.push_back({request, bill_state::final_amount});
		}
		entries_.erase(request);
	}
	step.out = forget(requests);
	return step;
}

effects outbox::forget(const std::vector<request_id>& requests) const
{
	effects result;
	for (const auto& vm : holders_)
	{
		result.emplace_back(send_peer{vm, peer::journal_forget{requests}});
	}
	return result;
}

std::size_t outbox::at_risk() const
{
	return static_cast<std::size_t>(std::count_if(
		entries_.begin(), entries_.end(), [](const auto& item) { return item.second.held_by.empty(); }));
}
} // namespace gingerdyke::ledger
