// SPDX-License-Identifier: MIT
// Requests and answers as the data path handles them: header fields in order and case, bodies as bytes.
#pragma once

#include <gingerdyke/base/finding.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace gingerdyke::proxy
{
/// \brief One header field as it came.
struct header_field
{
	std::string name;
	std::string value;
};

using header_fields = std::vector<header_field>;

/// \brief Compares header names and tokens: ASCII, without regard to case.
[[nodiscard]] bool equals_ignore_case(std::string_view a, std::string_view b) noexcept;

/// \brief Value of the first field of a name, or null.
[[nodiscard]] const std::string* find_field(const header_fields& fields, std::string_view name) noexcept;

/// \brief Whether a comma-separated list holds a token.
[[nodiscard]] bool has_token(std::string_view list, std::string_view token) noexcept;

/// \brief Fields that are meant for the next hop but one: without those of a single connection and those that
/// the `Connection` header names. Framing is left to whoever sends the message on.
[[nodiscard]] header_fields without_hop_by_hop_fields(const header_fields& fields);

/// \brief A caller's request, whole.
struct request
{
	std::string method;
	std::string target;
	header_fields fields;
	std::string body;

	/// The caller speaks HTTP/1.1 and not 1.0.
	bool is_http_11{true};

	/// The connection may be used for another request afterwards.
	bool keep_alive{true};

	/// \brief The target without its query.
	[[nodiscard]] std::string_view path() const noexcept;

	[[nodiscard]] const std::string* find(std::string_view name) const noexcept
	{
		return find_field(fields, name);
	}
};

/// \brief The head of a replica's answer.
struct response_head
{
	int status{};
	std::string reason;
	header_fields fields;

	/// Length of the body where it was stated.
	std::optional<std::uint64_t> length;

	/// The body ends with the connection.
	bool ends_with_connection{};

	[[nodiscard]] const std::string* find(std::string_view name) const noexcept
	{
		return find_field(fields, name);
	}
};

/// \brief Checks the raw bytes of a header block before they are parsed: what two parsers may read in two
/// ways is refused. \param block The block with its closing empty line. \returns Nothing, or what is wrong
/// with it.
[[nodiscard]] std::optional<std::string> find_header_fault(std::string_view block);

/// \brief Writes a request for a replica.
/// \param fields End-to-end fields; framing is added here.
[[nodiscard]] std::string serialize_request(const request& what, const header_fields& fields);

/// \brief Writes the head of an answer.
/// \param framing Fields that frame the body, such as `Content-Length`.
[[nodiscard]] std::string write_head(
	int status, std::string_view reason, const header_fields& fields, const header_fields& framing);

/// \brief Writes one chunk of a chunked body.
[[nodiscard]] std::string write_chunk(std::string_view bytes);

/// \brief The usual reason phrase of a status.
[[nodiscard]] std::string_view reason_phrase(int status) noexcept;
} // namespace gingerdyke::proxy
