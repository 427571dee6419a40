// SPDX-License-Identifier: MIT
// Log lines about the state shared by all requests.
#include "gateway_log.hpp"

#include <algorithm>
#include <gingerdyke/log/log.hpp>

namespace gingerdyke::proxy
{
namespace
{
/// Maximum number of keys in one log line.
constexpr std::size_t max_logged_keys = 8;

/// \returns The first few keys of requests, or of parts.
json keys_to_log(const std::vector<quarantine::content_key>& keys, bool are_parts)
{
	json logged = json::array();
	for (const auto& key : keys)
	{
		if (quarantine::is_part(key) == are_parts && logged.size() < max_logged_keys)
		{
			logged.push_back(key.str());
		}
	}
	return logged;
}
} // namespace

void log_ejection(const replica_id& id, double rate, duration span)
{
	log::write(log::level::info, "replica ejected",
		{{"replica", id.str()}, {"failure_rate", rate}, {"for_ms", to_milliseconds(span)}});
}

void log_version_health(const rollout::health_change& change)
{
	log::write(change.is_failing ? log::level::warn : log::level::info,
		change.is_failing ? "version fails requests" : "version no longer fails requests",
		{{"service", change.service.str()}, {"version", change.version},
			{"responses", change.recent.responses}, {"failed", change.recent.failed}});
}

void log_silence(const routing::replica_silence& seen, bool is_avoided)
{
	log::write(log::level::info, is_avoided ? "silent replica avoided" : "silent replica in use again",
		{{"replica", seen.replica.str()}, {"silent_vms", seen.silent_vms},
			{"answered_vms", seen.answered_vms}});
}

void log_paces(const routing::pace_state& changed)
{
	log::write(log::level::info, changed.is_in_effect ? "engines differ in pace" : "engines have one pace",
		{{"service", changed.service.str()}, {"spread", changed.spread}});
}

void log_slots(const routing::slots_used& used, bool is_short)
{
	log::write(log::level::info, is_short ? "service short of slots" : "service has slots again",
		{{"service", used.service.str()}, {"slots_in_use", used.share}});
}

void log_room(const limits::room_change& change)
{
	json demand = json::array();
	for (const auto arrivals : change.total.arrivals_per_s)
	{
		demand.push_back(arrivals);
	}
	log::write(change.admitted_per_s ? log::level::warn : log::level::info,
		change.admitted_per_s ? "service short of room" : "service has room again",
		{{"service", change.service.str()}, {"admitted_per_s", change.admitted_per_s.value_or(0)},
			{"demand_per_s", std::move(demand)}, {"responses_per_s", change.total.responses_per_s},
			{"in_time_per_s", change.total.in_time_per_s},
			{"rejections_per_s", change.total.rejections_per_s},
			{"mean_response_ms", to_milliseconds(change.total.mean_response)}, {"vms", change.total.vms},
			{"age_ms", to_milliseconds(change.age)}});
}

void log_cold_replica(const routing::replica& instance, routing::cold_reason reason, duration left)
{
	log::write(log::level::info, "replica is cold",
		{{"replica", instance.id.str()}, {"service", instance.service.str()},
			{"failure_domain", instance.domain.str()}, {"why", routing::name_of(reason)},
			{"for_ms", to_milliseconds(left)}});
}

void log_load_limit(const routing::replica& instance, routing::limit_change change,
	const routing::limit_announcement& statement)
{
	log::write(log::level::info, "replica load limit",
		{{"replica", instance.id.str()}, {"service", instance.service.str()},
			{"change", routing::name_of(change)}, {"requests_per_s", statement.requests_per_s.value_or(0)},
			{"request", statement.request}});
}

void log_rejection_limit(const routing::replica& instance, std::optional<double> rejections_per_s)
{
	log::write(log::level::info, "replica is brittle",
		{{"replica", instance.id.str()}, {"service", instance.service.str()},
			{"in_force", rejections_per_s.has_value()}, {"rejections_per_s", rejections_per_s.value_or(0)}});
}

void log_backoff(const routing::replica& instance, const std::string& request, duration left)
{
	log::write(log::level::info, "replica asked for a back-off",
		{{"replica", instance.id.str()}, {"service", instance.service.str()},
			{"for_ms", to_milliseconds(left)}, {"request", request}});
}

void log_given_up(const given_up_response& response, const limits::memory_account& memory)
{
	log::write(log::level::warn, "response given up",
		{{"request", response.request}, {"from", response.sender.str()}, {"why", name_of(response.reason)},
			{"received_bytes", response.received_bytes}, {"kept_bytes", memory.used_bytes()},
			{"limit_bytes", memory.limit_bytes()}});
}

void log_unknown_name(statement_source source, const std::string& name, const std::string& sender)
{
	log::write(log::level::warn, "unknown statement",
		{{"where", name_of(source)}, {"name", name}, {"from", sender}});
}

void log_replica_exit(const replica_exit& exited, bool was_expected)
{
	const auto parts = static_cast<std::size_t>(
		std::count_if(exited.contents.begin(), exited.contents.end(), quarantine::is_part));
	log::write(log::level::warn, "replica process exited",
		{{"replica", exited.replica->id.str()}, {"service", exited.replica->service.str()},
			{"version", exited.replica->version}, {"expected", was_expected},
			{"requests", exited.contents.size() - parts}, {"contents", keys_to_log(exited.contents, false)},
			{"shared_parts", parts}, {"parts", keys_to_log(exited.contents, true)}});
}

void log_quarantine(const quarantine::suspicion& suspected, double weight)
{
	const bool is_part = quarantine::is_part(suspected.key);
	log::write(log::level::warn,
		is_part ? "prompt part quarantined after replica exits" : "request quarantined after replica exits",
		{{is_part ? "part" : "content", suspected.key.str()}, {"ended", suspected.ended.size()},
			{"weight", weight}, {"survived", suspected.survived.size()}});
}

void log_version_shift(const rollout::shift_event& event)
{
	const auto& plan = event.plan;
	json fields{{"service", plan.service.str()}, {"from", plan.from_version}, {"to", plan.to_version},
		{"state", rollout::name_of(plan.state)}, {"row_version", plan.row.value()}};
	fields["vms"] = event.summary.vms;
	fields["old_answers"] = event.summary.old_version.responses;
	fields["old_failed"] = event.summary.old_version.failed;
	fields["new_answers"] = event.summary.new_version.responses;
	fields["new_failed"] = event.summary.new_version.failed;
	const auto& verdict = event.summary.verdict;
	fields["ground"] = rollout::name_of(verdict.reason);
	fields["where"] = verdict.scope;
	fields["answers"] = verdict.responses;
	fields["bad"] = verdict.bad_responses;
	fields["tolerated"] = verdict.tolerated;
	fields["evidence"] = verdict.evidence;
	const auto& proof = event.summary.proof;
	fields["promoted"] = plan.promoted.has_value();
	fields["shown_good"] = proof.is_noninferior;
	fields["bad_answers"] = proof.bad_responses;
	fields["judged_answers"] = proof.judged.responses;
	fields["judged_failed"] = proof.judged.failed;
	fields["failure_limit"] = proof.tolerated;
	fields["failure_risk"] = proof.failure_risk;
	fields["doubtful_part"] = proof.has_doubtful_subset;
	fields["fast_evidence"] = proof.fast_evidence;
	fields["slow_risk"] = proof.slow_risk;
	if (!event.suspended)
	{
		log::write(log::level::info, "version shift", std::move(fields));
		return;
	}
	fields["told"] = event.follows_peer_verdict;
	log::write(log::level::warn, "version suspended", std::move(fields));
}

void log_version_change(const rollout::version_change& change)
{
	log::write(change.is_substitute ? log::level::warn : log::level::info, "version in use",
		{{"service", change.service.str()}, {"version", change.version},
			{"is_substitute", change.is_substitute}, {"replicas", change.replicas}});
}
} // namespace gingerdyke::proxy
