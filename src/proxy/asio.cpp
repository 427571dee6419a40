// SPDX-License-Identifier: MIT
// Socket options.
#include <cerrno>
#include <gingerdyke/proxy/asio.hpp>
#include <netinet/tcp.h>

namespace gingerdyke::proxy
{
namespace
{
/// Seconds of silence before keep-alive probes start, interval between them, and number of unanswered probes
/// after which the connection is dropped. An unreachable peer is detected within 3 s; there are two probes,
/// since one may be lost.
constexpr int keep_alive_idle_s = 1;
constexpr int keep_alive_interval_s = 1;
constexpr int keep_alive_probe_count = 2;

/// Default time that sent bytes may stay unacknowledged: as long as the keep-alive probes take. A shorter
/// time would end connections after fewer probes, as `TCP_USER_TIMEOUT` replaces the number of probes.
constexpr int ms_per_s = 1000;
constexpr int unacknowledged_timeout_ms =
	(keep_alive_idle_s + keep_alive_interval_s * keep_alive_probe_count) * ms_per_s;

void set_tcp_option(tcp::socket& socket, int name, int value)
{
	// If the kernel lacks an option, an unreachable peer is only detected later.
	static_cast<void>(::setsockopt(socket.native_handle(), IPPROTO_TCP, name, &value, sizeof(value)));
}
} // namespace

void set_connection_options(tcp::socket& socket)
{
	error_code ignored;
	socket.set_option(tcp::no_delay{true}, ignored);
	socket.set_option(asio::socket_base::keep_alive{true}, ignored);
	set_tcp_option(socket, TCP_KEEPIDLE, keep_alive_idle_s);
	set_tcp_option(socket, TCP_KEEPINTVL, keep_alive_interval_s);
	set_tcp_option(socket, TCP_KEEPCNT, keep_alive_probe_count);
	set_tcp_option(socket, TCP_USER_TIMEOUT, unacknowledged_timeout_ms);
}

void set_unacknowledged_timeout(tcp::socket& socket, duration timeout)
{
	const auto ms = std::chrono::duration_cast<std::chrono::milliseconds>(timeout).count();
	set_tcp_option(socket, TCP_USER_TIMEOUT, static_cast<int>(ms));
}

void restore_unacknowledged_timeout(tcp::socket& socket)
{
	set_tcp_option(socket, TCP_USER_TIMEOUT, unacknowledged_timeout_ms);
}

tl::expected<bool, error_code> has_closed_in_order(tcp::socket& socket)
{
	tcp_info info{};
	socklen_t size = sizeof(info);
	if (::getsockopt(socket.native_handle(), IPPROTO_TCP, TCP_INFO, &info, &size) != 0)
	{
		return tl::make_unexpected(error_code{errno, boost::system::system_category()});
	}
	return info.tcpi_state == TCP_CLOSE_WAIT;
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
