// SPDX-License-Identifier: MIT
// Computes the keys of requests and of parts of prompts.
#include <algorithm>
#include <gingerdyke/base/crypto.hpp>
#include <gingerdyke/quarantine/content_key.hpp>
#include <string>

namespace gingerdyke::quarantine
{
namespace
{
/// 128 bits: no two of the 10^12 requests that the largest deployments serve in a year share a key.
constexpr std::size_t key_digits = 32;

/// Keys of requests are hexadecimal, so that none begins like this.
constexpr std::string_view part_prefix = "part-";
constexpr std::string_view combination_prefix = "combination-";

/// The length prefix separates the fields: without it, moving characters from one field to the next would
/// give the same key.
std::string join_fields(std::initializer_list<std::string_view> fields)
{
	std::string text;
	for (const auto field : fields)
	{
		text += std::to_string(field.size());
		text += ':';
		text += field;
	}
	return text;
}
} // namespace

std::vector<content_key> content_keys::all() const
{
	std::vector<content_key> keys{request};
	keys.insert(keys.end(), parts.begin(), parts.end());
	if (!combination.empty())
	{
		keys.push_back(combination);
	}
	return keys;
}

bool content_keys::contains(const content_key& key) const
{
	return key == request || key == combination || std::find(parts.begin(), parts.end(), key) != parts.end();
}

content_key key_of(const request_content& content)
{
	// The body is hashed separately instead of copied, since it may be large.
	const auto body = sha256_hex(content.body);
	const auto text = join_fields({content.method, content.host, content.target, content.workspace, body});
	return content_key{sha256_hex(text).substr(0, key_digits)};
}

content_key key_of_part(const service_id& service, std::string_view part)
{
	const auto digest = sha256_hex(join_fields({service.str(), part})).substr(0, key_digits);
	return content_key{std::string{part_prefix} + digest};
}

content_key key_of_combination(std::vector<content_key> parts)
{
	if (parts.empty())
	{
		return {};
	}
	std::sort(parts.begin(), parts.end());
	std::string text;
	for (const auto& part : parts)
	{
		text += part.str();
	}
	return content_key{std::string{combination_prefix} + sha256_hex(text).substr(0, key_digits)};
}

bool is_part(const content_key& key) noexcept
{
	return key.str().starts_with(part_prefix);
}

bool is_combination(const content_key& key) noexcept
{
	return key.str().starts_with(combination_prefix);
}
} // namespace gingerdyke::quarantine
