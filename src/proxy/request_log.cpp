// SPDX-License-Identifier: MIT
// One line for each request that matters.
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
	: tuning_(tuning), lines_(tuning.rate, tuning.burst, now)
{
}

void request_log::note(const request_line& line, instant now)
{
	metrics_.note(line);
	if (line.outcome == request_outcome::served && ++served_ % tuning_.served_sample != 0)
	{
		return;
	}
	if (!lines_.take(1, now))
	{
		++left_out_;
		return;
	}
	const auto choice = line.choice.value_or(size_choice{});
	log::write(log::level::info, "request",
		{{"request", line.id}, {"content", line.content}, {"route", line.route},
			{"workspace", line.workspace}, {"replica", line.replica}, {"version", line.version},
			{"model", line.model}, {"outcome", name_of(line.outcome)}, {"status", line.status},
			{"reason", line.reason}, {"attempts", line.attempts}, {"took_ms", to_milliseconds(line.took)},
			{"first_byte_ms", to_milliseconds(line.first_byte)}, {"confidence", choice.confidence},
			{"escalate_below", choice.threshold}, {"larger_expected_ms", to_milliseconds(choice.expected)},
			{"config", line.config}, {"config_age_ms", to_milliseconds(line.config_age)},
			{"replicas_age_ms", to_milliseconds(line.replicas_age)},
			{"replica_suspected", line.replica_is_suspected}, {"lines_left_out", left_out_}});
}

std::string request_log::text() const
{
	std::ostringstream out;
	metrics_.write(out);
	metrics::write_header(
		out, "gingerdyke_log_lines_left_out_total", "counter", "Request lines left out because of the rate.");
	out << "gingerdyke_log_lines_left_out_total " << left_out_ << "\n";
	return out.str();
}
} // namespace gingerdyke::proxy
