// SPDX-License-Identifier: MIT
// Names and values of HTTP header fields (RFC 9110, RFC 9112).
#pragma once

#include <string_view>

namespace gingerdyke::http_fields
{
/// \brief Compares names and tokens: ASCII, case-insensitive.
[[nodiscard]] bool equals_ignore_case(std::string_view a, std::string_view b) noexcept;

/// \brief Returns a text without the blanks and tabs around it.
[[nodiscard]] std::string_view trim(std::string_view text) noexcept;

/// \brief Whether a name is a token (RFC 9110, 5.6.2), as the name of every field must be.
[[nodiscard]] bool is_valid_name(std::string_view name) noexcept;

/// \brief Whether a text holds a control byte other than a tab, as no value of a field may.
[[nodiscard]] bool has_control_byte(std::string_view text) noexcept;

/// \brief Whether a field says that the body is in a transfer coding other than `chunked` alone, the
/// only one that is decoded.
[[nodiscard]] bool is_unknown_transfer_coding(std::string_view name, std::string_view value) noexcept;
} // namespace gingerdyke::http_fields
