// SPDX-License-Identifier: MIT
// What a replica says of itself in the head of an answer.
#pragma once

#include <gingerdyke/proxy/header_names.hpp>
#include <gingerdyke/proxy/message.hpp>
#include <optional>

namespace gingerdyke::proxy
{
/// \brief What the head of an answer says of the replica that gave it.
struct replica_statements
{
	/// Requests a second that it takes from all VMs together; none: it names no limit.
	std::optional<double> load_limit;

	/// A value that can't be read, for the log; empty: there is none. It changes nothing that was known.
	std::string unreadable;
};

/// \brief Reads what a replica says of itself. Of several limits the lowest counts.
[[nodiscard]] replica_statements read_statements(const answer_head& head, const header_names& names);
} // namespace gingerdyke::proxy
