// SPDX-License-Identifier: MIT
// A cpp-httplib server set up for many kept-alive connections.
#include <gingerdyke/http/listener.hpp>
#include <sys/socket.h>

namespace gingerdyke::http
{
namespace
{
constexpr int backlog = 1024;
constexpr std::size_t requests_per_connection = 1'000'000;
constexpr time_t write_seconds = 30;
} // namespace

listener::listener(const listener_limits& limits)
{
	server_.set_tcp_nodelay(true);
	server_.set_keep_alive_max_count(requests_per_connection);
	server_.set_keep_alive_timeout(limits.idle_seconds);
	server_.set_read_timeout(limits.idle_seconds);
	server_.set_write_timeout(write_seconds);
	server_.set_payload_max_length(limits.body_bytes);
	const auto connections = limits.connections;
	server_.new_task_queue = [connections] { return new httplib::ThreadPool(connections); };
	server_.set_socket_options(
		[socket = socket_](socket_t descriptor)
		{
			const int yes = 1;
			::setsockopt(descriptor, SOL_SOCKET, SO_REUSEADDR, &yes, sizeof(yes));
			*socket = descriptor;
		});
}

int listener::bind(const std::string& host, int port)
{
	if (port == 0)
	{
		port = server_.bind_to_any_port(host);
	}
	else if (!server_.bind_to_port(host, port))
	{
		port = -1;
	}
	if (port > 0)
	{
		::listen(*socket_, backlog);
	}
	return port;
}

void listener::run()
{
	server_.listen_after_bind();
}

void listener::stop()
{
	server_.stop();
}
} // namespace gingerdyke::http
