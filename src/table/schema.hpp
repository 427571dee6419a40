// SPDX-License-Identifier: MIT
// JSON schemas of the table's rows, one a kind.
#pragma once

#include <gingerdyke/base/json_schema.hpp>
#include <map>
#include <string>

namespace gingerdyke::table::impl
{
/// \brief The schema of each kind of row, by the kind's name.
[[nodiscard]] const std::map<std::string, json_schema, std::less<>>& row_schemas();
} // namespace gingerdyke::table::impl
