// SPDX-License-Identifier: MIT
// Findings: what is wrong with an input, each with its place, collected and reported together.
#pragma once

#include <string>
#include <tl/expected.hpp>
#include <vector>

namespace gingerdyke
{
/// \brief Where in a source a finding points to.
struct source_region
{
	/// File or other name of the source.
	std::string source;

	/// JSON pointer (RFC 6901) of the value.
	std::string pointer;

	/// Line of the value, from 1; 0 where the source has no lines.
	unsigned line{};
};

/// \brief One thing that is wrong, and where.
struct finding
{
	source_region place;
	std::string message;

	/// \brief One line: `file:line: pointer: message`.
	[[nodiscard]] std::string str() const;
};

using findings = std::vector<finding>;

/// \brief All findings, a line each.
[[nodiscard]] std::string to_text(const findings& list);

/// \brief A value, or everything that is wrong with its source.
template <typename T>
using checked = tl::expected<T, findings>;
} // namespace gingerdyke
