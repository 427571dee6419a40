// SPDX-License-Identifier: MIT
// Statements of a replica about itself in the headers of a response.
#pragma once

#include <gingerdyke/base/units.hpp>
#include <gingerdyke/proxy/header_names.hpp>
#include <gingerdyke/proxy/message.hpp>
#include <optional>
#include <string>
#include <vector>

namespace gingerdyke::proxy
{
/// \brief Statements of a replica in one response head.
struct replica_statements
{
	/// Load limit, in requests per second from all VMs together; none if it announces none.
	std::optional<double> load_limit;

	/// It announces a load limit, but no value of it is valid: a limit known before stays in force.
	bool has_malformed_limit{};

	/// It is brittle: it exits if it has to reject more requests in a second than this; none if it does not
	/// say so.
	std::optional<double> rejection_limit;

	/// It is draining and accepts no new work.
	bool is_draining{};

	/// It refused the request and asks this VM to send nothing for this time; none if it does not ask for
	/// that.
	std::optional<duration> backoff;

	/// A malformed value, for the log; empty if there is none. It does not change what is known of the
	/// replica.
	std::string malformed_value;

	/// Names of headers that have a prefix of statements but are not known.
	std::vector<std::string> unknown;
};

/// \brief Parses the statements of a replica. Of several load limits the lowest counts, of several
/// back-off times the longest.
/// \param time_of_day Current time, for a `Retry-After` that is a date.
[[nodiscard]] replica_statements read_statements(
	const response_head& head, const header_names& names, std::chrono::system_clock::time_point time_of_day);
} // namespace gingerdyke::proxy
