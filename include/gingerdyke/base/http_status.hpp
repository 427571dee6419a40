// SPDX-License-Identifier: MIT
// HTTP status codes in use (RFC 9110, RFC 6585).
#pragma once

namespace gingerdyke::http_status
{
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
} // namespace gingerdyke::http_status
