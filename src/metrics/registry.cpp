// SPDX-License-Identifier: MIT
// Counters and histograms per workspace and class.
#include <gingerdyke/metrics/registry.hpp>
#include <sstream>

namespace gingerdyke::metrics
{
namespace
{
constexpr double microseconds_per_second = 1e6;

/// Escapes a label's value as the text format asks.
std::string label(const std::string& value)
{
	std::string result;
	for (const char c : value)
	{
		result += c == '\n' ? "\\n" : c == '"' || c == '\\' ? std::string{'\\', c} : std::string(1, c);
	}
	return result;
}

void write(
	std::ostringstream& out, const std::string& name, const std::string& labels, const histogram& values)
{
	for (const auto& [upper, count] : values.cumulative())
	{
		out << name << "_bucket{" << labels << ",le=\"" << upper / microseconds_per_second << "\"} " << count
			<< "\n";
	}
	out << name << "_bucket{" << labels << ",le=\"+Inf\"} " << values.count() << "\n";
	out << name << "_sum{" << labels << "} " << values.sum() / microseconds_per_second << "\n";
	out << name << "_count{" << labels << "} " << values.count() << "\n";
}
} // namespace

void registry::note(const request_sample& sample)
{
	const std::lock_guard lock{mutex_};
	auto& entry = entries_[{sample.workspace, sample.request_class}];
	++entry.outcomes[sample.outcome];
	entry.total.add(static_cast<double>(sample.total.count()));
	if (sample.first_chunk)
	{
		entry.first_chunk.add(static_cast<double>(sample.first_chunk->count()));
	}
	for (const auto gap : sample.gaps)
	{
		entry.between_chunks.add(static_cast<double>(gap.count()));
	}
}

std::string registry::text() const
{
	const std::lock_guard lock{mutex_};
	std::ostringstream out;
	out << "# TYPE gingerdyke_requests_total counter\n";
	for (const auto& [key, entry] : entries_)
	{
		const auto labels =
			"workspace=\"" + label(key.first.str()) + "\",class=\"" + label(key.second.str()) + "\"";
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
	for (const auto& [name, part] : histograms)
	{
		out << "# TYPE " << name << " histogram\n";
		for (const auto& [key, entry] : entries_)
		{
			const auto labels =
				"workspace=\"" + label(key.first.str()) + "\",class=\"" + label(key.second.str()) + "\"";
			write(out, name, labels, entry.*part);
		}
	}
	return out.str();
}
} // namespace gingerdyke::metrics
