// SPDX-License-Identifier: MIT
// One line for each request that matters.
#include <gingerdyke/log/log.hpp>
#include <gingerdyke/proxy/request_log.hpp>

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
	++outcomes_[line.outcome];
	if (line.outcome == request_outcome::served)
	{
		if (++served_ % tuning_.served_sample != 0)
		{
			return;
		}
	}
	else
	{
		++reasons_[line.reason];
	}
	if (!lines_.take(1, now))
	{
		++left_out_;
		return;
	}
	log::write(log::level::info, "request",
		{{"request", line.id}, {"route", line.route}, {"workspace", line.workspace},
			{"replica", line.replica}, {"model", line.model}, {"outcome", name_of(line.outcome)},
			{"status", line.status}, {"reason", line.reason}, {"attempts", line.attempts},
			{"took_ms", to_milliseconds(line.took)}, {"first_byte_ms", to_milliseconds(line.first_byte)},
			{"config", line.config}, {"config_age_ms", to_milliseconds(line.config_age)},
			{"lines_left_out", left_out_}});
}

std::uint64_t request_log::count(request_outcome outcome) const
{
	const auto found = outcomes_.find(outcome);
	return found == outcomes_.end() ? 0 : found->second;
}

std::string request_log::text() const
{
	std::string out = "# HELP gingerdyke_requests_total Requests by how they ended.\n"
					  "# TYPE gingerdyke_requests_total counter\n";
	for (const auto& [outcome, count] : outcomes_)
	{
		out += std::string{"gingerdyke_requests_total{outcome=\""} + name_of(outcome) + "\"} " +
			   std::to_string(count) + "\n";
	}
	out += "# HELP gingerdyke_request_failures_total Requests that were not served, by reason.\n"
		   "# TYPE gingerdyke_request_failures_total counter\n";
	for (const auto& [reason, count] : reasons_)
	{
		out += "gingerdyke_request_failures_total{reason=\"" + reason + "\"} " + std::to_string(count) + "\n";
	}
	out += "# HELP gingerdyke_log_lines_left_out_total Request lines left out because of the rate.\n"
		   "# TYPE gingerdyke_log_lines_left_out_total counter\n"
		   "gingerdyke_log_lines_left_out_total " +
		   std::to_string(left_out_) + "\n";
	return out;
}
} // namespace gingerdyke::proxy
