// SPDX-License-Identifier: MIT
// HTTP requests and responses of the data path: header fields keep their order and letter case, bodies are
// bytes.
#pragma once

#include <gingerdyke/base/finding.hpp>
#include <gingerdyke/base/http_fields.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace gingerdyke::proxy
{
/// \brief One header field as received.
struct header_field
{
	std::string name;
	std::string value;
};

using header_fields = std::vector<header_field>;

using http_fields::equals_ignore_case;

/// \brief Value of the first field with a name; null if there is none.
[[nodiscard]] const std::string* find_field(const header_fields& fields, std::string_view name) noexcept;

/// \brief Whether a body is in a transfer coding that is not decoded. The field that names it is not passed
/// on.
[[nodiscard]] bool has_unknown_transfer_coding(const header_fields& fields) noexcept;

/// \brief Whether a comma-separated list contains a token.
[[nodiscard]] bool has_token(std::string_view list, std::string_view token) noexcept;

/// \brief Returns the end-to-end fields: without hop-by-hop fields, without those that the `Connection`
/// header names, and without `Content-Length`. The sender of the forwarded message adds framing.
[[nodiscard]] header_fields without_hop_by_hop_fields(const header_fields& fields);

/// \brief A complete request of a caller.
struct request
{
	std::string method;
	std::string target;
	header_fields fields;
	std::string body;

	/// The request is HTTP/1.1, not HTTP/1.0.
	bool is_http_11{true};

	/// The connection may carry further requests.
	bool keep_alive{true};

	/// \brief The target without its query string.
	[[nodiscard]] std::string_view path() const noexcept;

	[[nodiscard]] const std::string* find(std::string_view name) const noexcept
	{
		return find_field(fields, name);
	}
};

/// \brief Status line and headers of a replica's response.
struct response_head
{
	int status{};
	std::string reason;
	header_fields fields;

	/// Length of the body, if stated.
	std::optional<std::uint64_t> length;

	/// The body ends when the connection closes.
	bool ends_with_connection{};

	[[nodiscard]] const std::string* find(std::string_view name) const noexcept
	{
		return find_field(fields, name);
	}
};

/// \brief Whether a status is 2xx.
[[nodiscard]] constexpr bool is_success(int status) noexcept
{
	constexpr int first = 200;
	constexpr int after = 300;
	return status >= first && status < after;
}

/// \brief Whether a status states that the request has not run and never will: 408, 421, 429 and 503. Only
/// the replica that was sent the request, or a VM that sent it to none, can state that.
[[nodiscard]] constexpr bool is_refusal_status(int status) noexcept
{
	constexpr int request_timeout = 408;
	constexpr int misdirected = 421;
	constexpr int too_many_requests = 429;
	constexpr int unavailable = 503;
	return status == request_timeout || status == misdirected || status == too_many_requests ||
		   status == unavailable;
}

/// \brief Whether an executed request with this status has failed: with a server error, or with a refusal
/// status although it ran.
[[nodiscard]] constexpr bool is_failure(int status) noexcept
{
	constexpr int first_server_error = 500;
	return status >= first_server_error || is_refusal_status(status);
}

/// \brief Validates the raw bytes of a header block before it is parsed. Rejects whatever two parsers may
/// interpret differently, to prevent request smuggling.
/// \param block The header block including the empty line that ends it.
/// \returns What is wrong with it; none if it is valid.
[[nodiscard]] std::optional<std::string> find_header_fault(std::string_view block);

/// \brief Serializes the request line and headers of a request to a replica.
/// \param body_size Size of the body that follows.
/// \param fields End-to-end fields; framing is added here.
[[nodiscard]] std::string write_request_head(
	const request& outgoing, std::size_t body_size, const header_fields& fields);

/// \brief Serializes the status line and headers of a response.
/// \param framing Fields that frame the body, such as `Content-Length`.
[[nodiscard]] std::string write_head(
	int status, std::string_view reason, const header_fields& fields, const header_fields& framing);

/// \brief Serializes one chunk of a chunked body.
[[nodiscard]] std::string write_chunk(std::string_view bytes);

/// \brief The standard reason phrase of a status code.
[[nodiscard]] std::string_view reason_phrase(int status) noexcept;
} // namespace gingerdyke::proxy
