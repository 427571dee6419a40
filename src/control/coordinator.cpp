// SPDX-License-Identifier: MIT
// Connects the registry to the data path: applies tables and writes plans of version shifts. The exchange
// with other VMs is in coordinator_peers.cpp.
#include <gingerdyke/control/coordinator.hpp>
#include <gingerdyke/log/log.hpp>

namespace gingerdyke::control
{
namespace
{
const std::string plan_key_prefix = "plan/";
const std::string vm_key_prefix = "vm/";

void log_findings(const char* message, const findings& list)
{
	for (const auto& finding : list)
	{
		log::write(log::level::error, message, {{"finding", finding.str()}});
	}
}
} // namespace

coordinator_tuning tuning_for(duration propagation_limit)
{
	// Shares of `propagation_limit`: the wait of a reader's poll, the maximum age of another VM's copy and
	// that of the own copy. The second exceeds the first by the time for the reader's response. The rest of
	// the limit is for learning of a change from another VM, and what exceeds the third for the registry's
	// own response.
	constexpr double poll_wait_ratio = 0.35;
	constexpr double peer_copy_ratio = 0.55;
	constexpr double own_copy_ratio = 0.75;
	// A lost response of the registry is noticed after this wait plus the response timeout. A VM counts as in
	// contact with the registry again 3 s after an outage, and a further 2 s are allowed from there.
	constexpr double replica_wait_ratio = 1.2;
	coordinator_tuning tuning;
	tuning.operator_poll_wait = scaled(propagation_limit, poll_wait_ratio);
	tuning.replica_poll_wait = scaled(propagation_limit, replica_wait_ratio);
	tuning.sharing.max_peer_copy_age = scaled(propagation_limit, peer_copy_ratio);
	tuning.sharing.max_own_copy_age = scaled(propagation_limit, own_copy_ratio);
	return tuning;
}

coordinator::coordinator(proxy::gateway& gateway, row_store& registry, registry_layout layout, peer self,
	std::string reporter, const random_source& random, coordinator_tuning tuning, coordinator_hooks hooks)
	: gateway_(gateway), layout_(std::move(layout)), self_(std::move(self)), reporter_(std::move(reporter)),
	  tuning_(std::move(tuning)), hooks_(std::move(hooks)), source_selector_(self_),
	  shared_store_(gateway.context(), registry, source_selector_, store_hooks(), sharing_tuning()),
	  relay_server_(gateway.context(), server_hooks()),
	  suspect_rows_(gateway.context(), shared_store_, gateway.suspects(), layout_.own_table),
	  suspect_exchange_(gateway.context(), self_, exchange_hooks()), register_timer_(gateway.context()),
	  write_timer_(gateway.context()), expire_timer_(gateway.context()), evidence_timer_(gateway.context()),
	  operator_follower_(gateway.context(), shared_store_, layout_.operator_table, random,
		  {[this](const auto& rows) { on_operator_table(rows); },
			  [this](const auto& rows) { on_operator_rows(rows); },
			  [this](instant newest_at, registry_time at)
			  {
				  check_machine_suspension();
				  gateway_.confirm_catalog(newest_at);
				  gateway_.versions().update_registry_time(at, proxy::steady_now());
				  suspect_rows_.record_registry_time(at, proxy::steady_now());
				  if (hooks_.registry_time_received)
				  {
					  hooks_.registry_time_received(at);
				  }
			  },
			  // The responses to the other pending calls may be lost as well, so they are repeated.
			  [this](store_error)
			  {
				  check_machine_suspension();
				  shared_store_.abandon();
			  },
			  {}},
		  {.wait = tuning_.operator_poll_wait}),
	  replica_follower_(gateway.context(), shared_store_, layout_.replica_table, random,
		  {[this](const auto& rows) { on_replicas(rows); },
			  [this](const auto& rows) { on_replica_rows(rows); },
			  [this](instant newest_at, registry_time)
			  {
				  gateway_.confirm_replicas(newest_at);
				  gateway_.replicas().mark_registry_available(newest_at);
				  expire_replicas();
			  },
			  [this](store_error) { gateway_.replicas().mark_registry_unavailable(proxy::steady_now()); },
			  // The copy lacks the entries of replicas that started since, until these write them again.
			  [this] { gateway_.replicas().mark_registry_unavailable(proxy::steady_now()); }},
		  {.wait = tuning_.replica_poll_wait, .batch_delay = tuning_.batch_delay}),
	  own_follower_(gateway.context(), shared_store_, layout_.own_table, random,
		  {[this](const auto& rows) { on_own_rows(rows); }, [this](const auto& rows) { on_own_rows(rows); },
			  [this](instant newest_at, registry_time) { gateway_.vms().confirm(newest_at); },
			  [](store_error) {}, [this] { on_own_table_restored(); }},
		  {.wait = tuning_.own_poll_wait, .batch_delay = tuning_.batch_delay}),
	  evidence_follower_(gateway.context(), registry, layout_.evidence_table, random,
		  {[this](const auto& rows) { on_evidence_rows(rows); },
			  [this](const auto& rows) { on_evidence_rows(rows); }, [](instant, registry_time) {},
			  [](store_error) {}, {}},
		  {.wait = tuning_.evidence_poll_wait, .batch_delay = tuning_.batch_delay})
{
}

proxy::error_code coordinator::start()
{
	const auto error = relay_server_.listen(self_.address);
	if (!error)
	{
		own_follower_.start();
	}
	return error;
}

/// Started once the VMs to read through are known from the router's own table.
void coordinator::start_remaining_followers()
{
	if (!remaining_followers_started_)
	{
		remaining_followers_started_ = true;
		operator_follower_.start();
		replica_follower_.start();
	}
}

void coordinator::stop()
{
	operator_follower_.stop();
	replica_follower_.stop();
	own_follower_.stop();
	evidence_follower_.stop();
	relay_server_.stop();
	suspect_rows_.stop();
	suspect_exchange_.stop();
	write_timer_.cancel();
	expire_timer_.cancel();
	evidence_timer_.cancel();
	register_timer_.cancel();
}

/// Checked with each response or failure for the operators' table, the one polled most often: a call that was
/// pending during a suspension fails after it, so the suspension is noticed then at the latest.
void coordinator::check_machine_suspension()
{
	const auto monotonic_now = std::chrono::steady_clock::now().time_since_epoch();
	if (const auto span = suspend_detector_.update(boot_clock::now().time_since_epoch(), monotonic_now))
	{
		log::write(log::level::warn, "machine was suspended", {{"for_ms", to_milliseconds(*span)}});
	}
}

/// A VM that restarts with the same address is still registered.
void coordinator::register_self()
{
	const auto registered = vms_.find(self_.vm);
	if (registered != vms_.end() && registered->second == self_)
	{
		return;
	}
	row_change change;
	change.puts.push_back({layout_.own_table, vm_key_prefix + self_.vm.str(), write_vm(self_)});
	shared_store_.change(change,
		[this](const store_result<change_result>& result)
		{
			if (result)
			{
				return;
			}
			register_timer_.expires_after(tuning_.register_retry_delay);
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
	for (auto* follower : {&operator_follower_, &replica_follower_, &own_follower_})
	{
		if (follower->cache().table() == table)
		{
			return follower;
		}
	}
	return nullptr;
}

const table_cache* coordinator::find_copy(const std::string& table)
{
	const auto* follower = follower_of(table);
	return follower == nullptr ? nullptr : &follower->cache();
}

/// An evacuation without a row has been withdrawn, possibly while this VM had no contact with the registry.
void coordinator::on_operator_table(const std::vector<row>& rows)
{
	std::set<failure_domain_id> ordered_domains;
	for (const auto& table_row : rows)
	{
		if (const auto domain = layout_.evacuated_domain(table_row.key))
		{
			ordered_domains.insert(*domain);
		}
	}
	gateway_.evacuated().retain(ordered_domains);
	on_operator_rows(rows);
}

void coordinator::on_operator_rows(const std::vector<row>& rows)
{
	for (const auto& table_row : rows)
	{
		if (const auto domain = layout_.evacuated_domain(table_row.key))
		{
			table_row.removed ? gateway_.evacuated().remove(*domain) : gateway_.evacuated().add(*domain);
		}
		else if (!table_row.removed)
		{
			on_operator_row(table_row);
		}
	}
	relay_server_.on_change(layout_.operator_table);
	schedule_write();
}

void coordinator::on_operator_row(const row& table_row)
{
	const auto statement = layout_.read_operator_row(table_row);
	if (!statement)
	{
		log_findings("invalid operator row", statement.error());
		return;
	}
	if (std::holds_alternative<std::monostate>(*statement))
	{
		gateway_.unknown_names().record(
			proxy::statement_source::operator_row, table_row.key, layout_.operator_table);
	}
	if (const auto* catalog = std::get_if<routing::catalog_ptr>(&*statement))
	{
		apply_catalog(*catalog);
	}
	if (const auto* order = std::get_if<rollout::shift_order>(&*statement))
	{
		log::write(log::level::info, "version shift ordered",
			{{"service", order->service.str()}, {"to", order->to_version}, {"order", order->order.value()}});
		gateway_.versions().on_order(*order, proxy::steady_now());
	}
}

void coordinator::apply_catalog(const routing::catalog_ptr& catalog)
{
	if (gateway_.apply_catalog(catalog))
	{
		log::write(log::level::info, "configuration applied",
			{{"version", catalog->version().value()}, {"routes", catalog->route_count()}});
	}
}

void coordinator::on_replica_rows(const std::vector<row>& rows)
{
	gateway_.change_replicas(
		[&](routing::replica_set& replicas)
		{
			for (const auto& table_row : rows)
			{
				apply_replica_row(table_row, replicas);
			}
		});
	relay_server_.on_change(layout_.replica_table);
	expire_replicas();
}

void coordinator::apply_replica_row(const row& table_row, routing::replica_set& replicas)
{
	const auto now = proxy::steady_now();
	if (auto entry = read_replica(table_row))
	{
		record_unknown_fields(table_row);
		replicas.put(std::move(*entry), now);
		return;
	}
	replicas.remove(replica_id{table_row.key}, now);
}

/// Checked once per replica, as each heartbeat of a cold replica delivers its row again.
void coordinator::record_unknown_fields(const row& table_row)
{
	if (gateway_.replicas().find(replica_id{table_row.key}) != nullptr)
	{
		return;
	}
	for (const auto& name : layout_.unknown_replica_fields(table_row))
	{
		gateway_.unknown_names().record(proxy::statement_source::replica_entry, name, table_row.key);
	}
}

void coordinator::on_replicas(const std::vector<row>& rows)
{
	std::vector<routing::replica> entries;
	for (const auto& table_row : rows)
	{
		if (auto entry = read_replica(table_row))
		{
			entries.push_back(std::move(*entry));
		}
	}
	log::write(log::level::info, "replica table loaded",
		{{"count", entries.size()}, {"unreadable", rows.size() - entries.size()}});
	gateway_.set_replicas(std::move(entries), proxy::steady_now());
	relay_server_.on_change(layout_.replica_table);
}

/// A malformed entry makes its replica unusable, even if a valid entry was known under its id: another writer
/// may have overwritten it. The replica's next heartbeat restores it.
std::optional<routing::replica> coordinator::read_replica(const row& table_row) const
{
	if (table_row.removed)
	{
		return std::nullopt;
	}
	auto entry = layout_.read_replica_row(table_row);
	if (!entry)
	{
		log_findings("invalid replica row", entry.error());
		return std::nullopt;
	}
	return std::move(*entry);
}

void coordinator::on_own_rows(const std::vector<row>& rows)
{
	bool vms_changed = false;
	for (const auto& table_row : rows)
	{
		if (table_row.key.starts_with(vm_key_prefix))
		{
			on_vm_row(table_row);
			vms_changed = true;
		}
		else if (table_row.key.starts_with(suspect_key_prefix))
		{
			suspect_rows_.on_row(table_row, proxy::steady_now());
		}
		else if (table_row.key.starts_with(plan_key_prefix) && !table_row.removed)
		{
			on_plan_row(table_row);
		}
	}
	if (vms_changed)
	{
		publish_vms();
	}
	if (!std::exchange(registration_checked_, true))
	{
		register_self();
	}
	relay_server_.on_change(layout_.own_table);
	follow_evidence();
	start_remaining_followers();
	schedule_write();
}

/// Rows that VMs have written since the copy are gone. This VM writes its own again, and those of
/// suspects and plans; what it knows of other VMs stays until they have done so.
void coordinator::on_own_table_restored()
{
	vms_.erase(self_.vm);
	registration_checked_ = false;
	suspect_rows_.on_table_restored();
	gateway_.versions().on_registry_restored(proxy::steady_now());
}

void coordinator::publish_vms()
{
	std::vector<peer> peers;
	std::vector<routing::fleet_member> members;
	std::vector<routing::forwarding_peer> forwarding;
	for (const auto& [id, vm] : vms_)
	{
		peers.push_back(vm);
		members.push_back({id, vm.domain});
		if (vm.forwarding_address && id != self_.vm)
		{
			forwarding.push_back({id, vm.domain, *vm.forwarding_address, vm.link_mbps});
		}
	}
	gateway_.peers().set_peers(std::move(forwarding));
	if (hooks_.vms_changed)
	{
		hooks_.vms_changed(peers);
	}
	source_selector_.set_peers(std::move(peers));
	suspect_exchange_.set_peers(source_selector_.peers());
	gateway_.set_vm_count(vms_.size());
	gateway_.vms().set(self_.vm, members, proxy::steady_now());
}

void coordinator::on_vm_row(const row& table_row)
{
	if (table_row.removed)
	{
		vms_.erase(vm_id{table_row.key.substr(vm_key_prefix.size())});
		return;
	}
	if (const auto vm = read_vm(table_row))
	{
		vms_[vm->vm] = *vm;
	}
	else
	{
		log_findings("invalid VM row", vm.error());
	}
}

void coordinator::on_plan_row(const row& table_row)
{
	if (const auto plan = read_plan(table_row))
	{
		if (rollout::is_within_one_version(*plan))
		{
			log::write(log::level::warn, "version shift plan not followed",
				{{"service", plan->service.str()}, {"from", plan->from_version}, {"to", plan->to_version},
					{"state", rollout::name_of(plan->state)}, {"row_version", plan->row.value()}});
		}
		gateway_.versions().on_plan(*plan, proxy::steady_now());
	}
	else
	{
		log_findings("invalid version shift plan", plan.error());
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

void coordinator::schedule_write()
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
				write_due_changes();
			}
		});
}

void coordinator::write_due_changes()
{
	for (const auto& due_write : gateway_.versions().due(proxy::steady_now()))
	{
		write(due_write);
	}
	schedule_write();
}

void coordinator::write(const rollout::shift_write& shift)
{
	row_change change;
	if (shift.plan)
	{
		const auto key = plan_key_prefix + shift.plan->service.str();
		change.conditions.push_back({layout_.own_table, key, shift.plan->row});
		change.puts.push_back({layout_.own_table, key, write_plan(*shift.plan)});
		change.puts.push_back(layout_.status_row(*shift.plan));
		log::write(log::level::info, "writing version shift plan",
			{{"service", shift.plan->service.str()}, {"state", rollout::name_of(shift.plan->state)},
				{"on_row_version", shift.plan->row.value()}});
	}
	for (const auto& reported : shift.evidence)
	{
		const auto& reporter = reported.reporter.empty() ? reporter_ : reported.reporter;
		const auto key = reported.evidence.service.str() + "/" + reporter;
		change.puts.push_back({layout_.evidence_table, key, write_evidence(reported.evidence)});
	}
	shared_store_.change(
		change, [this](store_result<change_result> result) { on_written(std::move(result)); });
}

void coordinator::on_written(store_result<change_result> result)
{
	if (!result)
	{
		log::write(log::level::warn, "registry write not confirmed", {{"why", name_of(result.error())}});
		return;
	}
	if (!result->committed)
	{
		// Another VM wrote the row first, and its row takes precedence.
		on_own_rows(result->rows);
	}
}
} // namespace gingerdyke::control
