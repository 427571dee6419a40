// SPDX-License-Identifier: MIT
// An IP address with a port.
#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <string>

namespace gingerdyke::routing
{
/// \brief An IP address and port.
struct address
{
	std::string ip;
	std::uint16_t port{};

	/// \brief Formats the address as `ip:port`.
	[[nodiscard]] std::string str() const { return ip + ":" + std::to_string(port); }

	/// \brief Parses `ip:port`; returns none if the text is not of that form.
	[[nodiscard]] static std::optional<address> parse(const std::string& text);

	auto operator<=>(const address&) const = default;
};
} // namespace gingerdyke::routing
