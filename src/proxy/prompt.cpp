// SPDX-License-Identifier: MIT
// Size and shared prefix of a request's prompt.
#include <algorithm>
#include <charconv>
#include <gingerdyke/base/crypto.hpp>
#include <gingerdyke/proxy/prompt.hpp>

namespace gingerdyke::proxy
{
namespace
{
double read_number(std::string_view text)
{
	std::uint64_t number = 0;
	std::from_chars(text.data(), text.data() + text.size(), number);
	return static_cast<double>(number);
}

/// Sum of the tokens of segments in the form `ID:TOKENS,ID:TOKENS`.
double tokens_of(std::string_view parts)
{
	double sum = 0;
	while (!parts.empty())
	{
		const auto part = parts.substr(0, parts.find(','));
		const auto colon = part.find(':');
		sum += colon == std::string_view::npos ? 0 : read_number(part.substr(colon + 1));
		parts.remove_prefix(std::min(parts.size(), part.size() + 1));
	}
	return sum;
}
} // namespace

prompt read_prompt(const std::string* token_counts, const std::string* parts)
{
	prompt read;
	if (token_counts != nullptr)
	{
		const std::string_view text = *token_counts;
		const auto comma = text.find(',');
		read.input_tokens = read_number(text.substr(0, comma));
		if (comma != std::string_view::npos)
		{
			read.max_output_tokens = read_number(text.substr(comma + 1));
		}
	}
	if (parts != nullptr)
	{
		const auto last = parts->rfind(',');
		if (last != std::string::npos)
		{
			const auto shared = std::string_view{*parts}.substr(0, last);
			read.prefix_hash = stable_hash(shared);
			read.prefix_tokens = tokens_of(shared);
		}
	}
	return read;
}
} // namespace gingerdyke::proxy
