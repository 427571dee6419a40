// SPDX-License-Identifier: MIT
// Prometheus text exposition format.
#include <gingerdyke/metrics/text_format.hpp>

namespace gingerdyke::metrics
{
namespace
{
constexpr double microseconds_per_second = 1e6;
} // namespace

void write_header(
	std::ostream& out, const std::string& name, const std::string& type, const std::string& help)
{
	out << "# HELP " << name << " " << help << "\n# TYPE " << name << " " << type << "\n";
}

std::string write_label(const std::string& name, const std::string& value)
{
	std::string result = name + "=\"";
	for (const char c : value)
	{
		result += c == '\n' ? "\\n" : c == '"' || c == '\\' ? std::string{'\\', c} : std::string(1, c);
	}
	return result + "\"";
}

void write_histogram(
	std::ostream& out, const std::string& name, const std::string& labels, const histogram& values)
{
	for (const auto& [upper, count] : values.cumulative_counts())
	{
		out << name << "_bucket{" << labels << ",le=\"" << upper / microseconds_per_second << "\"} " << count
			<< "\n";
	}
	out << name << "_bucket{" << labels << ",le=\"+Inf\"} " << values.count() << "\n";
	out << name << "_sum{" << labels << "} " << values.sum() / microseconds_per_second << "\n";
	out << name << "_count{" << labels << "} " << values.count() << "\n";
}
} // namespace gingerdyke::metrics
