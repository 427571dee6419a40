// SPDX-License-Identifier: MIT
// A cpp-httplib server set up for many kept-alive connections.
#pragma once

#include <cstddef>
#include <httplib.h>
#include <memory>
#include <string>

namespace gingerdyke::http
{
/// \brief What a listener takes.
struct listener_limits
{
	std::size_t connections = 512;
	std::size_t body_bytes = 1U << 20U;
	time_t idle_seconds = 30;
};

/// \brief A server bound to its address. The library compiles in a backlog of 5, which loses connections
/// opened at once; the listener raises it.
class listener
{
  public:
	explicit listener(const listener_limits& limits);

	/// \brief Routes are added here before `run`.
	[[nodiscard]] httplib::Server& server() noexcept { return server_; }

	/// \brief Binds.
	/// \param port 0: a free one.
	/// \returns The port, or a negative number where the address can't be had.
	[[nodiscard]] int bind(const std::string& host, int port);

	/// \brief Serves until `stop`.
	void run();

	void stop();

  private:
	httplib::Server server_;
	std::shared_ptr<int> socket_ = std::make_shared<int>(-1);
};
} // namespace gingerdyke::http
