// SPDX-License-Identifier: MIT
// A loopback proxy that harms the connections going through it.
#pragma once

#include <gingerdyke/proxy/asio.hpp>
#include <gingerdyke/routing/address.hpp>
#include <list>
#include <memory>

namespace gingerdyke::soak
{
/// \brief What happens to connections.
enum class link_fault
{
	none,
	/// Every piece of bytes comes late.
	delayed,
	/// Nothing gets through, and nobody is told.
	silent,
	/// Only answers do not get through.
	one_way,
	/// Connections are reset, new ones too.
	reset,
	/// Connections are reset, and nobody listens: what is behind has ended.
	refused,
	/// Open connections work, new ones are refused.
	refused_new,
	/// Nothing gets through, and new connections do not come up.
	unanswered,
};

/// \brief The word for a fault.
[[nodiscard]] const char* name_of(link_fault fault) noexcept;

/// \brief Passes connections on to one target.
class link_proxy
{
  public:
	link_proxy(proxy::asio::io_context& context, routing::address target);
	~link_proxy();

	[[nodiscard]] routing::address at() const;

	/// \brief Sets what happens from now on, to connections that are open too. Bytes that were held back go
	/// on when the fault ends.
	void set(link_fault fault);

  private:
	class pair;

	void accept();
	void stop_listening();
	void stop_answering();
	void listen_again();

	proxy::asio::io_context& context_;
	routing::address target_;
	proxy::tcp::acceptor acceptor_;
	std::uint16_t port_;
	bool listens_ = true;

	/// Fills the queue of connections that wait to be accepted.
	proxy::tcp::socket unaccepted_;
	std::shared_ptr<link_fault> fault_;
	std::list<std::weak_ptr<pair>> pairs_;
};
} // namespace gingerdyke::soak
