// SPDX-License-Identifier: MIT
// The key of a request.
#include <gingerdyke/base/crypto.hpp>
#include <gingerdyke/quarantine/request_key.hpp>
#include <string>

namespace gingerdyke::quarantine
{
namespace
{
/// 128 bits: none of the 10^12 requests of a year of the largest deployments shares its key with another one.
constexpr std::size_t key_digits = 32;
} // namespace

request_key key_of(const request_content& content)
{
	// The body by its own hash: it may be large, and is not copied.
	const auto body = sha256_hex(content.body);
	std::string text;
	for (const std::string_view part :
		{content.method, content.host, content.target, content.workspace, std::string_view{body}})
	{
		// Lengths keep the end of one part from being read as the beginning of the next.
		text += std::to_string(part.size());
		text += ':';
		text += part;
	}
	return request_key{sha256_hex(text).substr(0, key_digits)};
}
} // namespace gingerdyke::quarantine
