// SPDX-License-Identifier: MIT
// Identifies repetitions of the same request.
#pragma once

#include <gingerdyke/base/ids.hpp>
#include <string_view>

namespace gingerdyke::quarantine
{
/// \brief Identifies a request by its content; the same on all VMs.
using request_key = string_id<struct request_key_tag>;

/// \brief Content that identifies a request. The request id, other headers and the VM that receives the
/// request are not part of it because they differ between retries.
struct request_content
{
	std::string_view method;
	std::string_view host;
	std::string_view target;

	/// Workspace of the client; empty if the route needs no key.
	std::string_view workspace;
	std::string_view body;
};

/// \brief Computes the key of a request: a prefix of a SHA-256 over all of its content, including the
/// workspace, so that no client can create a request with the same key as another workspace's request.
[[nodiscard]] request_key key_of(const request_content& content);
} // namespace gingerdyke::quarantine
