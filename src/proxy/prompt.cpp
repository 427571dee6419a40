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
double tokens_of(std::string_view segments)
{
	double sum = 0;
	while (!segments.empty())
	{
		const auto segment = segments.substr(0, segments.find(','));
		const auto colon = segment.find(':');
		sum += colon == std::string_view::npos ? 0 : read_number(segment.substr(colon + 1));
		segments.remove_prefix(std::min(segments.size(), segment.size() + 1));
	}
	return sum;
}
} // namespace

prompt read_prompt(const std::string* token_counts, const std::string* segments)
{
	prompt result;
	if (token_counts != nullptr)
	{
		const std::string_view text = *token_counts;
		const auto comma = text.find(',');
		result.input_tokens = read_number(text.substr(0, comma));
		if (comma != std::string_view::npos)
		{
			result.max_output_tokens = read_number(text.substr(comma + 1));
		}
	}
	if (segments != nullptr)
	{
		const auto last = segments->rfind(',');
		if (last != std::string::npos)
		{
			const auto shared = std::string_view{*segments}.substr(0, last);
			result.prefix_hash = stable_hash(shared);
			result.prefix_tokens = tokens_of(shared);
		}
	}
	return result;
}
} // namespace gingerdyke::proxy
