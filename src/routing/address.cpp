// SPDX-License-Identifier: MIT
// An IP address with a port.
#include <charconv>
#include <gingerdyke/routing/address.hpp>

namespace gingerdyke::routing
{
std::optional<address> address::parse(const std::string& text)
{
	const auto colon = text.rfind(':');
	if (colon == std::string::npos || colon == 0)
	{
		return std::nullopt;
	}
	std::uint16_t port = 0;
	const auto* end = text.data() + text.size();
	const auto read = std::from_chars(text.data() + colon + 1, end, port);
	if (read.ec != std::errc{} || read.ptr != end || port == 0)
	{
		return std::nullopt;
	}
	return address{text.substr(0, colon), port};
}
} // namespace gingerdyke::routing
