// SPDX-License-Identifier: MIT
// A small world in virtual time: messages between VMs, and the platform.
#include "world.hpp"
#include "world_impl.hpp"
#include <array>

namespace gingerdyke::test
{
namespace
{
constexpr duration near_latency = std::chrono::microseconds{300};
constexpr duration far_latency = std::chrono::microseconds{1200};
constexpr duration platform_latency = std::chrono::milliseconds{2};
constexpr duration platform_timeout = std::chrono::seconds{3};
constexpr duration slow_platform = std::chrono::milliseconds{2500};

bool withdraws(const store::operation& operation, std::set<version_ref>& into)
{
	const auto* put = std::get_if<store::put_if>(&operation);
	constexpr std::string_view kind = "version/";
	if (put == nullptr || !put->key.starts_with(kind) || !put->value.is_object() ||
		put->value.value("state", "") != "withdrawn")
	{
		return false;
	}
	into.insert(version_ref::parse(put->key.substr(kind.size())));
	return true;
}
} // namespace

bool world::can_reach(const failure_domain_id& a, const failure_domain_id& b) const
{
	const auto cut = [&](const failure_domain_id& domain)
	{
		const auto found = peers_cut_until_.find(domain);
		return found != peers_cut_until_.end() && now_ < found->second;
	};
	return a == b || (!cut(a) && !cut(b));
}

bool world::can_reach_platform(const failure_domain_id& domain) const
{
	const auto found = platform_cut_until_.find(domain);
	return found == platform_cut_until_.end() || now_ >= found->second;
}

void world::send_message(entry_vm& from, const send_peer& action)
{
	const auto* put = std::get_if<peer::journal_put>(&action.body);
	if (put != nullptr)
	{
		const bool is_final = put->bills.front().state == ledger::bill_state::final_amount;
		reach(is_final ? step::final_journalled : step::intent_journalled, from.self.vm);
	}
	if (std::holds_alternative<peer::journal_forget>(action.body))
	{
		reach(step::released, from.self.vm);
	}
	const bool is_table = std::holds_alternative<peer::table_push>(action.body);
	if (is_table)
	{
		reach(step::table_pushed, from.self.vm);
	}
	++messages_[action.body.index()];
	const auto to = vms_.find(action.to);
	const bool swallowed = (put != nullptr && options_.switched_off == mutation::no_journal) ||
						   (is_table && options_.switched_off == mutation::no_spread);
	if (!from.alive || to == vms_.end() || !to->second->alive || swallowed)
	{
		return;
	}
	// News may be lost at any time; journal entries go over links that lose them only when they break.
	const bool is_news = !std::holds_alternative<peer::journal_put>(action.body) &&
						 !std::holds_alternative<peer::journal_ack>(action.body) &&
						 !std::holds_alternative<peer::journal_forget>(action.body);
	const bool lost = is_news && options_.message_loss > 0 && random_unit(random_) < options_.message_loss;
	if (lost || !can_reach(from.self.failure_domain, to->second->self.failure_domain))
	{
		return;
	}
	const auto latency =
		from.self.failure_domain == to->second->self.failure_domain ? near_latency : far_latency;
	peer::envelope envelope{{from.self.vm, from.incarnation}, from.self.failure_domain, action.body};
	on_vm(action.to, to->second->incarnation, now_ + latency,
		[this, envelope = std::move(envelope)](entry_vm& receiver)
		{ step_core(receiver, node::peer_received{envelope}); });
}

void world::call_platform(entry_vm& from, const call_store& call)
{
	constexpr std::array steps{step::table_read, step::edit_sent, step::claim, step::flushed};
	const auto owner = static_cast<std::size_t>(call.id.owner);
	if (owner > 0 && owner < steps.size())
	{
		reach(steps.at(owner), from.self.vm);
	}
	if (!from.alive)
	{
		return;
	}
	const auto vm = from.self.vm;
	const auto incarnation = from.incarnation;
	const bool unreachable = !can_reach_platform(from.self.failure_domain) ||
							 store_mode_ == store_mode::down || store_mode_ == store_mode::limit;
	if (unreachable)
	{
		answer_call(vm, incarnation, call, {store::verdict::refused, 0, {}}, platform_latency);
		return;
	}
	const auto mode = store_mode_;
	const auto effect_after = mode == store_mode::late_effect ? late_effect_after
							  : mode == store_mode::slow      ? slow_platform
															  : platform_latency;
	schedule(now_ + effect_after,
		[this, vm, incarnation, call, mode]
		{
			auto& caller = *vms_.at(vm);
			run_transaction(caller, call,
				[&](store::answer answer)
				{
					const bool answered = mode == store_mode::good || mode == store_mode::slow;
					if (answered && can_reach_platform(caller.self.failure_domain))
					{
						answer_call(vm, incarnation, call, std::move(answer), platform_latency);
					}
					else if (mode != store_mode::late_effect)
					{
						answer_call(vm, incarnation, call, {}, platform_timeout);
					}
				});
		});
	if (mode == store_mode::late_effect)
	{
		answer_call(vm, incarnation, call, {}, platform_timeout);
	}
}

void world::run_transaction(
	entry_vm& from, const call_store& call, const std::function<void(store::answer)>& then)
{
	auto answer = store_.run(call.body);
	if (call.id.owner == call_owner::table_editor && answer.what == store::verdict::committed &&
		call.body.size() > 1)
	{
		commit_record commit{revision{answer.sequence}, now_, {}};
		for (const auto& operation : call.body)
		{
			withdraws(operation, commit.withdrawn);
		}
		history_.commits.push_back(std::move(commit));
		note("table service commits revision " + std::to_string(answer.sequence));
		reach(step::edit_committed, from.self.vm);
	}
	mutate(answer, call);
	then(std::move(answer));
}

void world::mutate(store::answer& answer, const call_store& call) const
{
	if (options_.switched_off == mutation::claims_always_won && call.id.owner == call_owner::claims)
	{
		for (std::size_t i = 0; i < answer.results.size(); ++i)
		{
			if (const auto* insert = std::get_if<store::insert>(&call.body[i]))
			{
				answer.results[i].standing.value = insert->value;
			}
		}
	}
	const bool reads = call.id.owner == call_owner::table_reader && !answer.results.empty();
	const bool first_copy = reads && std::get<store::scan>(call.body.front()).after == 0;
	if (reads && !first_copy && options_.switched_off == mutation::no_spread)
	{
		answer.results.front().rows.clear();
	}
}

void world::answer_call(
	const vm_id& vm, std::uint64_t incarnation, const call_store& call, store::answer answer, duration after)
{
	on_vm(vm, incarnation, now_ + after,
		[this, id = call.id, answer = std::move(answer)](entry_vm& caller)
		{
			const bool has_rows = id.owner == call_owner::table_reader && !answer.results.empty() &&
								  !answer.results.front().rows.empty();
			if (has_rows)
			{
				reach(step::table_read, caller.self.vm);
			}
			if (caller.alive)
			{
				step_core(caller, node::store_answered{id, answer});
			}
		});
}

void world::fetch_list(entry_vm& vm)
{
	if (!can_reach_platform(vm.self.failure_domain))
	{
		return;
	}
	auto list = now_ < list_stale_until_ ? stale_list_ : list_;
	if (options_.switched_off == mutation::leaving_untold)
	{
		for (auto& member : list.members)
		{
			member.state = membership::member_state::live;
		}
	}
	on_vm(vm.self.vm, vm.incarnation, now_ + platform_latency,
		[this, list = std::move(list)](entry_vm& asker) { step_core(asker, node::members_fetched{list}); });
}
} // namespace gingerdyke::test
