// SPDX-License-Identifier: MIT
// Counters of requests by outcome, and latency histograms.
#include <gingerdyke/metrics/text_format.hpp>
#include <gingerdyke/proxy/request_log.hpp>
#include <gingerdyke/proxy/request_metrics.hpp>

namespace gingerdyke::proxy
{
namespace
{
using metrics::write_header;
using metrics::write_histogram;
using metrics::write_label;

void write_counter(std::ostream& out, const std::string& name, const std::string& label,
	const std::map<std::string, std::uint64_t>& counts)
{
	for (const auto& [value, count] : counts)
	{
		out << name << "{" << write_label(label, value) << "} " << count << "\n";
	}
}

template <typename Times>
void write_times(std::ostream& out, const std::string& name, const std::string& label,
	const std::map<std::string, Times>& all, metrics::histogram Times::*histogram_member)
{
	for (const auto& [value, times] : all)
	{
		if ((times.*histogram_member).count() > 0)
		{
			write_histogram(out, name, write_label(label, value), times.*histogram_member);
		}
	}
}
} // namespace

void request_metrics::record_request(const request_record& record)
{
	++outcomes_[name_of(record.outcome)];
	if (record.outcome != request_outcome::served)
	{
		++reasons_[record.reason];
	}
	const bool has_response =
		record.outcome == request_outcome::served || record.outcome == request_outcome::failed_by_replica;
	if (!has_response)
	{
		return;
	}
	for (auto* latencies : {&by_workspace_[record.workspace], &by_route_[record.route]})
	{
		latencies->total.add(static_cast<double>(record.elapsed.count()));
		latencies->first_byte.add(static_cast<double>(record.first_byte.count()));
	}
}

std::uint64_t request_metrics::count(const std::string& outcome) const
{
	const auto found = outcomes_.find(outcome);
	return found == outcomes_.end() ? 0 : found->second;
}

void request_metrics::write(std::ostream& out) const
{
	write_header(out, "gingerdyke_requests_total", "counter", "Requests by how they ended.");
	write_counter(out, "gingerdyke_requests_total", "outcome", outcomes_);
	write_header(
		out, "gingerdyke_request_failures_total", "counter", "Requests that were not served, by reason.");
	write_counter(out, "gingerdyke_request_failures_total", "reason", reasons_);
	write_header(out, "gingerdyke_workspace_request_seconds", "histogram",
		"Time from arrival to the end of the answer, by workspace; empty: no key needed.");
	write_times(out, "gingerdyke_workspace_request_seconds", "workspace", by_workspace_, &times::total);
	write_header(out, "gingerdyke_workspace_first_byte_seconds", "histogram",
		"Time from arrival to the first byte passed on, by workspace.");
	write_times(
		out, "gingerdyke_workspace_first_byte_seconds", "workspace", by_workspace_, &times::first_byte);
	write_header(out, "gingerdyke_route_request_seconds", "histogram",
		"Time from arrival to the end of the answer, by route.");
	write_times(out, "gingerdyke_route_request_seconds", "route", by_route_, &times::total);
	write_header(out, "gingerdyke_route_first_byte_seconds", "histogram",
		"Time from arrival to the first byte passed on, by route.");
	write_times(out, "gingerdyke_route_first_byte_seconds", "route", by_route_, &times::first_byte);
}
} // namespace gingerdyke::proxy
