// SPDX-License-Identifier: MIT
// Frames between entry VMs: `length (4 bytes, big-endian) | HMAC-SHA-256 (32 bytes) | Thrift compact
// envelope`.
#pragma once

#include <cstddef>
#include <gingerdyke/peer/message.hpp>
#include <optional>
#include <string>
#include <string_view>

namespace gingerdyke::peer
{
/// Bytes of the length before each frame.
inline constexpr std::size_t length_bytes = 4;

/// Bytes of the authentication code at the head of a frame.
inline constexpr std::size_t mac_bytes = 32;

/// \brief Largest frame taken or sent, in bytes, without its length.
inline constexpr std::size_t largest_frame = 8U << 20U;

/// \brief Writes a whole frame with its length.
/// \param secret The peer secret of the settings.
[[nodiscard]] std::string encode(const envelope& envelope, std::string_view secret);

/// \brief Reads the length before a frame.
/// \returns Nothing where the frame would be too small or too large.
[[nodiscard]] std::optional<std::size_t> frame_length(std::string_view head);

/// \brief Reads a frame without its length.
/// \returns Nothing where it was forged, cut, or says something unknown.
[[nodiscard]] std::optional<envelope> decode(std::string_view frame, std::string_view secret);

/// \brief Reads an envelope whose authentication was checked; never throws on any bytes.
[[nodiscard]] std::optional<envelope> decode_body(std::string_view bytes);
} // namespace gingerdyke::peer
