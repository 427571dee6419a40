// SPDX-License-Identifier: MIT
// Text form of findings.
#include <gingerdyke/base/finding.hpp>

namespace gingerdyke
{
std::string finding::str() const
{
	std::string text = location.source;
	if (location.line != 0)
	{
		text += ":" + std::to_string(location.line);
	}
	if (!text.empty())
	{
		text += ": ";
	}
	text += location.pointer.empty() ? "/" : location.pointer;
	return text + ": " + message;
}

std::string to_text(const findings& list)
{
	std::string text;
	for (const auto& item : list)
	{
		text += item.str() + "\n";
	}
	return text;
}
} // namespace gingerdyke
