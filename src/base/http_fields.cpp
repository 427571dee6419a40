// SPDX-License-Identifier: MIT
// Names and values of HTTP header fields.
#include <algorithm>
#include <gingerdyke/base/http_fields.hpp>

namespace gingerdyke::http_fields
{
namespace
{
char to_lower(char c) noexcept
{
	return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c;
}

bool is_token_character(char c) noexcept
{
	constexpr std::string_view marks = "!#$%&'*+-.^_`|~";
	const auto lower = to_lower(c);
	return (lower >= 'a' && lower <= 'z') || (c >= '0' && c <= '9') ||
		   marks.find(c) != std::string_view::npos;
}
} // namespace

bool equals_ignore_case(std::string_view a, std::string_view b) noexcept
{
	return std::equal(
		a.begin(), a.end(), b.begin(), b.end(), [](char x, char y) { return to_lower(x) == to_lower(y); });
}

std::string_view trim(std::string_view text) noexcept
{
	const auto first = text.find_first_not_of(" \t");
	if (first == std::string_view::npos)
	{
		return {};
	}
	return text.substr(first, text.find_last_not_of(" \t") - first + 1);
}

bool is_valid_name(std::string_view name) noexcept
{
	return !name.empty() && std::all_of(name.begin(), name.end(), is_token_character);
}

bool has_control_byte(std::string_view text) noexcept
{
	constexpr unsigned char delete_byte = 0x7f;
	return std::any_of(text.begin(), text.end(),
		[](char c)
		{
			const auto byte = static_cast<unsigned char>(c);
			return (byte < ' ' && c != '\t') || byte == delete_byte;
		});
}

bool is_unknown_transfer_coding(std::string_view name, std::string_view value) noexcept
{
	return equals_ignore_case(name, "Transfer-Encoding") && !equals_ignore_case(trim(value), "chunked");
}
} // namespace gingerdyke::http_fields
