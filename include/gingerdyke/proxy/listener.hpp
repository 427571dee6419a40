// SPDX-License-Identifier: MIT
// Accepts connections of callers on one address.
#pragma once

#include <gingerdyke/proxy/caller_connection.hpp>
#include <gingerdyke/routing/address.hpp>
#include <memory>
#include <vector>

namespace gingerdyke::proxy
{
/// \brief Listens on an address and keeps track of the accepted connections.
class listener
{
  public:
	listener(asio::io_context& context, std::shared_ptr<const caller_connection_callbacks> callbacks);

	/// \brief Closes all connections and cancels their requests, which keep each other alive.
	~listener();

	listener(const listener&) = delete;
	listener& operator=(const listener&) = delete;
	listener(listener&&) = delete;
	listener& operator=(listener&&) = delete;

	/// \brief Starts to listen.
	/// \returns The error if it cannot listen; otherwise no error.
	[[nodiscard]] error_code listen(const routing::address& at);

	/// \brief The local port; needed after listening on port 0.
	[[nodiscard]] std::uint16_t port() const;

	/// \brief Closes connections without a request. During a shutdown the others close after their response.
	void close_idle();

	/// \brief Stops accepting connections.
	void stop();

	/// \brief Number of connections with a request in progress.
	[[nodiscard]] std::size_t busy() const;

  private:
	void accept();
	void remove_closed();

	std::shared_ptr<const caller_connection_callbacks> callbacks_;
	tcp::acceptor acceptor_;
	boot_timer accept_retry_timer_;
	std::vector<std::weak_ptr<caller_connection>> connections_;
	std::size_t removal_threshold_;
};
} // namespace gingerdyke::proxy
