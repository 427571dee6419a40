// SPDX-License-Identifier: MIT
// What callers get for replicas' responses that must not reach them.
#pragma once

#include "lost_path.hpp"

namespace gingerdyke::test
{
[[nodiscard]] inline bool contains(const std::string& text, const std::string& part)
{
	return text.find(part) != std::string::npos;
}

/// \brief Checks that the caller is told of the failure, and gets nothing of the replica's response.
/// \param withheld What stands in the replica's response.
inline void check_is_own_failure(const std::string& response, const std::string& withheld)
{
	CAPTURE(response);
	CHECK(response.starts_with("HTTP/1.1 502 "));
	CHECK_FALSE(contains(response, "Signature"));
	CHECK_FALSE(contains(response, withheld));
}

/// \brief What a caller receives whose request, which may be tried once, is answered with some bytes.
[[nodiscard]] inline std::string answer_through_vm(
	const std::string& bytes, const std::string& path = "/unsafe/a")
{
	proxy_world world;
	scripted_replica replica{world.context, [&](const std::string&) { return scripted_answer{bytes, true}; }};
	world.data.routes.back().resumable = false;
	world.data.routes.back().attempts = 1;
	world.start({{path.starts_with("/stream/") ? "engine" : "plain", &replica}});
	auto response = world.ask(request_to("POST", path, "b"));
	CHECK(replica.requests().size() == 1);
	return response;
}

/// \brief The same by way of another VM that passes such bytes on.
[[nodiscard]] inline std::string answer_through_two_vms(const std::string& bytes)
{
	proxy_world world;
	scripted_replica other_vm{world.context, [&](const std::string&) {
								  return scripted_answer{bytes, true};
							  }};
	start_without_path(world, "plain", other_vm.at());
	return world.ask(request_to("POST", "/unsafe/a", "b"));
}
} // namespace gingerdyke::test
