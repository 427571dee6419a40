// SPDX-License-Identifier: MIT
// The operators' calls: the table, the node's state, explanations, measurements.
#pragma once

#include <gingerdyke/http/listener.hpp>
#include <gingerdyke/metrics/registry.hpp>
#include <gingerdyke/node/host.hpp>
#include <gingerdyke/node/settings.hpp>

namespace gingerdyke::http
{
/// \brief Adds the operators' routes to a server.
void add_operator_routes(httplib::Server& server, node::host& node, const node::settings& settings,
	const metrics::registry& metrics);
} // namespace gingerdyke::http
