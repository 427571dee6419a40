// SPDX-License-Identifier: MIT
// Metrics of the state shared by all requests.
#include <gingerdyke/metrics/text_format.hpp>
#include <gingerdyke/proxy/gateway.hpp>

namespace gingerdyke::proxy
{
void gateway::write_room_metrics(std::ostream& out) const
{
	const auto rooms = admission_.rooms();
	metrics::write_header(out, "gingerdyke_service_room", "gauge",
		"Work per second that all VMs together send to a service that is short of room.");
	for (const auto& room : rooms)
	{
		if (room.admitted_per_s)
		{
			out << "gingerdyke_service_room{" << metrics::write_label("service", room.service.str()) << "} "
				<< *room.admitted_per_s << "\n";
		}
	}
	metrics::write_header(out, "gingerdyke_service_slots_used_ratio", "gauge",
		"Share of the slots of a service's replicas in use, as known when a request last asked for it.");
	for (const auto& used : rooms_.shares())
	{
		out << "gingerdyke_service_slots_used_ratio{" << metrics::write_label("service", used.service.str())
			<< "} " << used.share << "\n";
	}
	metrics::write_header(out, "gingerdyke_requests_shed_total", "counter",
		"Requests refused because their service was short of room.");
	for (const auto& room : rooms)
	{
		out << "gingerdyke_requests_shed_total{" << metrics::write_label("service", room.service.str())
			<< "} " << room.refused << "\n";
	}
}

void gateway::write_memory_metrics(std::ostream& out) const
{
	metrics::write_header(
		out, "gingerdyke_kept_bytes", "gauge", "Bytes kept for others, by what they are of.");
	for (std::size_t i = 0; i < limits::memory_use_count; ++i)
	{
		const auto use = static_cast<limits::memory_use>(i);
		out << "gingerdyke_kept_bytes{" << metrics::write_label("use", limits::name_of(use)) << "} "
			<< memory_->used_bytes(use) << "\n";
	}
	metrics::write_header(out, "gingerdyke_kept_bytes_limit", "gauge", "Limit on the sum of these bytes.");
	out << "gingerdyke_kept_bytes_limit " << memory_->limit_bytes() << "\n";
	metrics::write_header(out, "gingerdyke_memory_given_up_total", "counter",
		"Requests and responses dropped because of that limit.");
	for (std::size_t i = 0; i < limits::memory_use_count; ++i)
	{
		const auto use = static_cast<limits::memory_use>(i);
		out << "gingerdyke_memory_given_up_total{" << metrics::write_label("use", limits::name_of(use))
			<< "} " << memory_->given_up_count(use) << "\n";
	}
	metrics::write_header(out, "gingerdyke_responses_given_up_total", "counter",
		"Responses of replicas and other VMs dropped for their size or content.");
	for (const auto& [reason, count] : given_up_responses_)
	{
		out << "gingerdyke_responses_given_up_total{" << metrics::write_label("why", name_of(reason)) << "} "
			<< count << "\n";
	}
}

void gateway::write_pace_metrics(std::ostream& out) const
{
	const auto services = paces_.states();
	metrics::write_header(out, "gingerdyke_engine_pace_spread", "gauge",
		"Standard deviation of the paces of a service's engines, as a natural logarithm.");
	for (const auto& service : services)
	{
		out << "gingerdyke_engine_pace_spread{" << metrics::write_label("service", service.service.str())
			<< "} " << service.spread << "\n";
	}
	metrics::write_header(out, "gingerdyke_engine_pace_in_effect", "gauge",
		"Whether a service's engines are compared by their own pace.");
	for (const auto& service : services)
	{
		out << "gingerdyke_engine_pace_in_effect{" << metrics::write_label("service", service.service.str())
			<< "} " << (service.is_in_effect ? 1 : 0) << "\n";
	}
}

void gateway::write_version_metrics(std::ostream& out) const
{
	metrics::write_header(out, "gingerdyke_broken_attempts_total", "counter",
		"Attempts that ended without a whole response, by whether they count against their replica's "
		"version.");
	out << "gingerdyke_broken_attempts_total{" << metrics::write_label("counted", "yes") << "} "
		<< counted_broken_attempts_ << "\n";
	out << "gingerdyke_broken_attempts_total{" << metrics::write_label("counted", "no") << "} "
		<< excused_broken_attempts_ << "\n";
	const auto all = health_.totals();
	const auto labels = [](const rollout::version_totals& of)
	{
		return "{" + metrics::write_label("service", of.service.str()) + "," +
			   metrics::write_label("version", of.version) + "} ";
	};
	metrics::write_header(
		out, "gingerdyke_version_responses_total", "counter", "Responses of a version's replicas.");
	for (const auto& of : all)
	{
		out << "gingerdyke_version_responses_total" << labels(of) << of.responses.responses << "\n";
	}
	metrics::write_header(out, "gingerdyke_version_failures_total", "counter",
		"Responses of a version's replicas that failed or broke off.");
	for (const auto& of : all)
	{
		out << "gingerdyke_version_failures_total" << labels(of) << of.responses.failed << "\n";
	}
}

void gateway::write_metrics(std::ostream& out, instant now)
{
	constexpr double microseconds_per_second = 1e6;
	metrics::write_header(
		out, "gingerdyke_configuration_version", "gauge", "Configuration in force; 0: none yet.");
	out << "gingerdyke_configuration_version " << (catalog_ ? catalog_->version().value() : 0) << "\n";
	if (const auto age = catalog_age(now))
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
	out << "gingerdyke_replicas_limited " << load_limits_.size() << "\n";
	metrics::write_header(out, "gingerdyke_replicas_brittle", "gauge",
		"Replicas that say that they exit if they have to reject too many requests.");
	out << "gingerdyke_replicas_brittle " << concurrency_limits_.size() << "\n";
	metrics::write_header(
		out, "gingerdyke_replicas_resting", "gauge", "Replicas that want nothing from this VM for a time.");
	out << "gingerdyke_replicas_resting " << backoffs_.count(now) << "\n";
	metrics::write_header(out, "gingerdyke_replicas_silent", "gauge",
		"Replicas that this VM avoids because several VMs got no response from them.");
	out << "gingerdyke_replicas_silent " << silences_.avoided_count() << "\n";
	metrics::write_header(out, "gingerdyke_paths_lost", "gauge",
		"Services and failure domains whose replicas this VM has no path to.");
	out << "gingerdyke_paths_lost " << paths_.lost_count() << "\n";
	metrics::write_header(out, "gingerdyke_requests_forwarded_for_others", "gauge",
		"Requests in progress that this VM forwards to replicas for other VMs.");
	out << "gingerdyke_requests_forwarded_for_others " << forwarded_count_ << "\n";
	metrics::write_header(out, "gingerdyke_failure_domains_evacuated", "gauge",
		"Failure domains whose replicas get nothing by an operator's order.");
	out << "gingerdyke_failure_domains_evacuated " << evacuated_domains_.size() << "\n";
	metrics::write_header(out, "gingerdyke_replicas", "gauge", "Replicas known.");
	out << "gingerdyke_replicas " << replicas_.size() << "\n";
	metrics::write_header(out, "gingerdyke_replica_ends_total", "counter",
		"Replicas whose process ended while this VM had requests there, or before one was sent.");
	out << "gingerdyke_replica_ends_total " << replica_exits_ << "\n";
	metrics::write_header(out, "gingerdyke_replica_statements_unreadable_total", "counter",
		"Answers in which a replica says something of itself that can't be read.");
	out << "gingerdyke_replica_statements_unreadable_total " << malformed_statements_ << "\n";
	metrics::write_header(out, "gingerdyke_statements_unknown_total", "counter",
		"Statements of replicas, their entries and operators that are not known.");
	out << "gingerdyke_statements_unknown_total " << unknown_names_.count() << "\n";
	metrics::write_header(out, "gingerdyke_requests_suspected", "gauge",
		"Requests, and parts of prompts, under which replicas ended.");
	out << "gingerdyke_requests_suspected " << suspects_.size() << "\n";
	metrics::write_header(
		out, "gingerdyke_requests_held", "gauge", "Of these, requests that are sent to no replica any more.");
	out << "gingerdyke_requests_held " << suspects_.quarantined_count(now) << "\n";
	metrics::write_header(out, "gingerdyke_prompt_parts_held", "gauge",
		"Parts of prompts under which replicas ended; requests with them are sent to no replica any more.");
	out << "gingerdyke_prompt_parts_held " << suspects_.quarantined_part_count(now) << "\n";
	write_memory_metrics(out);
	write_room_metrics(out);
	write_pace_metrics(out);
	write_version_metrics(out);
	metrics::write_header(out, "gingerdyke_further_attempts_left", "gauge",
		"Attempts beyond the first that a service's budget allows now.");
	for (auto& [service, budget] : budgets_)
	{
		out << "gingerdyke_further_attempts_left{" << metrics::write_label("service", service.str()) << "} "
			<< budget.available(now) << "\n";
	}
}
} // namespace gingerdyke::proxy
