// SPDX-License-Identifier: MIT
// What all requests of a VM share.
#include <gingerdyke/log/log.hpp>
#include <gingerdyke/metrics/text_format.hpp>
#include <gingerdyke/proxy/exchange.hpp>
#include <gingerdyke/proxy/gateway.hpp>

namespace gingerdyke::proxy
{
namespace
{
void log_ejection(const replica_id& id, double rate, duration span)
{
	log::write(log::level::info, "replica ejected",
		{{"replica", id.str()}, {"failure_rate", rate}, {"for_ms", to_milliseconds(span)}});
}
void log_replica(const routing::replica& one, routing::replica_change change)
{
	log::write(log::level::info, "replica",
		{{"replica", one.id.str()}, {"service", one.service.str()}, {"address", one.at.str()},
			{"version", one.version}, {"change", routing::name_of(change)}});
}

void log_cold(const routing::replica& one, routing::cold_reason reason, duration left)
{
	log::write(log::level::info, "replica is cold",
		{{"replica", one.id.str()}, {"service", one.service.str()}, {"failure_domain", one.domain.str()},
			{"why", routing::name_of(reason)}, {"for_ms", to_milliseconds(left)}});
}

void log_limit(
	const routing::replica& one, routing::limit_change change, const routing::limit_statement& said)
{
	log::write(log::level::info, "replica limits its load",
		{{"replica", one.id.str()}, {"service", one.service.str()}, {"change", routing::name_of(change)},
			{"requests_per_s", said.requests_per_s.value_or(0)}, {"request", said.request}});
}

void log_rest(const routing::replica& one, const std::string& request, duration left)
{
	log::write(log::level::info, "replica wants rest",
		{{"replica", one.id.str()}, {"service", one.service.str()}, {"for_ms", to_milliseconds(left)},
			{"request", request}});
}

std::map<service_id, routing::cold_limit> cold_limits_of(const routing::catalog& catalog)
{
	std::map<service_id, routing::cold_limit> limits;
	for (const auto& one : catalog.services())
	{
		if (one.cold)
		{
			limits[one.id] = *one.cold;
		}
	}
	return limits;
}

void log_unknown(statement_source source, const std::string& name, const std::string& who)
{
	log::write(
		log::level::warn, "statement not known", {{"where", name_of(source)}, {"name", name}, {"from", who}});
}

rollout::shift_tuning shift_tuning_for(const fleet_bounds& bounds)
{
	rollout::shift_tuning tuning;
	tuning.exposure_limit = bounds.exposure_limit.value_or(tuning.exposure_limit);
	return tuning;
}

/// Keys that one line names, at most.
constexpr std::size_t most_keys_in_line = 8;

void log_replica_end(const replica_end& end, bool was_expected)
{
	json keys = json::array();
	for (const auto& key : end.requests)
	{
		if (keys.size() < most_keys_in_line)
		{
			keys.push_back(key.str());
		}
	}
	log::write(log::level::warn, "replica ended",
		{{"replica", end.replica->id.str()}, {"service", end.replica->service.str()},
			{"version", end.replica->version}, {"expected", was_expected}, {"requests", end.requests.size()},
			{"contents", std::move(keys)}});
}

void log_hold(const quarantine::suspicion& what, double weight)
{
	log::write(log::level::warn, "request held back",
		{{"content", what.key.str()}, {"ended", what.ended.size()}, {"weight", weight},
			{"survived", what.survived.size()}});
}

void log_shift(const rollout::shift_news& news)
{
	const auto& plan = news.plan;
	json fields{{"service", plan.service.str()}, {"from", plan.from_version}, {"to", plan.to_version},
		{"state", rollout::name_of(plan.state)}, {"row_version", plan.row.value()}};
	fields["vms"] = news.known.vms;
	fields["old_answers"] = news.known.old_version.answers;
	fields["old_failed"] = news.known.old_version.failed;
	fields["new_answers"] = news.known.new_version.answers;
	fields["new_failed"] = news.known.new_version.failed;
	const auto& verdict = news.known.verdict;
	fields["ground"] = rollout::name_of(verdict.ground);
	fields["where"] = verdict.where;
	fields["answers"] = verdict.answers;
	fields["bad"] = verdict.bad;
	fields["tolerated"] = verdict.tolerated;
	fields["evidence"] = verdict.evidence;
	const auto& proof = news.known.proof;
	fields["promoted"] = plan.promoted.has_value();
	fields["shown_good"] = proof.is_shown;
	fields["bad_answers"] = proof.bad;
	fields["judged_answers"] = proof.judged.answers;
	fields["judged_failed"] = proof.judged.failed;
	fields["failure_limit"] = proof.tolerated;
	fields["failure_risk"] = proof.failure_risk;
	fields["doubtful_part"] = proof.has_doubtful_part;
	fields["fast_evidence"] = proof.fast_evidence;
	fields["slow_risk"] = proof.slow_risk;
	if (!news.suspended)
	{
		log::write(log::level::info, "version shift", std::move(fields));
		return;
	}
	fields["told"] = news.told;
	log::write(log::level::warn, "version suspended", std::move(fields));
}
} // namespace

gateway::gateway(asio::io_context& context, header_names names, fleet_bounds bounds,
	failure_domain_id own_domain, random_source random, request_log& log, gateway_tuning tuning)
	: context_(context), names_(std::move(names)), bounds_(bounds), log_(log), tuning_(tuning),
	  replicas_([this](const routing::replica& one, routing::replica_change change)
		  { on_replica_change(one, change); }),
	  evacuated_([this](const failure_domain_id& domain, bool is_evacuated)
		  { on_evacuation(domain, is_evacuated); }),
	  cold_replicas_(vms_, log_cold), announced_(vms_, log_limit), resting_(log_rest),
	  selector_(replicas_, std::move(own_domain), random, log_ejection), pool_(context, names_.request_id),
	  suspects_(log_hold), ends_(context, end_hooks()), unknown_(log_unknown),
	  versions_(std::move(random), log_shift, shift_tuning_for(bounds_))
{
}

bool gateway::take(routing::catalog_ptr next)
{
	if (catalog_ && next->version() <= catalog_->version())
	{
		return false;
	}
	catalog_ = std::move(next);
	cold_replicas_.set_limits(cold_limits_of(*catalog_));
	tell_ready();
	return true;
}

void gateway::take_replicas(std::vector<routing::replica> entries, instant now)
{
	replicas_.replace_all(std::move(entries), now);
	tell_ready();
}

/// Posted: who brought the last news may still have to say how fresh it is.
void gateway::tell_ready()
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

void gateway::confirm(instant sent_at)
{
	if (!confirmed_at_ || *confirmed_at_ < sent_at)
	{
		confirmed_at_ = sent_at;
	}
}

std::optional<duration> gateway::confirmed_age(instant now) const
{
	return confirmed_at_ ? std::optional{now - *confirmed_at_} : std::nullopt;
}

bool gateway::knows_all_routes(instant now) const
{
	const auto age = confirmed_age(now);
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
	const auto age = confirmed_age(now);
	return age && *age < *bounds_.revocation_time ? key_trust::trusted : key_trust::stale;
}

bool gateway::takes_requests(bool is_stream, instant now) const
{
	const auto last = is_stream ? tuning_.streams_while_stopping : tuning_.requests_while_stopping;
	return !stop_began_ || now - *stop_began_ < last;
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
	consider("replicas limit their load", announced_.time_until_share(service, now));
	consider("replicas want rest", resting_.time_until_back(service, now));
	if (first)
	{
		first->retry_after = std::max(first->retry_after, tuning_.retry_after);
		return *first;
	}
	const auto& all = replicas_.of(service);
	const bool is_evacuated = std::any_of(
		all.begin(), all.end(), [this](const auto& one) { return evacuated_.contains(one->domain); });
	const bool all_leave =
		!all.empty() && std::all_of(all.begin(), all.end(), [](const auto& one) { return one->leaving; });
	const auto* reason = is_evacuated ? "failure domains are evacuated"
						 : all_leave  ? "all replicas leave"
									  : "no replica";
	return {reason, tuning_.retry_after};
}

bool gateway::may_send(const routing::replica& to, instant now) const
{
	return !evacuated_.contains(to.domain) && cold_replicas_.takes(to, now) && announced_.takes(to, now) &&
		   resting_.takes(to, now);
}

void gateway::note_sent(const routing::replica& to, instant now)
{
	cold_replicas_.note_sent(to, now);
	announced_.note_sent(to, now);
	resting_.note_sent(to, now);
}

std::shared_ptr<active_request> gateway::handle(request what, std::shared_ptr<answer_sink> to)
{
	const auto made = std::make_shared<exchange>(*this, std::move(what), std::move(to));
	made->start();
	return made;
}

limits::attempt_budget& gateway::budget(const service_id& service)
{
	return budgets_.try_emplace(service, bounds_.attempts).first->second;
}

void gateway::write_metrics(std::ostream& out, instant now)
{
	constexpr double microseconds_per_second = 1e6;
	metrics::write_header(
		out, "gingerdyke_configuration_version", "gauge", "Configuration in force; 0: none yet.");
	out << "gingerdyke_configuration_version " << (catalog_ ? catalog_->version().value() : 0) << "\n";
	if (const auto age = confirmed_age(now))
	{
		metrics::write_header(out, "gingerdyke_configuration_age_seconds", "gauge",
			"Time since the configuration was last known to be the newest.");
		out << "gingerdyke_configuration_age_seconds "
			<< static_cast<double>(age->count()) / microseconds_per_second << "\n";
	}
	if (const auto age = replicas_age(now))
	{
		metrics::write_header(out, "gingerdyke_replicas_age_seconds", "gauge",
			"Time since the table of replicas was last known to be the newest.");
		out << "gingerdyke_replicas_age_seconds "
			<< static_cast<double>(age->count()) / microseconds_per_second << "\n";
	}
	metrics::write_header(out, "gingerdyke_replicas_suspected", "gauge",
		"Replicas whose entries are missing and that are not taken as gone yet.");
	out << "gingerdyke_replicas_suspected " << replicas_.suspected_count() << "\n";
	metrics::write_header(out, "gingerdyke_replicas_cold", "gauge", "Replicas that count as cold.");
	out << "gingerdyke_replicas_cold " << cold_replicas_.cold_count(now) << "\n";
	metrics::write_header(out, "gingerdyke_replicas_limited", "gauge",
		"Replicas that name a limit of their load in their answers.");
	out << "gingerdyke_replicas_limited " << announced_.size() << "\n";
	metrics::write_header(
		out, "gingerdyke_replicas_resting", "gauge", "Replicas that want nothing from this VM for a time.");
	out << "gingerdyke_replicas_resting " << resting_.count(now) << "\n";
	metrics::write_header(out, "gingerdyke_failure_domains_evacuated", "gauge",
		"Failure domains whose replicas get nothing by an operator's order.");
	out << "gingerdyke_failure_domains_evacuated " << evacuated_.size() << "\n";
	metrics::write_header(out, "gingerdyke_replicas", "gauge", "Replicas known.");
	out << "gingerdyke_replicas " << replicas_.size() << "\n";
	metrics::write_header(out, "gingerdyke_replica_ends_total", "counter",
		"Replicas whose process ended while this VM had requests there, or before one was sent.");
	out << "gingerdyke_replica_ends_total " << replica_ends_ << "\n";
	metrics::write_header(out, "gingerdyke_replica_statements_unreadable_total", "counter",
		"Answers in which a replica says something of itself that can't be read.");
	out << "gingerdyke_replica_statements_unreadable_total " << unreadable_statements_ << "\n";
	metrics::write_header(out, "gingerdyke_statements_unknown_total", "counter",
		"Statements of replicas, their entries and operators that are not known.");
	out << "gingerdyke_statements_unknown_total " << unknown_.count() << "\n";
	metrics::write_header(
		out, "gingerdyke_requests_suspected", "gauge", "Requests under which replicas ended.");
	out << "gingerdyke_requests_suspected " << suspects_.size() << "\n";
	metrics::write_header(
		out, "gingerdyke_requests_held", "gauge", "Of these, requests that are sent to no replica any more.");
	out << "gingerdyke_requests_held " << suspects_.held_count(now) << "\n";
	metrics::write_header(out, "gingerdyke_further_attempts_left", "gauge",
		"Attempts beyond the first that a service's budget allows now.");
	for (auto& [service, budget] : budgets_)
	{
		out << "gingerdyke_further_attempts_left{" << metrics::write_label("service", service.str()) << "} "
			<< budget.left(now) << "\n";
	}
}

void gateway::note_answer(const routing::replica& from, const rollout::answer_sample& answer)
{
	versions_.note_answer(from.service, from.version, answer, steady_now());
	if (evidence_hook_ && versions_.has_evidence(from.service))
	{
		evidence_hook_();
	}
}

void gateway::note_leaving(const routing::replica& from, const std::string& request)
{
	if (replicas_.note_leaving(from, steady_now()))
	{
		log::write(log::level::info, "replica says that it leaves",
			{{"replica", from.id.str()}, {"service", from.service.str()}, {"request", request}});
	}
}

void gateway::note_unreadable(const routing::replica& from, const std::string& value)
{
	constexpr std::size_t longest = 60;
	++unreadable_statements_;
	if (unreadable_replicas_.insert(from.id).second)
	{
		log::write(log::level::warn, "replica's statement not understood",
			{{"replica", from.id.str()}, {"service", from.service.str()},
				{"value", value.substr(0, longest)}});
	}
}

replica_end_watch::hooks gateway::end_hooks()
{
	replica_end_watch::hooks hooks;
	hooks.presumed = [this](const replica_end& end)
	{ suspects_.presume(end.life, end.requests, steady_now()); };
	hooks.settled = [this](const replica_end& end, bool has_ended, const auto& together)
	{ on_replica_end(end, has_ended, together); };
	return hooks;
}

void gateway::on_replica_end(
	const replica_end& end, bool has_ended, const std::vector<quarantine::process_life>& together)
{
	if (!has_ended)
	{
		suspects_.retract(end.life);
		return;
	}
	const auto now = steady_now();
	++replica_ends_;
	// One that said that it leaves, or whose entry went, ends whatever runs there. The entry of the next
	// process under its id tells of no leave.
	const auto entry = replicas_.find(end.replica->id);
	const bool was_expected = !entry || !replicas_.takes_work(*entry);
	log_replica_end(end, was_expected);
	was_expected ? suspects_.retract(end.life) : suspects_.confirm(end.life, together, now);
	cold_replicas_.note_unknown(*end.replica, routing::cold_reason::unreachable, now);
	// Nobody else has to find out by a connection that is refused.
	selector_.note_result(*end.replica, routing::replica_result::not_connected, duration{0}, now);
	if (suspicion_hook_ && !end.requests.empty())
	{
		suspicion_hook_();
	}
}

bool gateway::runs_other_suspect(
	const routing::replica& at, const quarantine::request_key& than, instant now) const
{
	const auto running = ends_.runs().running_at(at, now);
	return std::any_of(running.begin(), running.end(),
		[&](const auto& key) { return key != than && suspects_.is_nearly_held(key, now); });
}

/// What was kept for replicas while they got nothing may be lost, whatever their entries said meanwhile.
void gateway::on_evacuation(const failure_domain_id& domain, bool is_evacuated)
{
	log::write(log::level::info, "evacuation",
		{{"failure_domain", domain.str()}, {"in_force", is_evacuated}, {"evacuated", evacuated_.size()}});
	if (is_evacuated)
	{
		return;
	}
	const auto now = steady_now();
	for (const auto& one : replicas_.all())
	{
		if (one->domain == domain)
		{
			cold_replicas_.note_unknown(*one, routing::cold_reason::evacuated, now);
		}
	}
}

void gateway::note_cold(const routing::replica& one, routing::replica_change change, instant now)
{
	const bool has_started =
		change == routing::replica_change::restarted || change == routing::replica_change::added;
	cold_replicas_.note_told(one, now);
	// Of replicas that were there before this VM nothing is known to have started.
	if (has_started && !one.cold_left && replicas_.known())
	{
		cold_replicas_.note_unknown(one, routing::cold_reason::started, now);
	}
}

void gateway::on_replica_change(const routing::replica& one, routing::replica_change change)
{
	if (change == routing::replica_change::cold_time)
	{
		cold_replicas_.note_told(one, steady_now());
		return;
	}
	// The first reading of the registry is told as a whole.
	if (replicas_.known())
	{
		log_replica(one, change);
	}
	if (change == routing::replica_change::gone)
	{
		cold_replicas_.forget(one.id);
	}
	else
	{
		note_cold(one, change, steady_now());
	}
	if (change == routing::replica_change::gone || change == routing::replica_change::restarted)
	{
		announced_.forget(one.id);
		resting_.forget(one.id);
		unreadable_replicas_.erase(one.id);
		pool_.drop(one.id);
		selector_.forget(one.id);
		ends_.runs().release(one.id, steady_now());
	}
	if (change == routing::replica_change::leaving)
	{
		pool_.drop(one.id);
	}
	versions_.note_replicas(one.service, replicas_.of(one.service));
}
} // namespace gingerdyke::proxy
