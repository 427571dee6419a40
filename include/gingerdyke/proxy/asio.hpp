// SPDX-License-Identifier: MIT
// The one place where Boost.Asio is included: version 1.74 needs <utility> before it under C++20.
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

/// \brief Sets the options that every connection has: no delay of small writes, and a peer that is silently
/// gone is noticed within seconds.
void set_connection_options(tcp::socket& socket);

/// \brief Sets how long sent bytes may stay unacknowledged before a connection counts as broken.
void set_unacknowledged_timeout(tcp::socket& socket, duration timeout);

/// \brief Opens an acceptor at an address.
/// \param backlog Connections that wait to be accepted.
/// \returns What stands against it; none where it listens.
[[nodiscard]] error_code open_acceptor(
	tcp::acceptor& acceptor, const std::string& ip, std::uint16_t port, int backlog);
} // namespace gingerdyke::proxy
