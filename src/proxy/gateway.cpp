// SPDX-License-Identifier: MIT
// State shared by all requests of a VM.
#include "gateway_log.hpp"

#include <gingerdyke/base/crypto.hpp>
#include <gingerdyke/log/log.hpp>
#include <gingerdyke/proxy/exchange.hpp>
#include <gingerdyke/proxy/gateway.hpp>
#include <utility>

namespace gingerdyke::proxy
{
namespace
{
/// Log lines per second on responses that were dropped.
constexpr double given_up_lines_per_s = 20;

std::map<service_id, routing::cold_limit> cold_limits_of(const routing::catalog& catalog)
{
	std::map<service_id, routing::cold_limit> limits;
	for (const auto& service_settings : catalog.services())
	{
		if (service_settings.cold)
		{
			limits[service_settings.id] = *service_settings.cold;
		}
	}
	return limits;
}

rollout::shift_tuning shift_tuning_for(const fleet_bounds& bounds)
{
	rollout::shift_tuning tuning;
	tuning.exposure_limit = bounds.exposure_limit.value_or(tuning.exposure_limit);
	tuning.exposure_slack = bounds.exposure_slack;
	return tuning;
}
} // namespace

gateway::gateway(asio::io_context& context, header_names names, fleet_bounds bounds,
	failure_domain_id own_domain, random_source random, request_log& log, gateway_tuning tuning)
	: context_(context), names_(std::move(names)), bounds_(std::move(bounds)), log_(log), tuning_(tuning),
	  memory_(std::make_shared<limits::memory_account>(bounds_.memory)),
	  given_up_lines_(given_up_lines_per_s, given_up_lines_per_s, steady_now()),
	  replicas_([this](const routing::replica& instance, routing::replica_change change)
		  { on_replica_change(instance, change); }),
	  evacuated_domains_([this](const failure_domain_id& domain, bool is_evacuated)
		  { on_evacuation(domain, is_evacuated); }),
	  cold_replicas_(vms_, log_cold_replica), load_limits_(vms_, log_load_limit),
	  concurrency_limits_(vms_, log_rejection_limit), slots_(context), backoffs_(log_backoff),
	  selector_(replicas_, own_domain, random, log_ejection), pool_(context, names_.request_id, memory_),
	  peer_pool_(context, names_.request_id, memory_), peers_(std::move(own_domain), random),
	  paths_(replicas_, random, [this](const routing::path_change& change) { on_path_change(change); }),
	  path_prober_(context, paths_, tuning_.connect_timeout), silences_(vms_, log_silence),
	  rooms_(
		  replicas_, selector_,
		  [this](const routing::replica& of, instant now) { return has_usable_slots(of, now); }, log_slots,
		  random),
	  full_replicas_(selector_), suspects_(log_quarantine), exit_detector_(context, exit_detector_hooks()),
	  unknown_names_(log_unknown_name), admission_(bounds_.sheds_overload, random, log_room,
											[this](const service_id& service) { return slots_of(service); }),
	  versions_(std::move(random), log_version_shift, shift_tuning_for(bounds_), log_version_change),
	  paces_(log_paces), health_(log_version_health)
{
}

void gateway::record_given_up(const given_up_response& response, instant now)
{
	++given_up_responses_[response.reason];
	if (given_up_lines_.take(1, now))
	{
		log_given_up(response, *memory_);
	}
}

bool gateway::apply_catalog(routing::catalog_ptr next)
{
	if (catalog_ && next->version() <= catalog_->version())
	{
		return false;
	}
	catalog_ = std::move(next);
	cold_replicas_.set_limits(cold_limits_of(*catalog_));
	run_ready_hooks();
	return true;
}

/// Posted, because the caller of this function may still have to set the time at which the data was
/// confirmed.
void gateway::run_ready_hooks()
{
	if (!ready())
	{
		return;
	}
	for (auto& hook : std::exchange(ready_hooks_, {}))
	{
		asio::post(context_, std::move(hook));
	}
}

void gateway::confirm_catalog(instant sent_at)
{
	if (!catalog_confirmed_at_ || *catalog_confirmed_at_ < sent_at)
	{
		catalog_confirmed_at_ = sent_at;
	}
}

std::optional<duration> gateway::catalog_age(instant now) const
{
	return catalog_confirmed_at_ ? std::optional{now - *catalog_confirmed_at_} : std::nullopt;
}

bool gateway::knows_all_routes(instant now) const
{
	const auto age = catalog_age(now);
	return !bounds_.change_limit || (age && *age < *bounds_.change_limit);
}

void gateway::confirm_replicas(instant newest_at)
{
	replicas_confirmed_at_ = std::max(replicas_confirmed_at_.value_or(newest_at), newest_at);
}

std::optional<duration> gateway::replicas_age(instant now) const
{
	return replicas_confirmed_at_ ? std::optional{now - *replicas_confirmed_at_} : std::nullopt;
}

key_trust gateway::trust_in_keys(instant now) const
{
	if (!bounds_.revocation_time)
	{
		return key_trust::trusted;
	}
	const auto age = catalog_age(now);
	return age && *age < *bounds_.revocation_time ? key_trust::trusted : key_trust::stale;
}

bool gateway::accepts_request(const routing::route& on, instant deadline, instant now) const
{
	if (!shutdown_)
	{
		return true;
	}
	const bool ends_in_time = deadline + tuning_.final_response_time <= shutdown_->ends_at;
	const bool is_early = now - shutdown_->started_at < tuning_.acceptance_while_stopping;
	return ends_in_time || (is_early && on.is_retryable());
}

unavailability gateway::why_unavailable(const service_id& service, instant now) const
{
	std::optional<unavailability> first;
	const auto consider = [&](const char* reason, std::optional<duration> wait)
	{
		if (wait && (!first || *wait < first->retry_after))
		{
			first = unavailability{reason, *wait};
		}
	};
	consider("replicas are cold", cold_replicas_.time_until_warm(service, now));
	consider("replicas limit their load", load_limits_.time_until_allowed(service, now));
	consider("replicas want rest", backoffs_.time_until_resumed(service, now));
	if (first)
	{
		first->retry_after = std::max(first->retry_after, tuning_.retry_after);
		return *first;
	}
	const auto& all = replicas_.of_service(service);
	const bool is_evacuated = std::any_of(all.begin(), all.end(),
		[this](const auto& instance) { return evacuated_domains_.contains(instance->domain); });
	const bool all_draining = !all.empty() && std::all_of(all.begin(), all.end(),
												  [](const auto& instance) { return instance->is_draining; });
	const auto* reason = is_evacuated   ? "failure domains are evacuated"
						 : all_draining ? "all replicas leave"
										: "no replica";
	return {reason, tuning_.retry_after};
}

bool gateway::may_send(const routing::replica& to, instant now) const
{
	return !evacuated_domains_.contains(to.domain) && cold_replicas_.allows_request(to, now) &&
		   load_limits_.allows_request(to, now) && backoffs_.allows_request(to, now) &&
		   concurrency_limits_.allows_request(to, selector_.requests_in_progress(to), now);
}

bool gateway::has_usable_slots(const routing::replica& of, instant now) const
{
	return !evacuated_domains_.contains(of.domain) && paths_.carries_requests(of) &&
		   !silences_.is_avoided(of, now);
}

limits::service_slots gateway::slots_of(const service_id& id)
{
	constexpr double mostly_free_below = 0.5;
	const auto* service = catalog_ ? catalog_->find_service(id) : nullptr;
	if (service == nullptr)
	{
		return {};
	}
	if (!service->is_engine)
	{
		return {usable_slots(id), false};
	}
	// At an engine a slot is taken for longer than until the response begins.
	const auto used = rooms_.slots_in_use(id, steady_now());
	return {0, used > 0 && used < mostly_free_below};
}

/// Slots of a service's replicas; 0 if one of them names none.
double gateway::usable_slots(const service_id& id) const
{
	const auto now = steady_now();
	double slots = 0;
	for (const auto& candidate : replicas_.of_service(id))
	{
		if (candidate->is_draining || !has_usable_slots(*candidate, now))
		{
			continue;
		}
		if (candidate->slots == 0)
		{
			return 0;
		}
		slots += candidate->slots;
	}
	return slots;
}

void gateway::record_sent(const routing::replica& to, instant now)
{
	cold_replicas_.record_sent(to, now);
	load_limits_.record_sent(to, now);
	backoffs_.record_sent(to, now);
}

std::shared_ptr<active_request> gateway::handle(request incoming, std::shared_ptr<response_sink> output)
{
	const auto new_exchange = std::make_shared<exchange>(*this, std::move(incoming), std::move(output));
	new_exchange->start();
	return new_exchange;
}

std::shared_ptr<active_request> gateway::handle_forwarded(
	request incoming, std::shared_ptr<response_sink> output)
{
	const auto* value = incoming.find(forwarding_header);
	auto terms = value == nullptr ? std::nullopt : read_terms(*value);
	if (!terms)
	{
		constexpr int bad_request = 400;
		log::write(log::level::warn, "malformed forwarding terms",
			{{"value", value == nullptr ? std::string{} : value->substr(0, max_logged_text)}});
		output->send({bad_request, {}, {{"Content-Type", "text/plain"}}, "malformed forwarding terms\n"});
		return nullptr;
	}
	std::erase_if(incoming.fields,
		[](const header_field& field) { return equals_ignore_case(field.name, forwarding_header); });
	const auto new_exchange =
		std::make_shared<exchange>(*this, std::move(incoming), std::move(output), std::move(terms));
	new_exchange->start();
	return new_exchange;
}

void gateway::record_unavailable_peer(
	const vm_id& peer, const service_id& service, const std::string& request, const std::string& reason)
{
	peers_.record_unavailable(peer, service, steady_now());
	log::write(log::level::info, "forwarding VM unavailable",
		{{"vm", peer.str()}, {"service", service.str()}, {"request", request},
			{"reason", reason.substr(0, max_logged_text)}});
}

void gateway::record_unreachable_peer(const vm_id& peer, const std::string& request, const char* reason)
{
	peers_.record_unreachable(peer, steady_now());
	log::write(log::level::info, "forwarding VM unreachable",
		{{"vm", peer.str()}, {"request", request}, {"reason", reason}});
}

void gateway::record_path_failure(const routing::replica& to, routing::path_failure failure, instant now)
{
	paths_.record_failure(to, failure, now);
	if (failure != routing::path_failure::refused && paths_.accepts_connections(to))
	{
		silences_.record_silent(to, now);
	}
	const auto next_probe = paths_.next_probe_at();
	if (next_probe && *next_probe <= now)
	{
		path_prober_.schedule();
	}
}

void gateway::on_path_change(const routing::path_change& change)
{
	log::write(change.is_lost ? log::level::warn : log::level::info,
		change.is_lost ? "path lost" : "path regained",
		{{"service", change.group.service.str()}, {"failure_domain", change.group.domain.str()},
			{"evidence", change.is_lost ? routing::name_of(change.failure) : ""},
			{"replicas", change.failed_replicas}, {"lost_for_ms", to_milliseconds(change.lost_for)},
			{"lost", paths_.lost_count()}});
	if (change.is_lost)
	{
		retract_silences(change.group);
	}
	path_prober_.schedule();
}

/// What hung before a path was found lost would otherwise be reported as silence once the path is back.
void gateway::retract_silences(const routing::path_group& group)
{
	for (const auto& member : replicas().of_service(group.service))
	{
		if (member->domain == group.domain)
		{
			silences_.retract(*member, steady_now());
		}
	}
}

void gateway::set_vm_count(std::size_t count)
{
	vm_count_ = std::max<unsigned>(1, static_cast<unsigned>(count));
	admission_.set_vm_count(vm_count_);
	rooms_.set_vm_count(vm_count_);
	for (auto& [service, budget] : budgets_)
	{
		budget.set_slack(limits::slack_share(bounds_.attempts.slack, vm_count_));
	}
}

limits::attempt_budget& gateway::budget(const service_id& service)
{
	auto tuning = bounds_.attempts;
	tuning.slack = limits::slack_share(bounds_.attempts.slack, vm_count_);
	return budgets_.try_emplace(service, tuning).first->second;
}

std::optional<rollout::counted_response> gateway::record_response(
	const routing::replica& from, const rollout::response_sample& sample)
{
	const auto now = steady_now();
	if (rollout::has_outcome(sample))
	{
		health_.record_response(from.service, from.version, sample.failed, now);
	}
	auto counted = versions_.record_response(from.service, from.version, sample, now);
	report_evidence(from.service);
	return counted;
}

void gateway::report_evidence(const service_id& service)
{
	if (evidence_hook_ && versions_.has_evidence(service))
	{
		evidence_hook_();
	}
}

void gateway::record_broken_attempt(const routing::replica_ptr& from, const broken_attempt& ended)
{
	exit_detector_.when_state_known(from,
		[this, from, ended](process_state state)
		{
			if (state == process_state::running && replicas_.accepts_requests(*from))
			{
				count_broken_attempt(*from, ended);
				return;
			}
			++excused_broken_attempts_;
		});
}

void gateway::count_broken_attempt(const routing::replica& from, const broken_attempt& ended)
{
	const auto now = steady_now();
	++counted_broken_attempts_;
	if (!ended.has_begun)
	{
		static_cast<void>(record_response(from, ended.sample));
		return;
	}
	health_.record_broken_response(from.service, from.version, now);
	if (ended.counted)
	{
		versions_.record_broken_response(*ended.counted, now);
		report_evidence(from.service);
	}
}

void gateway::record_draining(const routing::replica& from, const std::string& request)
{
	if (replicas_.mark_draining(from, steady_now()))
	{
		log::write(log::level::info, "replica announced draining",
			{{"replica", from.id.str()}, {"service", from.service.str()}, {"request", request}});
	}
}

void gateway::record_malformed_statement(const routing::replica& from, const std::string& value)
{
	++malformed_statements_;
	if (logged_malformed_replicas_.insert(from.id).second)
	{
		log::write(log::level::warn, "malformed replica statement",
			{{"replica", from.id.str()}, {"service", from.service.str()},
				{"value", value.substr(0, max_logged_text)}});
	}
}

replica_exit_detector::hooks gateway::exit_detector_hooks()
{
	replica_exit_detector::hooks hooks;
	hooks.presumed = [this](const replica_exit& exited)
	{ suspects_.presume(exited.process, exited.contents, steady_now()); };
	hooks.resolved = [this](const replica_exit& exited, bool has_exited, const auto& correlated)
	{ on_replica_exit(exited, has_exited, correlated); };
	return hooks;
}

void gateway::on_replica_exit(
	const replica_exit& exited, bool has_exited, const std::vector<quarantine::process_instance>& correlated)
{
	if (!has_exited)
	{
		suspects_.retract(exited.process);
		return;
	}
	const auto now = steady_now();
	++replica_exits_;
	// A replica that is draining, or whose entry was removed, exits whatever runs on it. A new entry under
	// its id, for the next process, does not show that the previous one was draining.
	const auto entry = replicas_.find(exited.replica->id);
	const bool was_expected = !entry || !replicas_.accepts_requests(*entry);
	log_replica_exit(exited, was_expected);
	was_expected ? suspects_.retract(exited.process) : suspects_.confirm(exited.process, correlated, now);
	cold_replicas_.assume_cold(*exited.replica, routing::cold_reason::unreachable, now);
	// Prevents other requests from being sent to a process that would refuse their connections.
	selector_.record_result(*exited.replica, routing::replica_result::not_connected, duration{0}, now);
	if (suspicion_hook_ && !exited.contents.empty())
	{
		suspicion_hook_();
	}
}

bool gateway::start_canary(const quarantine::content_key& combination, instant now)
{
	const bool is_first_vm = vms_.rank(stable_hash(combination.str())) == 0;
	if (!is_first_vm || !vms_.is_known_to_others(now) || !canaries_.start(combination, now))
	{
		return false;
	}
	log::write(log::level::info, "canary of a combination of parts", {{"combination", combination.str()}});
	return true;
}

bool gateway::runs_another_suspect(
	const routing::replica& target, const quarantine::content_keys& excluded, instant now) const
{
	const auto running = exit_detector_.runs().running_at(target, now);
	return std::any_of(running.begin(), running.end(),
		[&](const auto& key) { return !excluded.contains(key) && suspects_.is_near_quarantine(key, now); });
}
} // namespace gingerdyke::proxy
