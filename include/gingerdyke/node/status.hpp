// SPDX-License-Identifier: MIT
// What operators see of a node.
#pragma once

#include <gingerdyke/node/core.hpp>

namespace gingerdyke::node
{
/// \brief State of the node: what is in force where, what is pending, what is at risk.
[[nodiscard]] json status_of(const core& core, instant now);

/// \brief The table's rows with their revisions, without secrets.
[[nodiscard]] json rows_of(const core& core);

/// \brief Why a request's version and replica were chosen; null where it is not in memory.
[[nodiscard]] json explanation_of(const core& core, const request_id& id);
} // namespace gingerdyke::node
