// SPDX-License-Identifier: MIT
// What makes two requests the same one, asked again.
#pragma once

#include <gingerdyke/base/ids.hpp>
#include <string_view>

namespace gingerdyke::quarantine
{
/// \brief Names a request by what it asks, on all VMs alike.
using request_key = string_id<struct request_key_tag>;

/// \brief What a request asks. Its id, its other headers and the VM that takes it differ from try to try.
struct request_content
{
	std::string_view method;
	std::string_view host;
	std::string_view target;

	/// Who asks; empty where the route needs no key.
	std::string_view workspace;
	std::string_view body;
};

/// \brief The key of a request: a part of a SHA-256 over all of its content, the workspace too, so that
/// nobody can make a request that has the key of another workspace's.
[[nodiscard]] request_key key_of(const request_content& content);
} // namespace gingerdyke::quarantine
