// SPDX-License-Identifier: MIT
// Counts statements with unknown names.
#include <gingerdyke/proxy/unknown_statements.hpp>

namespace gingerdyke::proxy
{
namespace
{
/// A faulty replica may invent names without end; no more than this are stored and reported.
constexpr std::size_t max_names = 64;
constexpr std::size_t max_name_length = 80;
} // namespace

const char* name_of(statement_source source) noexcept
{
	switch (source)
	{
	case statement_source::response_header:
		return "answer";
	case statement_source::replica_entry:
		return "replica's entry";
	case statement_source::operator_row:
		return "operators' row";
	}
	return "unknown";
}

void unknown_statements::record(statement_source source, std::string_view name, const std::string& sender)
{
	++count_;
	const std::string truncated{name.substr(0, max_name_length)};
	if (names_.size() < max_names && names_.insert(std::string{name_of(source)} + " " + truncated).second)
	{
		new_name_hook_(source, truncated, sender);
	}
}
} // namespace gingerdyke::proxy
