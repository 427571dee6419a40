// SPDX-License-Identifier: MIT
// Accepts callers at one address.
#pragma once

#include <gingerdyke/proxy/caller_link.hpp>
#include <gingerdyke/routing/address.hpp>
#include <memory>
#include <vector>

namespace gingerdyke::proxy
{
/// \brief Listens at an address and keeps the connections that come.
class listener
{
  public:
	listener(asio::io_context& context, std::shared_ptr<const caller_connection_callbacks> callbacks);

	/// \brief Begins to listen.
	/// \returns What stands against it; none where it listens.
	[[nodiscard]] error_code listen(const routing::address& at);

	/// \brief Address in use; useful after listening at port 0.
	[[nodiscard]] std::uint16_t port() const;

	/// \brief Closes connections without a request; others close after their answer while the host is
	/// stopping.
	void close_idle();

	/// \brief Stops accepting.
	void stop();

	/// \brief Connections with a request under way.
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
