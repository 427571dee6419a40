// SPDX-License-Identifier: MIT
// Settings of one `gingerdyke serve` process.
#pragma once

#include <gingerdyke/base/json_source.hpp>
#include <gingerdyke/base/units.hpp>
#include <gingerdyke/membership/member.hpp>
#include <string>
#include <vector>

namespace gingerdyke::node
{
/// \brief An address to listen at or to call.
struct endpoint
{
	std::string host;
	int port{};

	/// \brief Reads `host:port`; port 0 where the text is not of that form.
	[[nodiscard]] static endpoint parse(const std::string& text);

	/// \brief The written form, `host:port`.
	[[nodiscard]] std::string str() const { return host + ":" + std::to_string(port); }
};

/// \brief Everything that a process learns from its settings file; see docs/OPERATIONS.md.
struct settings
{
	vm_id vm;
	failure_domain_id failure_domain;
	endpoint http;
	endpoint peer;

	/// Authenticates frames between entry VMs.
	std::string peer_secret;

	endpoint table_service;
	endpoint vm_list;

	/// Rates a sample of answers; without a host: no rating.
	endpoint rating_service;

	/// Entry VMs known before the platform's first list.
	std::vector<membership::member> seeds;

	/// SHA-256 of an operator key that holds while the table has no operator row.
	std::string bootstrap_operator_sha256;

	std::string log_level{"info"};

	/// Connections served at once, and streams among them.
	unsigned connections{};

	/// Largest request body, in bytes.
	std::size_t body_bytes{};

	/// Longest silence of an upstream in the middle of an answer.
	duration upstream_silence{};

	/// Calls a second that this VM may make to the table service.
	double platform_calls_per_second{};

	/// How long the balancer goes on sending requests to a VM that is not ready.
	duration balancer_lag{};

	/// Longest wait for open requests at a planned stop.
	duration stop_limit{};
};

/// \brief Reads and checks settings.
/// \returns The settings, or every finding.
[[nodiscard]] checked<settings> read_settings(const json_source& source);
} // namespace gingerdyke::node
