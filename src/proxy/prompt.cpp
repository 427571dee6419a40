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

/// A hint without a stated maximum counts up to this number of tokens: one caller's number must not make an
/// engine seem occupied for good.
constexpr double max_hinted_tokens = 32768;

/// Segments beyond this number are not identified, which bounds the work for one request.
constexpr std::size_t max_identified_segments = 32;

struct segment
{
	std::string_view id;
	double tokens{};
};

/// Splits segments in the form `ID:TOKENS,ID:TOKENS`.
std::vector<segment> split_segments(std::string_view text)
{
	std::vector<segment> segments;
	while (!text.empty())
	{
		const auto item = text.substr(0, text.find(','));
		const auto colon = item.find(':');
		const auto tokens = colon == std::string_view::npos ? 0 : read_number(item.substr(colon + 1));
		segments.push_back({item.substr(0, colon), tokens});
		text.remove_prefix(std::min(text.size(), item.size() + 1));
	}
	return segments;
}

void add_shared_segment(prompt& to, const segment& shared)
{
	auto& ids = to.shared_segments;
	to.prefix_tokens += shared.tokens;
	const bool is_known = std::find(ids.begin(), ids.end(), shared.id) != ids.end();
	if (!shared.id.empty() && !is_known && ids.size() < max_identified_segments)
	{
		ids.emplace_back(shared.id);
	}
}
} // namespace

prompt read_prompt(
	const std::string* token_counts, const std::string* segments, const std::string* length_hint)
{
	prompt result;
	if (length_hint != nullptr)
	{
		result.expected_output_tokens = std::min(read_number(*length_hint), max_hinted_tokens);
	}
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
			for (const auto& shared_segment : split_segments(shared))
			{
				add_shared_segment(result, shared_segment);
			}
		}
	}
	return result;
}
} // namespace gingerdyke::proxy
