// SPDX-License-Identifier: MIT
// Session handles: `HEX(workspace NUL version NUL nonce).HEX(HMAC-SHA-256)`.
#include <gingerdyke/base/crypto.hpp>
#include <gingerdyke/session/handle.hpp>

namespace gingerdyke::session
{
namespace
{
constexpr char separator = '\0';
constexpr std::size_t longest_handle = 2048;

std::string from_hex(std::string_view text)
{
	const auto digit = [](char c) { return c <= '9' ? c - '0' : c - 'a' + 10; };
	std::string bytes;
	for (std::size_t i = 0; i + 1 < text.size(); i += 2)
	{
		bytes += static_cast<char>(digit(text[i]) * 16 + digit(text[i + 1]));
	}
	return bytes;
}
} // namespace

std::string mint(const handle& handle, std::string_view key)
{
	const auto payload = handle.workspace.str() + separator + handle.version.str() + separator + handle.nonce;
	return to_hex(payload) + "." + to_hex(hmac_sha256(key, payload));
}

std::optional<handle> verify(std::string_view text, std::string_view key)
{
	const auto dot = text.find('.');
	if (dot == std::string_view::npos || text.size() > longest_handle)
	{
		return std::nullopt;
	}
	const auto payload = from_hex(text.substr(0, dot));
	if (to_hex(payload) != text.substr(0, dot) ||
		!equal_in_constant_time(to_hex(hmac_sha256(key, payload)), text.substr(dot + 1)))
	{
		return std::nullopt;
	}
	const auto first = payload.find(separator);
	const auto second = payload.find(separator, first + 1);
	if (first == std::string::npos || second == std::string::npos)
	{
		return std::nullopt;
	}
	return handle{workspace_id{payload.substr(0, first)},
		version_ref::parse(std::string_view{payload}.substr(first + 1, second - first - 1)),
		payload.substr(second + 1)};
}
} // namespace gingerdyke::session
