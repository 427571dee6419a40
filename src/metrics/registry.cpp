// SPDX-License-Identifier: MIT
// Request counters and latency histograms per workspace and request class.
#include <gingerdyke/metrics/registry.hpp>
#include <gingerdyke/metrics/text_format.hpp>
#include <sstream>

namespace gingerdyke::metrics
{
namespace
{
std::string labels_of(const workspace_id& workspace, const class_id& request_class)
{
	return write_label("workspace", workspace.str()) + "," + write_label("class", request_class.str());
}
} // namespace

void registry::record(const request_sample& sample)
{
	const std::lock_guard lock{mutex_};
	auto& entry = entries_[{sample.workspace, sample.request_class}];
	++entry.outcomes[sample.outcome];
	entry.total.add(static_cast<double>(sample.total.count()));
	if (sample.first_chunk)
	{
		entry.first_chunk.add(static_cast<double>(sample.first_chunk->count()));
	}
	for (const auto interval : sample.chunk_intervals)
	{
		entry.between_chunks.add(static_cast<double>(interval.count()));
	}
}

std::string registry::prometheus_text() const
{
	const std::lock_guard lock{mutex_};
	std::ostringstream out;
	write_header(out, "gingerdyke_requests_total", "counter", "Requests by how they ended.");
	for (const auto& [key, entry] : entries_)
	{
		const auto labels = labels_of(key.first, key.second);
		for (const auto& [outcome, count] : entry.outcomes)
		{
			out << "gingerdyke_requests_total{" << labels << ",outcome=\"" << outcome << "\"} " << count
				<< "\n";
		}
	}
	using member = histogram entry::*;
	const std::vector<std::pair<std::string, member>> histograms{
		{"gingerdyke_request_seconds", &entry::total},
		{"gingerdyke_first_chunk_seconds", &entry::first_chunk},
		{"gingerdyke_between_chunks_seconds", &entry::between_chunks},
	};
	for (const auto& [name, member_histogram] : histograms)
	{
		write_header(out, name, "histogram", "Times in seconds.");
		for (const auto& [key, entry] : entries_)
		{
			write_histogram(out, name, labels_of(key.first, key.second), entry.*member_histogram);
		}
	}
	return out.str();
}
} // namespace gingerdyke::metrics
