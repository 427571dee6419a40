// SPDX-License-Identifier: MIT
// Hashes and message authentication codes, based on OpenSSL.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace gingerdyke
{
/// \brief SHA-256 digest in lower-case hexadecimal.
[[nodiscard]] std::string sha256_hex(std::string_view text);

/// \brief HMAC-SHA-256 as 32 raw bytes.
[[nodiscard]] std::string hmac_sha256(std::string_view key, std::string_view text);

/// \brief Encodes bytes in lower-case hexadecimal.
[[nodiscard]] std::string to_hex(std::string_view bytes);

/// \brief Compares in constant time, so that timing does not reveal where two strings of equal length differ.
[[nodiscard]] bool equal_in_constant_time(std::string_view a, std::string_view b) noexcept;

/// \brief Cryptographically secure random bytes in hexadecimal.
/// \param bytes Number of bytes; the result is twice as long.
[[nodiscard]] std::string random_hex(std::size_t bytes);

/// \brief 64-bit hash (FNV-1a with a finalizer) that is the same on all VMs.
[[nodiscard]] std::uint64_t stable_hash(std::string_view text) noexcept;

/// \brief Combines two hashes into one.
[[nodiscard]] std::uint64_t mix_hash(std::uint64_t a, std::uint64_t b) noexcept;
} // namespace gingerdyke
