// SPDX-License-Identifier: MIT
// Parses the JSON value of a registry row. Anything unexpected is reported as a finding that names the row.
#pragma once

#include <gingerdyke/base/json_source.hpp>
#include <gingerdyke/control/row_store.hpp>

namespace gingerdyke::control
{
/// \brief Returns a result that holds a single finding about a row.
[[nodiscard]] inline tl::unexpected<findings> row_error(const row& from, const std::string& why)
{
	return tl::make_unexpected(findings{{{from.table + "/" + from.key, "", 0}, why}});
}

/// \brief Parses a row's value as JSON and converts it.
/// \param read Converts the parsed value; may throw the exceptions of the JSON library.
/// \returns The converted value, or a finding.
template <typename T, typename Read>
[[nodiscard]] checked<T> parse_row_value(const row& from, const Read& read)
{
	try
	{
		return read(json::parse(from.value));
	}
	catch (const json::exception& error)
	{
		return row_error(from, error.what());
	}
}
} // namespace gingerdyke::control
