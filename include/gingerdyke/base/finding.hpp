// SPDX-License-Identifier: MIT
// Findings: errors in an input, each with its location, collected so that all are reported at once.
#pragma once

#include <string>
#include <tl/expected.hpp>
#include <vector>

namespace gingerdyke
{
/// \brief Location of a finding in its source.
struct source_location
{
	/// File name or other name of the source.
	std::string source;

	/// JSON pointer (RFC 6901) of the value.
	std::string pointer;

	/// Line of the value, counted from 1; 0 if the source has no lines.
	unsigned line{};
};

/// \brief An error in an input, with its location.
struct finding
{
	source_location location;
	std::string message;

	/// \brief Formats the finding as `file:line: pointer: message`.
	[[nodiscard]] std::string str() const;
};

using findings = std::vector<finding>;

/// \brief Formats findings, one per line.
[[nodiscard]] std::string to_text(const findings& list);

/// \brief A value, or all findings about its source.
template <typename T>
using checked = tl::expected<T, findings>;
} // namespace gingerdyke
