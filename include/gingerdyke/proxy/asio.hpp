// SPDX-License-Identifier: MIT
// Includes Boost.Asio and Boost.Beast. All other files include this one: Boost 1.74 needs <utility> before
// Asio under C++20.
#pragma once

#include <utility>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <gingerdyke/proxy/timer.hpp>
#include <string>

namespace gingerdyke::proxy
{
namespace asio = boost::asio;
namespace beast = boost::beast;
using tcp = asio::ip::tcp;
using error_code = boost::system::error_code;

using gingerdyke::steady_now;

/// \brief Sets the options of every TCP connection: no Nagle delay, and keep-alive probes that detect an
/// unreachable peer within seconds.
void set_connection_options(tcp::socket& socket);

/// \brief Sets how long sent bytes may stay unacknowledged before the kernel drops the connection
/// (`TCP_USER_TIMEOUT`).
void set_unacknowledged_timeout(tcp::socket& socket, duration timeout);

/// \brief Sets it back to what `set_connection_options` set.
void restore_unacknowledged_timeout(tcp::socket& socket);

/// \brief Opens an acceptor on an IPv4 address.
/// \param backlog Maximum number of connections that wait to be accepted.
/// \returns The error if it cannot listen; otherwise no error.
[[nodiscard]] error_code open_acceptor(
	tcp::acceptor& acceptor, const std::string& ip, std::uint16_t port, int backlog);
} // namespace gingerdyke::proxy
