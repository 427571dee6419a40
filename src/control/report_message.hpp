// SPDX-License-Identifier: MIT
// Reports between VMs as the messages that carry them.
#pragma once

#include "relay_types.h"
#include <gingerdyke/control/peer_report.hpp>

namespace gingerdyke::control
{
/// \brief Writes a report as its message.
[[nodiscard]] wire::RelayReport written(const peer_report& report);

/// \brief Reads a report from its message.
[[nodiscard]] peer_report read(const wire::RelayReport& message);

/// \brief Writes a summary as its message.
[[nodiscard]] wire::RelaySummary written(const peer_summary& summary);

/// \brief Reads a summary from its message.
[[nodiscard]] peer_summary read(const wire::RelaySummary& message);
} // namespace gingerdyke::control
