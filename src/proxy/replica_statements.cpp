// SPDX-License-Identifier: MIT
// What a replica says of itself in the head of an answer.
#include <algorithm>
#include <charconv>
#include <cmath>
#include <gingerdyke/proxy/replica_statements.hpp>

namespace gingerdyke::proxy
{
namespace
{
/// A decimal number from 0 on; none: it is something else.
std::optional<double> read_amount(const std::string& text)
{
	double value = 0;
	const auto* end = text.data() + text.size();
	const auto read = std::from_chars(text.data(), end, value, std::chars_format::fixed);
	const bool is_whole = read.ec == std::errc{} && read.ptr == end;
	return is_whole && std::isfinite(value) && value >= 0 ? std::optional{value} : std::nullopt;
}
} // namespace

replica_statements read_statements(const answer_head& head, const header_names& names)
{
	replica_statements read;
	for (const auto& one : head.fields)
	{
		if (!same_name(one.name, names.load_limit))
		{
			continue;
		}
		const auto limit = read_amount(one.value);
		if (!limit)
		{
			read.unreadable = one.value;
			continue;
		}
		read.load_limit = std::min(read.load_limit.value_or(*limit), *limit);
	}
	return read;
}
} // namespace gingerdyke::proxy
