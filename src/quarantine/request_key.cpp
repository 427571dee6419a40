// SPDX-License-Identifier: MIT
// Computes the key of a request.
#include <gingerdyke/base/crypto.hpp>
#include <gingerdyke/quarantine/request_key.hpp>
#include <string>

namespace gingerdyke::quarantine
{
namespace
{
/// 128 bits: no two of the 10^12 requests that the largest deployments serve in a year share a key.
constexpr std::size_t key_digits = 32;
} // namespace

request_key key_of(const request_content& content)
{
	// The body is hashed separately instead of copied, since it may be large.
	const auto body = sha256_hex(content.body);
	std::string text;
	for (const std::string_view part :
		{content.method, content.host, content.target, content.workspace, std::string_view{body}})
	{
		// The length prefix separates the parts: without it, moving characters from one part to the next
		// would give the same key.
		text += std::to_string(part.size());
		text += ':';
		text += part;
	}
	return request_key{sha256_hex(text).substr(0, key_digits)};
}
} // namespace gingerdyke::quarantine
