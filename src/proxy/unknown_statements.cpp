// SPDX-License-Identifier: MIT
// Statements that this program does not know.
#include <gingerdyke/proxy/unknown_statements.hpp>

namespace gingerdyke::proxy
{
namespace
{
/// A faulty replica may make up names: no more than these are kept and told.
constexpr std::size_t max_names = 64;
constexpr std::size_t max_name_length = 80;
} // namespace

const char* name_of(statement_source source) noexcept
{
	switch (source)
	{
	case statement_source::answer:
		return "answer";
	case statement_source::replica_entry:
		return "replica's entry";
	case statement_source::operator_row:
		return "operators' row";
	}
	return "unknown";
}

void unknown_statements::note(statement_source source, std::string_view name, const std::string& sender)
{
	++count_;
	const std::string kept{name.substr(0, max_name_length)};
	if (names_.size() < max_names && names_.insert(std::string{name_of(source)} + " " + kept).second)
	{
		new_name_hook_(source, kept, sender);
	}
}
} // namespace gingerdyke::proxy
