// SPDX-License-Identifier: MIT
// Reading the JSON value of a registry's row: whatever does not fit becomes a finding with its place.
#pragma once

#include <gingerdyke/base/json_source.hpp>
#include <gingerdyke/control/row_store.hpp>

namespace gingerdyke::control
{
/// \brief One finding about a row.
[[nodiscard]] inline tl::unexpected<findings> unreadable(const row& from, const std::string& why)
{
	return tl::make_unexpected(findings{{{from.table + "/" + from.key, "", 0}, why}});
}

/// \brief Parses a row and reads it.
/// \param read Reads the parsed value; may throw what the JSON library throws.
/// \returns What was read, or a finding.
template <typename T, typename Read>
[[nodiscard]] checked<T> read_json(const row& from, const Read& read)
{
	try
	{
		return read(json::parse(from.value));
	}
	catch (const json::exception& error)
	{
		return unreadable(from, error.what());
	}
}
} // namespace gingerdyke::control
