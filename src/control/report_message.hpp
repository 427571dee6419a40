// SPDX-License-Identifier: MIT
// Conversion between peer reports and their Thrift messages.
#pragma once

#include "relay_types.h"
#include <gingerdyke/control/peer_report.hpp>

namespace gingerdyke::control
{
/// \brief Converts a report to its message.
[[nodiscard]] wire::RelayReport to_wire(const peer_report& report);

/// \brief Converts a message to a report.
[[nodiscard]] peer_report from_wire(const wire::RelayReport& message);

/// \brief Converts a summary to its message.
[[nodiscard]] wire::RelaySummary to_wire(const peer_summary& summary);

/// \brief Converts a message to a summary.
[[nodiscard]] peer_summary from_wire(const wire::RelaySummary& message);
} // namespace gingerdyke::control
