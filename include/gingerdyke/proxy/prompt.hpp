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
	double tokens_in{};

	/// Most tokens to generate; 0 where the request does not say.
	double tokens_out{};

	/// Tokens of all parts but the last.
	double shared_tokens{};

	/// Hash of all parts but the last, which is the request's own; 0: nothing is shared.
	std::uint64_t shared_parts{};

	/// \brief Work that it is for an engine, in tokens read: one generated takes as long as about ten read.
	[[nodiscard]] double work() const noexcept
	{
		constexpr double generated_weight = 10;
		return tokens_in + generated_weight * tokens_out;
	}
};

/// \brief Reads the headers that describe a prompt; what can't be read counts as not stated.
/// \param token_counts `READ,GENERATED`, or null.
/// \param parts `ID:TOKENS,ID:TOKENS`, or null.
[[nodiscard]] prompt read_prompt(const std::string* token_counts, const std::string* parts);
} // namespace gingerdyke::proxy
