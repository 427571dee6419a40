// SPDX-License-Identifier: MIT
// Options of sockets.
#include <gingerdyke/proxy/asio.hpp>
#include <netinet/tcp.h>

namespace gingerdyke::proxy
{
namespace
{
/// Seconds of silence before a connection is probed, between probes, and probes until it is given up. A
/// replica that is silently gone is noticed within 3 s; silence of one request is bounded elsewhere.
constexpr int probe_idle_s = 2;
constexpr int probe_interval_s = 1;
constexpr int probe_count = 2;

/// Milliseconds that sent bytes may stay unacknowledged: as long as the probes take.
constexpr unsigned unacknowledged_ms = 3000;
} // namespace

void set_connection_options(tcp::socket& socket)
{
	error_code ignored;
	socket.set_option(tcp::no_delay{true}, ignored);
	socket.set_option(asio::socket_base::keep_alive{true}, ignored);
	const auto fd = socket.native_handle();
	const auto set = [fd](int name, auto value)
	{ static_cast<void>(::setsockopt(fd, IPPROTO_TCP, name, &value, sizeof(value))); };
	set(TCP_KEEPIDLE, probe_idle_s);
	set(TCP_KEEPINTVL, probe_interval_s);
	set(TCP_KEEPCNT, probe_count);
	set(TCP_USER_TIMEOUT, unacknowledged_ms);
}

error_code open_acceptor(tcp::acceptor& acceptor, const std::string& ip, std::uint16_t port, int backlog)
{
	error_code error;
	const auto address = asio::ip::make_address_v4(ip, error);
	if (!error)
	{
		acceptor.open(tcp::v4(), error);
	}
	if (!error)
	{
		acceptor.set_option(asio::socket_base::reuse_address{true}, error);
	}
	if (!error)
	{
		acceptor.bind({address, port}, error);
	}
	if (!error)
	{
		acceptor.listen(backlog, error);
	}
	return error;
}
} // namespace gingerdyke::proxy
