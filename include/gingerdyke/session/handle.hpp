// SPDX-License-Identifier: MIT
// Session handles: what a session holds on to travels with its caller, signed, so that no VM keeps it.
#pragma once

#include <gingerdyke/base/ids.hpp>
#include <optional>
#include <string>
#include <string_view>

namespace gingerdyke::session
{
/// \brief What a handle says.
struct handle
{
	workspace_id workspace;
	version_ref version;

	/// Tells sessions of one workspace apart.
	std::string nonce;

	bool operator==(const handle&) const = default;
};

/// \brief Writes and signs a handle.
/// \param key The table's session key.
[[nodiscard]] std::string mint(const handle& handle, std::string_view key);

/// \brief Reads a handle.
/// \returns Nothing where the text was not minted with this key.
[[nodiscard]] std::optional<handle> verify(std::string_view text, std::string_view key);
} // namespace gingerdyke::session
