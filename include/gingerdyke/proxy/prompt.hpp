// SPDX-License-Identifier: MIT
// What a request tells about its prompt: its size, and the parts that it shares with others.
#pragma once

#include <cstdint>
#include <string>

namespace gingerdyke::proxy
{
/// \brief Size and shared parts of a prompt.
struct prompt
{
	/// Tokens to read; 0 where the request does not say.
	double input_tokens{};

	/// Most tokens to generate; 0 where the request does not say.
	double max_output_tokens{};

	/// Tokens of all parts but the last.
	double prefix_tokens{};

	/// Hash of all parts but the last, which is the request's own; 0: nothing is shared.
	std::uint64_t prefix_hash{};

	/// \brief Tokens that an engine is expected to read: about half of the shared parts are kept where the
	/// prompt goes.
	[[nodiscard]] double expected_prefill_tokens() const noexcept
	{
		constexpr double cached_share = 0.5;
		return input_tokens - cached_share * prefix_tokens;
	}

	/// \brief Work that it is for an engine to generate the answer, in tokens read. A token of one of many
	/// answers in a batch takes as long as a few tokens read, and callers state a few times as many as are
	/// generated.
	[[nodiscard]] double decode_work() const noexcept
	{
		constexpr double output_token_weight = 1;
		return output_token_weight * max_output_tokens;
	}
};

/// \brief Reads the headers that describe a prompt; what can't be read counts as not stated.
/// \param token_counts `READ,GENERATED`, or null.
/// \param parts `ID:TOKENS,ID:TOKENS`, or null.
[[nodiscard]] prompt read_prompt(const std::string* token_counts, const std::string* parts);
} // namespace gingerdyke::proxy
