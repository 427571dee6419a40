// SPDX-License-Identifier: MIT
// Findings: their printed form.
#include <gingerdyke/base/finding.hpp>

namespace gingerdyke
{
std::string finding::str() const
{
	std::string text = place.source;
	if (place.line != 0)
	{
		text += ":" + std::to_string(place.line);
	}
	if (!text.empty())
	{
		text += ": ";
	}
	text += place.pointer.empty() ? "/" : place.pointer;
	return text + ": " + message;
}

std::string to_text(const findings& list)
{
	std::string text;
	for (const auto& one : list)
	{
		text += one.str() + "\n";
	}
	return text;
}
} // namespace gingerdyke
