// SPDX-License-Identifier: MIT
// What a replica says of itself in the head of an answer.
#pragma once

#include <gingerdyke/base/units.hpp>
#include <gingerdyke/proxy/header_names.hpp>
#include <gingerdyke/proxy/message.hpp>
#include <optional>
#include <string>
#include <vector>

namespace gingerdyke::proxy
{
/// \brief What the head of an answer says of the replica that gave it.
struct replica_statements
{
	/// Requests a second that it takes from all VMs together; none: it names no limit.
	std::optional<double> load_limit;

	/// It names a limit, and none that can be read: what was known of one holds on.
	bool has_unreadable_limit{};

	/// It leaves, and takes no new work.
	bool is_draining{};

	/// It refuses the request and wants nothing from this VM for so long; none: it does not say.
	std::optional<duration> backoff;

	/// A value that can't be read, for the log; empty: there is none. It changes nothing that was known.
	std::string unreadable;

	/// Names of headers that may say something of it and are not known.
	std::vector<std::string> unknown;
};

/// \brief Reads what a replica says of itself. Of several limits the lowest counts, of several rests the
/// longest. \param time_of_day For rests that are told as a date.
[[nodiscard]] replica_statements read_statements(
	const response_head& head, const header_names& names, std::chrono::system_clock::time_point time_of_day);
} // namespace gingerdyke::proxy
