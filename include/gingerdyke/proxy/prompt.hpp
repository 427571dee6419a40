// SPDX-License-Identifier: MIT
// Size of a request's prompt, and the prefix that it shares with other prompts.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace gingerdyke::proxy
{
/// \brief Size and shared prefix of a prompt.
struct prompt
{
	/// Tokens of the prompt; 0 if not stated.
	double input_tokens{};

	/// Maximum number of tokens to generate; 0 if not stated.
	double max_output_tokens{};

	/// Tokens that the caller expects to be generated: right in the median, often far off; 0 if not stated.
	double expected_output_tokens{};

	/// Tokens of all segments but the last.
	double prefix_tokens{};

	/// Hash of all segments but the last, which only this request has; 0 if there is no shared prefix.
	std::uint64_t prefix_hash{};

	/// Identifiers of all segments but the last, up to a maximum number, without duplicates.
	std::vector<std::string> shared_segments;

	/// \brief Tokens that an engine is expected to prefill: about half of the shared prefix is in the cache
	/// of the engine that the prompt is routed to.
	[[nodiscard]] double expected_prefill_tokens() const noexcept
	{
		constexpr double cached_share = 0.5;
		return input_tokens - cached_share * prefix_tokens;
	}

	/// \brief Work to generate the answer, in units of one prefilled token. In a batch, generating a token
	/// takes as long as prefilling a few, but callers state a few times as many tokens as are generated.
	/// Their expectation counts instead where there is one, up to the maximum.
	[[nodiscard]] double decode_work() const noexcept
	{
		constexpr double output_token_weight = 1;
		if (expected_output_tokens <= 0)
		{
			return output_token_weight * max_output_tokens;
		}
		const bool is_bounded = max_output_tokens > 0 && max_output_tokens < expected_output_tokens;
		return output_token_weight * (is_bounded ? max_output_tokens : expected_output_tokens);
	}
};

/// \brief Parses the headers that describe a prompt. Malformed values count as not stated.
/// \param token_counts `PROMPT,GENERATED`, or null.
/// \param segments `ID:TOKENS,ID:TOKENS`, or null.
/// \param length_hint Number of tokens that the caller expects to be generated, or null.
[[nodiscard]] prompt read_prompt(
	const std::string* token_counts, const std::string* segments, const std::string* length_hint);
} // namespace gingerdyke::proxy
