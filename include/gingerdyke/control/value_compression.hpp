// SPDX-License-Identifier: MIT
// Compression of large row values that are sent between VMs.
#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace gingerdyke::control
{
/// \brief Size from which a value is compressed by itself, in bytes; below it the gain is not worth the work.
inline constexpr std::size_t large_value_bytes = 16U << 10U;

/// \brief Compresses a value.
/// \param base An earlier value that the receiver has; content of it costs next to nothing. Empty if there is
/// none.
[[nodiscard]] std::string compress_value(std::string_view value, std::string_view base);

/// \brief Restores a value; none if the bytes are malformed, were made with another base, or declare more
/// than `max_unpacked_bytes`.
[[nodiscard]] std::optional<std::string> decompress_value(std::string_view bytes, std::string_view base);
} // namespace gingerdyke::control
