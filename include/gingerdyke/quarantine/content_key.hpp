// SPDX-License-Identifier: MIT
// Identifies what requests have in common: the same content, or one part of their prompts.
#pragma once

#include <gingerdyke/base/ids.hpp>
#include <string_view>
#include <vector>

namespace gingerdyke::quarantine
{
/// \brief Identifies a whole request by its content, a part of prompts, or a combination of parts; the same
/// on all VMs.
using content_key = string_id<struct content_key_tag>;

/// \brief The keys of one request.
struct content_keys
{
	/// Key of the whole content.
	content_key request;

	/// Keys of the parts that its prompt shares with others.
	std::vector<content_key> parts;

	/// Key of the combination of these parts; empty if there are none.
	content_key combination{};

	/// \brief Returns all of them.
	[[nodiscard]] std::vector<content_key> all() const;

	/// \brief Whether a key is one of them.
	[[nodiscard]] bool contains(const content_key& key) const;
};

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
[[nodiscard]] content_key key_of(const request_content& content);

/// \brief Computes the key of a part of prompts to one service.
/// \param part Identifier of the part, as callers state it.
[[nodiscard]] content_key key_of_part(const service_id& service, std::string_view part);

/// \brief Computes the key of a combination of parts, whatever their order.
/// \returns An empty key if there are no parts.
[[nodiscard]] content_key key_of_combination(std::vector<content_key> parts);

/// \brief Whether a key is that of a part, or of a combination of parts.
[[nodiscard]] bool is_part(const content_key& key) noexcept;
[[nodiscard]] bool is_combination(const content_key& key) noexcept;
} // namespace gingerdyke::quarantine
