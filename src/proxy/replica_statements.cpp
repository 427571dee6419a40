// SPDX-License-Identifier: MIT
// Statements of a replica about itself in the headers of a response.
#include <algorithm>
#include <charconv>
#include <cmath>
#include <ctime>
#include <gingerdyke/proxy/replica_statements.hpp>
#include <iomanip>
#include <locale>
#include <sstream>

namespace gingerdyke::proxy
{
namespace
{
constexpr int unavailable = 503;

/// Parses a non-negative finite decimal number; none if the text is anything else.
std::optional<double> parse_non_negative(const std::string& text)
{
	double value = 0;
	const auto* end = text.data() + text.size();
	const auto read = std::from_chars(text.data(), end, value, std::chars_format::fixed);
	const bool is_whole = read.ec == std::errc{} && read.ptr == end;
	return is_whole && std::isfinite(value) && value >= 0 ? std::optional{value} : std::nullopt;
}

/// Parses `Retry-After`: seconds, with decimals, or a date. A date in the past gives 0.
std::optional<duration> parse_retry_after(
	const std::string& text, std::chrono::system_clock::time_point time_of_day)
{
	if (const auto seconds = parse_non_negative(text))
	{
		constexpr double longest_s = 1e9;
		const std::chrono::duration<double> span{std::min(*seconds, longest_s)};
		return std::chrono::duration_cast<duration>(span);
	}
	std::istringstream in{text};
	in.imbue(std::locale::classic());
	std::tm date_parts{};
	in >> std::get_time(&date_parts, "%a, %d %b %Y %H:%M:%S GMT");
	if (in.fail())
	{
		return std::nullopt;
	}
	const auto retry_at = std::chrono::system_clock::from_time_t(timegm(&date_parts));
	return std::max(std::chrono::duration_cast<duration>(retry_at - time_of_day), duration{0});
}

bool is_unknown(const std::string& name, const header_names& names)
{
	const auto is_proper_prefix = [&](const std::string& prefix)
	{
		return name.size() > prefix.size() &&
			   equals_ignore_case(std::string_view{name}.substr(0, prefix.size()), prefix);
	};
	const auto matches_name = [&](const std::string& known) { return equals_ignore_case(name, known); };
	const auto& prefixes = names.statement_prefixes;
	const auto& known = names.known_statements;
	return std::any_of(prefixes.begin(), prefixes.end(), is_proper_prefix) &&
		   std::none_of(known.begin(), known.end(), matches_name);
}

void read_field(replica_statements& result, const header_field& field, bool is_refusal,
	const header_names& names, std::chrono::system_clock::time_point time_of_day)
{
	if (equals_ignore_case(field.name, names.load_limit))
	{
		const auto limit = parse_non_negative(field.value);
		if (!limit)
		{
			result.malformed_value = field.value;
			return;
		}
		result.load_limit = std::min(result.load_limit.value_or(*limit), *limit);
	}
	else if (equals_ignore_case(field.name, names.rejection_limit))
	{
		const auto limit = parse_non_negative(field.value);
		if (!limit)
		{
			result.malformed_value = field.value;
			return;
		}
		result.rejection_limit = std::min(result.rejection_limit.value_or(*limit), *limit);
	}
	else if (equals_ignore_case(field.name, names.draining_flag))
	{
		result.is_draining = result.is_draining || field.value == "1";
	}
	else if (is_refusal && equals_ignore_case(field.name, "Retry-After"))
	{
		const auto wait = parse_retry_after(field.value, time_of_day);
		if (!wait)
		{
			result.malformed_value = field.value;
			return;
		}
		result.backoff = std::max(result.backoff.value_or(*wait), *wait);
	}
	else if (is_unknown(field.name, names))
	{
		result.unknown.push_back(field.name);
	}
}
} // namespace

replica_statements read_statements(
	const response_head& head, const header_names& names, std::chrono::system_clock::time_point time_of_day)
{
	replica_statements read;
	const bool is_refusal = head.status == unavailable;
	for (const auto& entry : head.fields)
	{
		read_field(read, entry, is_refusal, names, time_of_day);
	}
	read.has_malformed_limit = !read.load_limit && find_field(head.fields, names.load_limit) != nullptr;
	return read;
}
} // namespace gingerdyke::proxy
