// SPDX-License-Identifier: MIT
// The limit on unacknowledged bytes does not end connections before their keep-alive probes do.
#include "../support/event_loop.hpp"
#include <netinet/tcp.h>

using namespace gingerdyke;

namespace
{
int tcp_option(proxy::tcp::socket& socket, int name)
{
	int value = 0;
	socklen_t size = sizeof(value);
	REQUIRE(::getsockopt(socket.native_handle(), IPPROTO_TCP, name, &value, &size) == 0);
	return value;
}

/// Time from the last byte received until unanswered probes end the connection, in milliseconds.
int probe_time_ms(proxy::tcp::socket& socket)
{
	constexpr int ms_per_s = 1000;
	return (tcp_option(socket, TCP_KEEPIDLE) +
			   tcp_option(socket, TCP_KEEPINTVL) * tcp_option(socket, TCP_KEEPCNT)) *
		   ms_per_s;
}
} // namespace

TEST_CASE("a peer that is silent for a second keeps its connection", "[proxy]")
{
	proxy::asio::io_context context{1};
	proxy::tcp::socket socket{context, proxy::tcp::v4()};
	proxy::set_connection_options(socket);
	CHECK(tcp_option(socket, TCP_USER_TIMEOUT) >= probe_time_ms(socket));
	proxy::set_unacknowledged_timeout(socket, std::chrono::milliseconds{900});
	CHECK(tcp_option(socket, TCP_USER_TIMEOUT) == 900);
	proxy::restore_unacknowledged_timeout(socket);
	CHECK(tcp_option(socket, TCP_USER_TIMEOUT) >= probe_time_ms(socket));
}
