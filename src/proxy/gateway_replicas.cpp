// SPDX-License-Identifier: MIT
// State shared by all requests of a VM: what follows from changes of the replicas and of evacuations.
#include <gingerdyke/log/log.hpp>
#include <gingerdyke/proxy/gateway.hpp>
#include <utility>

namespace gingerdyke::proxy
{
void gateway::set_replicas(std::vector<routing::replica> entries, instant now)
{
	change_replicas([&](routing::replica_set& all) { all.replace_all(std::move(entries), now); });
	run_ready_hooks();
}

void gateway::change_replicas(const std::function<void(routing::replica_set&)>& apply)
{
	const bool is_nested = std::exchange(is_changing_replicas_, true);
	apply(replicas_);
	is_changing_replicas_ = is_nested;
	if (!is_nested)
	{
		update_version_counts();
		log_counted_changes();
	}
}

void gateway::update_version_counts()
{
	for (const auto& service : std::exchange(changed_services_, {}))
	{
		versions_.set_replicas(service, replicas_.of_service(service));
	}
}

/// When thousands of replicas start at once, each VM would write thousands of lines: within one set of
/// changes only the first ones are logged one by one.
void gateway::log_replica_change(const routing::replica& instance, routing::replica_change change)
{
	constexpr std::size_t max_lines = 20;
	if (is_changing_replicas_ && ++logged_changes_ > max_lines)
	{
		++counted_changes_[change];
		return;
	}
	log::write(log::level::info, "replica",
		{{"replica", instance.id.str()}, {"service", instance.service.str()}, {"address", instance.at.str()},
			{"version", instance.version}, {"change", routing::name_of(change)}});
}

void gateway::log_counted_changes()
{
	logged_changes_ = 0;
	for (const auto& [change, count] : std::exchange(counted_changes_, {}))
	{
		log::write(log::level::info, "more replicas changed",
			{{"change", routing::name_of(change)}, {"count", count}});
	}
}

/// After an evacuation, the replicas of the failure domain may have lost their warm state, whatever their
/// entries said meanwhile.
void gateway::on_evacuation(const failure_domain_id& domain, bool is_evacuated)
{
	log::write(log::level::info, "evacuation",
		{{"failure_domain", domain.str()}, {"in_force", is_evacuated},
			{"evacuated", evacuated_domains_.size()}});
	if (is_evacuated)
	{
		return;
	}
	const auto now = steady_now();
	for (const auto& instance : replicas_.all())
	{
		if (instance->domain == domain)
		{
			cold_replicas_.assume_cold(*instance, routing::cold_reason::evacuated, now);
		}
	}
}

void gateway::record_cold_state(const routing::replica& instance, routing::replica_change change, instant now)
{
	const bool has_started =
		change == routing::replica_change::restarted || change == routing::replica_change::added;
	cold_replicas_.apply_entry(instance, now);
	// Replicas that existed before this VM are not known to have started recently.
	if (has_started && !instance.remaining_warmup && replicas_.is_loaded())
	{
		cold_replicas_.assume_cold(instance, routing::cold_reason::started, now);
	}
}

void gateway::on_replica_change(const routing::replica& instance, routing::replica_change change)
{
	if (change == routing::replica_change::remaining_warmup_changed)
	{
		cold_replicas_.apply_entry(instance, steady_now());
		return;
	}
	// The first read of the registry is not logged replica by replica.
	if (replicas_.is_loaded())
	{
		log_replica_change(instance, change);
	}
	if (change == routing::replica_change::gone)
	{
		cold_replicas_.forget(instance.id);
	}
	else
	{
		record_cold_state(instance, change, steady_now());
	}
	if (change == routing::replica_change::gone || change == routing::replica_change::restarted)
	{
		load_limits_.forget(instance.id);
		concurrency_limits_.forget(instance.id);
		backoffs_.forget(instance.id);
		logged_malformed_replicas_.erase(instance.id);
		pool_.close_idle_connections(instance.id);
		selector_.forget(instance.id);
		silences_.forget(instance.id);
		full_replicas_.forget(instance.id);
		paces_.forget(instance.id);
		exit_detector_.runs().remove_entry(instance.id, steady_now());
	}
	if (change == routing::replica_change::draining)
	{
		pool_.close_idle_connections(instance.id);
	}
	changed_services_.insert(instance.service);
	if (!is_changing_replicas_)
	{
		update_version_counts();
	}
}
} // namespace gingerdyke::proxy
