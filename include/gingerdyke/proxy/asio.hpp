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
#include <tl/expected.hpp>

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

/// \brief Whether the peer has ended its sending side in order (FIN) and has not reset the connection since.
/// The end of file that a read reports does not tell: the kernel reports a reset to one operation only, and
/// after a write has failed with it, reads end as after an orderly close.
/// \returns The error if the state of the connection can't be read.
[[nodiscard]] tl::expected<bool, error_code> has_closed_in_order(tcp::socket& socket);

/// \brief Opens an acceptor on an IPv4 address.
/// \param backlog Maximum number of connections that wait to be accepted.
/// \returns The error if it cannot listen; otherwise no error.
[[nodiscard]] error_code open_acceptor(
	tcp::acceptor& acceptor, const std::string& ip, std::uint16_t port, int backlog);
} // namespace gingerdyke::proxy
