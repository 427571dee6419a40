// SPDX-License-Identifier: MIT
// Hashes and message authentication, by OpenSSL.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace gingerdyke
{
/// \brief SHA-256 of a text, in lower-case hexadecimal.
[[nodiscard]] std::string sha256_hex(std::string_view text);

/// \brief HMAC-SHA-256, 32 raw bytes.
[[nodiscard]] std::string hmac_sha256(std::string_view key, std::string_view text);

/// \brief Lower-case hexadecimal of raw bytes.
[[nodiscard]] std::string to_hex(std::string_view bytes);

/// \brief Compares without telling by its time where two texts differ.
[[nodiscard]] bool equal_in_constant_time(std::string_view a, std::string_view b) noexcept;

/// \brief Random bytes from the system, as hexadecimal.
/// \param bytes Number of bytes; the text is twice as long.
[[nodiscard]] std::string random_hex(std::size_t bytes);

/// \brief A stable, well-mixed 64-bit hash of a text (FNV-1a with a final mix); the same on all VMs.
[[nodiscard]] std::uint64_t stable_hash(std::string_view text) noexcept;

/// \brief Mixes two hashes into one.
[[nodiscard]] std::uint64_t mix_hash(std::uint64_t a, std::uint64_t b) noexcept;
} // namespace gingerdyke
