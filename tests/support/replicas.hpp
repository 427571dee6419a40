// SPDX-License-Identifier: MIT
// Replicas and moments for tests of routing.
#pragma once

#include <gingerdyke/routing/replica_set.hpp>
#include <string>

namespace gingerdyke::test
{
/// \brief A moment, counted from the one at which a test begins.
[[nodiscard]] inline instant at(std::chrono::milliseconds since)
{
	return instant{std::chrono::seconds{100} + since};
}

/// \brief A replica of the service "s".
[[nodiscard]] inline routing::replica make_replica(const std::string& id, const std::string& version = "v1")
{
	routing::replica made;
	made.id = replica_id{id};
	made.service = service_id{"s"};
	made.at = {"127.0.0.1", 80};
	made.version = version;
	return made;
}
} // namespace gingerdyke::test
