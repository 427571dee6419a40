// SPDX-License-Identifier: MIT
// Hashes and message authentication codes, based on OpenSSL.
#include <array>
#include <gingerdyke/base/crypto.hpp>
#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <openssl/rand.h>
#include <openssl/sha.h>
#include <stdexcept>

namespace gingerdyke
{
namespace
{
const unsigned char* bytes_of(std::string_view text)
{
	return reinterpret_cast<const unsigned char*>(text.data());
}

std::string to_string(const unsigned char* bytes, std::size_t size)
{
	return {reinterpret_cast<const char*>(bytes), size};
}
} // namespace

std::string sha256_hex(std::string_view text)
{
	std::array<unsigned char, SHA256_DIGEST_LENGTH> digest{};
	SHA256(bytes_of(text), text.size(), digest.data());
	return to_hex(to_string(digest.data(), digest.size()));
}

std::string hmac_sha256(std::string_view key, std::string_view text)
{
	std::array<unsigned char, SHA256_DIGEST_LENGTH> digest{};
	unsigned size = digest.size();
	HMAC(EVP_sha256(), key.data(), static_cast<int>(key.size()), bytes_of(text), text.size(), digest.data(),
		&size);
	return to_string(digest.data(), size);
}

std::string to_hex(std::string_view bytes)
{
	constexpr std::string_view digits = "0123456789abcdef";
	std::string text;
	text.reserve(bytes.size() * 2);
	for (const char c : bytes)
	{
		const auto byte = static_cast<unsigned char>(c);
		text += digits[byte >> 4U];
		text += digits[byte & 0x0fU];
	}
	return text;
}

bool equal_in_constant_time(std::string_view a, std::string_view b) noexcept
{
	return a.size() == b.size() && CRYPTO_memcmp(a.data(), b.data(), a.size()) == 0;
}

std::string random_hex(std::size_t bytes)
{
	std::string raw(bytes, '\0');
	if (RAND_bytes(reinterpret_cast<unsigned char*>(raw.data()), static_cast<int>(bytes)) != 1)
	{
		throw std::runtime_error("the system gave no random bytes");
	}
	return to_hex(raw);
}

std::uint64_t stable_hash(std::string_view text) noexcept
{
	constexpr std::uint64_t offset = 0xcbf29ce484222325ULL;
	constexpr std::uint64_t prime = 0x100000001b3ULL;
	std::uint64_t hash = offset;
	for (const char c : text)
	{
		hash = (hash ^ static_cast<unsigned char>(c)) * prime;
	}
	return mix_hash(hash, text.size());
}

std::uint64_t mix_hash(std::uint64_t a, std::uint64_t b) noexcept
{
	std::uint64_t x = a ^ (b + 0x9e3779b97f4a7c15ULL + (a << 6U) + (a >> 2U));
	x = (x ^ (x >> 30U)) * 0xbf58476d1ce4e5b9ULL;
	x = (x ^ (x >> 27U)) * 0x94d049bb133111ebULL;
	return x ^ (x >> 31U);
}
} // namespace gingerdyke
