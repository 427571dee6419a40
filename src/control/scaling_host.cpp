// SPDX-License-Identifier: MIT
// Orders replicas while this VM holds that duty.
#include <algorithm>
#include <cmath>
#include <gingerdyke/control/row_json.hpp>
#include <gingerdyke/control/scaling_host.hpp>
#include <gingerdyke/log/log.hpp>

namespace gingerdyke::control
{
using scaling::capacity_kind;
using scaling::domain_capacity;
using scaling::replica_order;

std::string write_need(double needed)
{
	return json{{"needed", needed}}.dump();
}

checked<double> read_need(const row& from)
{
	return parse_row_value<double>(
		from, [](const json& value) -> checked<double> { return value.at("needed").get<double>(); });
}

scaling_host::scaling_host(proxy::gateway& gateway, row_store& registry, duty_receiver& receiver,
	lease_keeper& lease, vm_id vm, std::string table, scaling_host_tuning tuning)
	: gateway_(gateway), registry_(registry), receiver_(receiver), lease_(lease), vm_(std::move(vm)),
	  table_(std::move(table)), tuning_(tuning), timer_(gateway.context())
{
}

/// A predecessor's orders aren't known; each number is ordered once. What it found needed is read: replicas
/// may be missing at this moment because of the same fault that ended the predecessor.
void scaling_host::on_lease_taken()
{
	orders_.clear();
	services_.clear();
	knows_needs_ = false;
}

/// A read that fails is repeated with the next decision.
void scaling_host::read_needs()
{
	is_reading_needs_ = true;
	registry_.read_all(table_,
		[this](const store_result<row_batch>& result)
		{
			is_reading_needs_ = false;
			if (result)
			{
				on_needs(result->rows);
				return;
			}
			log::write(log::level::warn, "numbers of replicas not read", {{"why", name_of(result.error())}});
		});
}

void scaling_host::on_needs(const std::vector<row>& rows)
{
	knows_needs_ = true;
	for (const auto& table_row : rows)
	{
		if (!table_row.key.starts_with(need_key_prefix) || table_row.removed)
		{
			continue;
		}
		const auto needed = read_need(table_row);
		if (!needed)
		{
			log::write(
				log::level::error, "invalid number of replicas", {{"findings", to_text(needed.error())}});
			continue;
		}
		auto& state = services_[service_id{table_row.key.substr(need_key_prefix.size())}];
		state.needed = *needed;
		state.stored_need = *needed;
		state.reduced_at = proxy::steady_now();
	}
}

/// A write that fails is repeated with the next decision.
void scaling_host::store_needs()
{
	std::vector<row_change::put> rows;
	for (const auto& [service, state] : services_)
	{
		const auto needed = state.needed.value_or(state.stored_need);
		if (std::abs(needed - state.stored_need) > tuning_.min_stored_change * needed)
		{
			rows.push_back({table_, std::string{need_key_prefix} + service.str(), write_need(needed)});
		}
	}
	if (rows.empty())
	{
		return;
	}
	lease_.write_with(std::move(rows),
		[this, services = services_](bool committed)
		{
			for (const auto& [service, state] : services)
			{
				services_[service].stored_need =
					committed ? state.needed.value_or(0) : services_[service].stored_need;
			}
		});
}

void scaling_host::act()
{
	if (!is_scheduled_)
	{
		tick();
	}
}

void scaling_host::schedule()
{
	is_scheduled_ = true;
	timer_.expires_after(tuning_.interval);
	timer_.async_wait(
		[this](const proxy::error_code& error)
		{
			if (!error)
			{
				is_scheduled_ = false;
				tick();
			}
		});
}

void scaling_host::tick()
{
	if (!lease_.may_act())
	{
		return;
	}
	if (!knows_needs_)
	{
		if (!is_reading_needs_)
		{
			read_needs();
		}
		schedule();
		return;
	}
	const auto catalog = gateway_.catalog();
	const auto now = proxy::steady_now();
	if (catalog && gateway_.replicas().is_loaded())
	{
		for (const auto& service : catalog->services())
		{
			if (service.scaling)
			{
				decide(service, now);
			}
		}
		store_needs();
	}
	schedule();
}

std::vector<domain_capacity> scaling_host::capacity_of(const routing::service& service, instant now) const
{
	std::map<failure_domain_id, domain_capacity> by_domain;
	for (const auto& [domain, price] : service.scaling->domain_prices)
	{
		domain_capacity state{domain, 0, 0, false, gateway_.evacuated().contains(domain)};
		state.has_spot = orders_.is_available({service.id, domain, capacity_kind::spot});
		by_domain.emplace(domain, std::move(state));
	}
	for (const auto& replica : gateway_.replicas().of_service(service.id))
	{
		const auto found = by_domain.find(replica->domain);
		if (found != by_domain.end() && takes_requests(*replica, now))
		{
			++(replica->is_spot ? found->second.spot : found->second.on_demand);
		}
	}
	std::vector<domain_capacity> domains;
	domains.reserve(by_domain.size());
	for (auto& [domain, state] : by_domain)
	{
		domains.push_back(std::move(state));
	}
	return domains;
}

/// The replicas of a version on trial take requests only as far as the trial needs them.
bool scaling_host::takes_requests(const routing::replica& replica, instant now) const
{
	return gateway_.replicas().accepts_requests(replica) && gateway_.versions().is_in_use(replica, now);
}

scaling::service_load scaling_host::load_of(const routing::service& service, instant now)
{
	scaling::service_load load;
	double work = 0;
	for (const auto& replica : gateway_.replicas().of_service(service.id))
	{
		if (takes_requests(*replica, now))
		{
			++load.replicas;
			work += gateway_.selector().work_at(*replica, now);
		}
	}
	if (load.replicas > 0)
	{
		load.mean_wait = gateway_.first_token_times(service.id).expected(work / load.replicas, now);
	}
	for (const auto& route : gateway_.catalog()->routes())
	{
		const bool leads_here = std::any_of(route.services.begin(), route.services.end(),
			[&](const auto& split) { return split.service == service.id; });
		if (leads_here && (load.objective == duration{0} || route.latency_objective < load.objective))
		{
			load.objective = route.latency_objective;
		}
	}
	return load;
}

bool scaling_host::is_settled(
	service_state& state, const std::vector<domain_capacity>& domains, instant now) const
{
	unsigned running = 0;
	for (const auto& domain : domains)
	{
		running += domain.on_demand + domain.spot;
	}
	if (state.running != running)
	{
		state.running = running;
		state.unchanged_since = now;
	}
	return running > 0 && now - state.unchanged_since >= tuning_.settling_time;
}

/// Grows at once and shrinks in steps, not during a shift of versions. Before the load is known, the replicas
/// that run are taken as needed.
void scaling_host::update_need(service_state& state, std::size_t domains, bool is_shifting, instant now) const
{
	if (!state.needed)
	{
		// The share of them that is left when spot replicas in all failure domains replace them.
		const auto count = static_cast<double>(domains);
		state.needed = state.running * std::max(1.0, count - 1) / count;
		state.reduced_at = now;
	}
	state.needed = std::max(*state.needed, state.load.needed_now().value_or(0));
	const auto needed = state.load.needed(now);
	const bool may_reduce = !is_shifting && now - state.reduced_at >= tuning_.reduction_pause;
	if (needed && *needed < *state.needed && may_reduce)
	{
		state.needed = std::max(*needed, *state.needed * (1 - tuning_.max_reduction));
		state.reduced_at = now;
	}
}

void scaling_host::decide(const routing::service& service, instant now)
{
	auto& state = services_[service.id];
	const auto domains = capacity_of(service, now);
	state.load.record(load_of(service, now), now);
	if (!is_settled(state, domains, now) && !state.needed)
	{
		return;
	}
	update_need(state, domains.size(), gateway_.versions().is_shifting(), now);
	order_all(service, state, domains, now);
}

/// Where spot replicas were refused, as many are asked for again from time to time as if there were some; the
/// other numbers don't count on them.
void scaling_host::order_all(const routing::service& service, service_state& state,
	const std::vector<domain_capacity>& domains, instant now)
{
	auto with_spot = domains;
	for (auto& domain : with_spot)
	{
		domain.has_spot = true;
	}
	const auto boot_time = service.scaling->boot_time;
	const auto targets = plan_capacity(*state.needed, *service.scaling, domains);
	const auto with_spot_targets = plan_capacity(*state.needed, *service.scaling, with_spot);
	for (std::size_t index = 0; index < targets.size(); ++index)
	{
		const auto& target = targets[index];
		const auto spot = domains[index].has_spot ? target.spot : with_spot_targets[index].spot;
		const auto on_demand =
			state.on_demand[target.domain].record(target.on_demand, now, tuning_.on_demand_memory);
		order({{service.id, target.domain, capacity_kind::spot}, spot}, domains[index].spot, boot_time, now);
		order({{service.id, target.domain, capacity_kind::on_demand}, on_demand}, domains[index].on_demand,
			boot_time, now);
	}
}

void scaling_host::order(const replica_order& order, unsigned running, duration boot_time, instant now)
{
	const bool is_needless = order.replicas == 0 && running == 0 && !orders_.accepted(order.pool);
	if (is_needless || !orders_.is_due(order, running, boot_time, now) || !lease_.may_act())
	{
		return;
	}
	orders_.record_sent(order);
	lease_.record_call_started();
	receiver_.order_replicas(
		{vm_, lease_.token()}, order, [this, order](duty_outcome outcome) { on_ordered(order, outcome); });
}

void scaling_host::on_ordered(const replica_order& order, duty_outcome outcome)
{
	const auto now = proxy::steady_now();
	lease_.record_call_ended();
	const auto& state = services_[order.pool.service];
	log::write(log::level::info, "replicas ordered",
		{{"service", order.pool.service.str()}, {"failure_domain", order.pool.domain.str()},
			{"kind", scaling::name_of(order.pool.kind)}, {"replicas", order.replicas},
			{"needed", state.needed.value_or(0)}, {"needed_now", state.load.needed_now().value_or(0)},
			{"outcome", name_of(outcome)}});
	switch (outcome)
	{
	case duty_outcome::accepted:
		orders_.record_accepted(order, now);
		break;
	case duty_outcome::rejected:
		// There are none to be had. If a higher token was seen instead, the next renewal of the lease fails.
		orders_.record_exhausted(order, now);
		break;
	case duty_outcome::busy:
	case duty_outcome::unavailable:
		orders_.record_failed(order, now);
		break;
	case duty_outcome::unknown:
		orders_.record_unknown(order, now);
		break;
	}
}

void scaling_host::stop()
{
	timer_.cancel();
}
} // namespace gingerdyke::control
