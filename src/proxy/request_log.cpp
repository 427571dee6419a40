// SPDX-License-Identifier: MIT
// Logs how requests ended, within a rate limit.
#include <gingerdyke/log/log.hpp>
#include <gingerdyke/metrics/text_format.hpp>
#include <gingerdyke/proxy/request_log.hpp>
#include <sstream>

namespace gingerdyke::proxy
{
const char* name_of(request_outcome outcome) noexcept
{
	switch (outcome)
	{
	case request_outcome::served:
		return "served";
	case request_outcome::failed_by_replica:
		return "failed_by_replica";
	case request_outcome::refused:
		return "refused";
	case request_outcome::failed:
		return "failed";
	case request_outcome::broken_off:
		return "broken_off";
	case request_outcome::abandoned:
		return "abandoned";
	}
	return "unknown";
}

request_log::request_log(instant now, request_log_tuning tuning)
	: tuning_(tuning), line_budget_(tuning.rate, tuning.burst, now)
{
}

void request_log::record_request(const request_record& record, instant now)
{
	held_used_ += record.is_held_used ? 1 : 0;
	// The VM that accepted a request from its caller counts it.
	if (record.forwarded_by.empty())
	{
		metrics_.record_request(record);
	}
	if (record.outcome == request_outcome::served && ++served_ % tuning_.served_sample != 0)
	{
		return;
	}
	if (!line_budget_.take(1, now))
	{
		++dropped_lines_;
		return;
	}
	const auto choice = record.escalation.value_or(escalation_choice{});
	json parts = json::array();
	if (record.outcome != request_outcome::served)
	{
		parts = record.parts;
	}
	log::write(log::level::info, "request",
		{{"request", record.id}, {"content", record.content_key}, {"parts", std::move(parts)},
			{"route", record.route}, {"workspace", record.workspace}, {"priority", record.priority},
			{"replica", record.replica}, {"version", record.version}, {"forwarded_to", record.forwarded_to},
			{"forwarded_by", record.forwarded_by}, {"model", record.model},
			{"outcome", name_of(record.outcome)}, {"status", record.status}, {"reason", record.reason},
			{"replaced_status", record.replaced_status}, {"attempts", record.attempts},
			{"connections_failed", record.failed_connections},
			{"connections_refused", record.refused_connections}, {"took_ms", to_milliseconds(record.elapsed)},
			{"first_byte_ms", to_milliseconds(record.first_byte)}, {"confidence", choice.confidence},
			{"escalate_below", choice.threshold}, {"larger_expected_ms", to_milliseconds(choice.expected)},
			{"slots_in_use", choice.slots_in_use}, {"held_used", record.is_held_used},
			{"config", record.config_version}, {"config_age_ms", to_milliseconds(record.config_age)},
			{"replicas_age_ms", to_milliseconds(record.replicas_age)},
			{"replica_suspected", record.replica_is_suspected}, {"lines_left_out", dropped_lines_}});
}

std::string request_log::prometheus_text() const
{
	std::ostringstream out;
	metrics_.write(out);
	metrics::write_header(out, "gingerdyke_held_responses_used_total", "counter",
		"Responses of smaller models used because the larger model's could not be had.");
	out << "gingerdyke_held_responses_used_total " << held_used_ << "\n";
	metrics::write_header(
		out, "gingerdyke_log_lines_left_out_total", "counter", "Request lines left out because of the rate.");
	out << "gingerdyke_log_lines_left_out_total " << dropped_lines_ << "\n";
	return out.str();
}
} // namespace gingerdyke::proxy
