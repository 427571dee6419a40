// SPDX-License-Identifier: MIT
// HTTP status codes in use (RFC 9110, RFC 6585).
#pragma once

namespace gingerdyke::http_status
{
inline constexpr int switching_protocols = 101;
inline constexpr int ok = 200;
inline constexpr int accepted = 202;
inline constexpr int bad_request = 400;
inline constexpr int unauthorized = 401;
inline constexpr int forbidden = 403;
inline constexpr int not_found = 404;
inline constexpr int conflict = 409;
inline constexpr int gone = 410;
inline constexpr int unprocessable = 422;
inline constexpr int precondition_required = 428;
inline constexpr int too_many_requests = 429;
inline constexpr int server_error = 500;
inline constexpr int bad_gateway = 502;
inline constexpr int unavailable = 503;

/// \brief First status code of any error, and first of a server error.
inline constexpr int lowest_error = 400;
inline constexpr int lowest_server_error = 500;

/// \brief Range of the status codes of interim responses, and of all that a response may have (RFC 9110, 15).
inline constexpr int lowest_interim = 100;
inline constexpr int lowest_final = 200;
inline constexpr int highest = 599;

/// \brief Whether a response with this status is followed by the final one. A 101 isn't: it accepts an
/// upgrade, and none is ever requested.
[[nodiscard]] constexpr bool is_interim(int status) noexcept
{
	return status >= lowest_interim && status < lowest_final && status != switching_protocols;
}

/// \brief Whether a response with this status may answer a request.
[[nodiscard]] constexpr bool is_final(int status) noexcept
{
	return status >= lowest_final && status <= highest;
}
} // namespace gingerdyke::http_status
