// SPDX-License-Identifier: MIT
// Connects the registry to the data path: tables in, plans out. What VMs tell one another is in
// coordinator_peers.cpp.
#include <gingerdyke/control/coordinator.hpp>
#include <gingerdyke/log/log.hpp>

namespace gingerdyke::control
{
namespace
{
const std::string plan_prefix = "plan/";
const std::string vm_prefix = "vm/";

void log_findings(const char* what, const findings& list)
{
	for (const auto& one : list)
	{
		log::write(log::level::error, what, {{"finding", one.str()}});
	}
}
} // namespace

coordinator_tuning tuning_for(duration news_limit)
{
	// A reader's call, and how old its copy may be, which leaves it half of that for the answer. The rest is
	// for learning of a change elsewhere, and its last part for the registry's own answer.
	constexpr double wait_share = 0.35;
	constexpr double copy_share = 0.55;
	constexpr double own_share = 0.75;
	// A lost answer of the registry is noticed after this and the time limit of an answer: the users count a
	// VM as in touch again 3 s after, and allow 2 s from there.
	constexpr double replica_share = 1.2;
	coordinator_tuning tuning;
	tuning.operator_wait = scaled(news_limit, wait_share);
	tuning.replica_wait = scaled(news_limit, replica_share);
	tuning.sharing.oldest_copy = scaled(news_limit, copy_share);
	tuning.sharing.oldest_own = scaled(news_limit, own_share);
	return tuning;
}

coordinator::coordinator(proxy::gateway& gateway, row_store& registry, registry_layout layout, peer self,
	std::string reporter, const random_source& random, coordinator_tuning tuning)
	: gateway_(gateway), layout_(std::move(layout)), self_(std::move(self)), reporter_(std::move(reporter)),
	  tuning_(std::move(tuning)), sources_(self_),
	  store_(gateway.context(), registry, sources_, store_hooks(), sharing_tuning()),
	  relay_(gateway.context(), server_hooks()),
	  suspects_(gateway.context(), store_, gateway.suspects(), layout_.own_table),
	  register_timer_(gateway.context()), write_timer_(gateway.context()), expire_timer_(gateway.context()),
	  evidence_timer_(gateway.context()),
	  operators_(gateway.context(), store_, layout_.operator_table, random,
		  {[this](const auto& rows) { on_operator_table(rows); },
			  [this](const auto& rows) { on_operator_rows(rows); },
			  [this](instant newest_at, registry_time at)
			  {
				  note_suspension();
				  gateway_.confirm(newest_at);
				  gateway_.versions().note_registry_time(at, proxy::steady_now());
				  suspects_.note_registry_time(at, proxy::steady_now());
			  },
			  // What the other calls wait for may be lost as well: they are made again.
			  [this](store_error)
			  {
				  note_suspension();
				  store_.abandon();
			  }},
		  {.wait = tuning_.operator_wait}),
	  replicas_(gateway.context(), store_, layout_.replica_table, random,
		  {[this](const auto& rows) { on_replicas(rows); },
			  [this](const auto& rows) { on_replica_rows(rows); },
			  [this](instant newest_at, registry_time)
			  {
				  gateway_.confirm_replicas(newest_at);
				  gateway_.replicas().note_sound(newest_at);
				  expire_replicas();
			  },
			  [this](store_error) { gateway_.replicas().note_unsound(proxy::steady_now()); }},
		  {.wait = tuning_.replica_wait, .gather = tuning_.gather}),
	  own_(gateway.context(), store_, layout_.own_table, random,
		  {[this](const auto& rows) { on_own_rows(rows); }, [this](const auto& rows) { on_own_rows(rows); },
			  [this](instant newest_at, registry_time) { gateway_.vms().confirm(newest_at); },
			  [](store_error) {}},
		  {.wait = tuning_.other_wait, .gather = tuning_.gather}),
	  evidence_(gateway.context(), registry, layout_.evidence_table, random,
		  {[this](const auto& rows) { on_evidence_rows(rows); },
			  [this](const auto& rows) { on_evidence_rows(rows); }, [](instant, registry_time) {},
			  [](store_error) {}},
		  {.wait = tuning_.evidence_wait, .gather = tuning_.gather})
{
}

proxy::error_code coordinator::start()
{
	const auto error = relay_.listen(self_.at);
	if (!error)
	{
		own_.start();
	}
	return error;
}

/// The other tables are followed once it is known through whom.
void coordinator::start_rest()
{
	if (!rest_started_)
	{
		rest_started_ = true;
		operators_.start();
		replicas_.start();
	}
}

void coordinator::stop()
{
	operators_.stop();
	replicas_.stop();
	own_.stop();
	evidence_.stop();
	relay_.stop();
	suspects_.stop();
	write_timer_.cancel();
	expire_timer_.cancel();
	evidence_timer_.cancel();
	register_timer_.cancel();
}

/// Looked at with each answer of the table that is asked for most often: calls under way fail at the latest.
void coordinator::note_suspension()
{
	const auto without = std::chrono::steady_clock::now().time_since_epoch();
	if (const auto span = suspensions_.update(boot_clock::now().time_since_epoch(), without))
	{
		log::write(log::level::warn, "machine was suspended", {{"for_ms", to_milliseconds(*span)}});
	}
}

/// A VM that starts again where it was is still registered.
void coordinator::register_self()
{
	const auto known = vms_.find(self_.vm);
	if (known != vms_.end() && known->second == self_)
	{
		return;
	}
	row_change change;
	change.puts.push_back({layout_.own_table, vm_prefix + self_.vm.str(), write_vm(self_)});
	store_.change(change,
		[this](const store_result<change_answer>& answer)
		{
			if (answer)
			{
				return;
			}
			register_timer_.expires_after(tuning_.register_again);
			register_timer_.async_wait(
				[this](const proxy::error_code& error)
				{
					if (!error)
					{
						register_self();
					}
				});
		});
}

table_follower* coordinator::follower_of(const std::string& table)
{
	for (auto* one : {&operators_, &replicas_, &own_})
	{
		if (one->cache().table() == table)
		{
			return one;
		}
	}
	return nullptr;
}

/// An evacuation whose row is not there was withdrawn, perhaps while this VM heard nothing.
void coordinator::on_operator_table(const std::vector<row>& rows)
{
	std::set<failure_domain_id> standing;
	for (const auto& one : rows)
	{
		if (const auto domain = layout_.evacuated_domain(one.key))
		{
			standing.insert(*domain);
		}
	}
	gateway_.evacuated().retain(standing);
	on_operator_rows(rows);
}

void coordinator::on_operator_rows(const std::vector<row>& rows)
{
	for (const auto& one : rows)
	{
		if (const auto domain = layout_.evacuated_domain(one.key))
		{
			one.removed ? gateway_.evacuated().remove(*domain) : gateway_.evacuated().add(*domain);
		}
		else if (!one.removed)
		{
			on_operator_row(one);
		}
	}
	relay_.on_change(layout_.operator_table);
	arm();
}

void coordinator::on_operator_row(const row& one)
{
	const auto news = layout_.read_operator_row(one);
	if (!news)
	{
		log_findings("operator's row not understood", news.error());
		return;
	}
	if (std::holds_alternative<std::monostate>(*news))
	{
		gateway_.unknown().note(proxy::statement_source::operator_row, one.key, layout_.operator_table);
	}
	if (const auto* catalog = std::get_if<routing::catalog_ptr>(&*news))
	{
		take_catalog(*catalog);
	}
	if (const auto* order = std::get_if<rollout::shift_order>(&*news))
	{
		log::write(log::level::info, "version shift ordered",
			{{"service", order->service.str()}, {"to", order->to_version}, {"order", order->order.value()}});
		gateway_.versions().on_order(*order, proxy::steady_now());
	}
}

void coordinator::take_catalog(const routing::catalog_ptr& catalog)
{
	if (gateway_.take(catalog))
	{
		log::write(log::level::info, "configuration in force",
			{{"version", catalog->version().value()}, {"routes", catalog->route_count()}});
	}
}

void coordinator::on_replica_rows(const std::vector<row>& rows)
{
	const auto now = proxy::steady_now();
	for (const auto& one : rows)
	{
		auto entry = read_replica(one);
		if (entry)
		{
			note_unknown_fields(one);
			gateway_.replicas().put(std::move(*entry), now);
			continue;
		}
		gateway_.replicas().remove(replica_id{one.key}, now);
	}
	relay_.on_change(layout_.replica_table);
	expire_replicas();
}

/// Looked at once a replica: each heartbeat of a cold one brings its row again.
void coordinator::note_unknown_fields(const row& one)
{
	if (gateway_.replicas().find(replica_id{one.key}) != nullptr)
	{
		return;
	}
	for (const auto& name : layout_.unknown_replica_fields(one))
	{
		gateway_.unknown().note(proxy::statement_source::replica_entry, name, one.key);
	}
}

void coordinator::on_replicas(const std::vector<row>& rows)
{
	std::vector<routing::replica> entries;
	for (const auto& one : rows)
	{
		if (auto entry = read_replica(one))
		{
			entries.push_back(std::move(*entry));
		}
	}
	log::write(log::level::info, "replicas read",
		{{"count", entries.size()}, {"unreadable", rows.size() - entries.size()}});
	gateway_.take_replicas(std::move(entries), proxy::steady_now());
	relay_.on_change(layout_.replica_table);
}

/// An entry that can't be read names no replica to use, also where one was known under its id: another writer
/// may have put it there. The replica's own next heartbeat brings it back.
std::optional<routing::replica> coordinator::read_replica(const row& one) const
{
	if (one.removed)
	{
		return std::nullopt;
	}
	auto entry = layout_.read_replica_row(one);
	if (!entry)
	{
		log_findings("replica's row not understood", entry.error());
		return std::nullopt;
	}
	return std::move(*entry);
}

void coordinator::on_own_rows(const std::vector<row>& rows)
{
	bool vms_changed = false;
	for (const auto& one : rows)
	{
		if (one.key.starts_with(vm_prefix))
		{
			on_vm_row(one);
			vms_changed = true;
		}
		else if (one.key.starts_with(suspect_prefix))
		{
			suspects_.on_row(one, proxy::steady_now());
		}
		else if (one.key.starts_with(plan_prefix) && !one.removed)
		{
			on_plan_row(one);
		}
	}
	if (vms_changed)
	{
		note_vms();
	}
	if (!std::exchange(looked_for_self_, true))
	{
		register_self();
	}
	relay_.on_change(layout_.own_table);
	follow_evidence();
	start_rest();
	arm();
}

void coordinator::note_vms()
{
	std::vector<peer> peers;
	std::vector<routing::fleet_member> members;
	for (const auto& [id, vm] : vms_)
	{
		peers.push_back(vm);
		members.push_back({id, vm.domain});
	}
	sources_.set_peers(std::move(peers));
	gateway_.note_vms(vms_.size());
	gateway_.vms().set(self_.vm, members, proxy::steady_now());
}

void coordinator::on_vm_row(const row& one)
{
	if (one.removed)
	{
		vms_.erase(vm_id{one.key.substr(vm_prefix.size())});
		return;
	}
	if (const auto vm = read_vm(one))
	{
		vms_[vm->vm] = *vm;
	}
	else
	{
		log_findings("VM's row not understood", vm.error());
	}
}

void coordinator::on_plan_row(const row& one)
{
	if (const auto plan = read_plan(one))
	{
		gateway_.versions().on_plan(*plan, proxy::steady_now());
	}
	else
	{
		log_findings("plan not understood", plan.error());
	}
}

void coordinator::expire_replicas()
{
	const auto next = gateway_.replicas().expire(proxy::steady_now());
	if (!next)
	{
		return;
	}
	expire_timer_.expires_after(*next - proxy::steady_now());
	expire_timer_.async_wait(
		[this](const proxy::error_code& error)
		{
			if (!error)
			{
				expire_replicas();
			}
		});
}

void coordinator::arm()
{
	const auto next = gateway_.versions().next_due();
	if (!next)
	{
		return;
	}
	write_timer_.expires_after(std::max(*next - proxy::steady_now(), duration{0}));
	write_timer_.async_wait(
		[this](const proxy::error_code& error)
		{
			if (!error)
			{
				write_due();
			}
		});
}

void coordinator::write_due()
{
	for (const auto& one : gateway_.versions().due(proxy::steady_now()))
	{
		write(one);
	}
	arm();
}

void coordinator::write(const rollout::shift_write& what)
{
	row_change change;
	if (what.plan)
	{
		const auto key = plan_prefix + what.plan->service.str();
		change.conditions.push_back({layout_.own_table, key, what.plan->row});
		change.puts.push_back({layout_.own_table, key, write_plan(*what.plan)});
		change.puts.push_back(layout_.status_row(*what.plan));
		log::write(log::level::info, "version shift written",
			{{"service", what.plan->service.str()}, {"state", rollout::name_of(what.plan->state)},
				{"on_row_version", what.plan->row.value()}});
	}
	for (const auto& one : what.evidence)
	{
		const auto& reporter = one.reporter.empty() ? reporter_ : one.reporter;
		const auto key = one.evidence.service.str() + "/" + reporter;
		change.puts.push_back({layout_.evidence_table, key, write_evidence(one.evidence)});
	}
	store_.change(change, [this](store_result<change_answer> answer) { on_written(std::move(answer)); });
}

void coordinator::on_written(store_result<change_answer> answer)
{
	if (!answer)
	{
		log::write(log::level::warn, "write not confirmed", {{"why", name_of(answer.error())}});
		return;
	}
	if (!answer->done)
	{
		// Another VM was first: its row is the one that counts.
		on_own_rows(answer->rows);
	}
}
} // namespace gingerdyke::control
