// SPDX-License-Identifier: MIT
// A server whose answers do not end.
#pragma once

#include <gingerdyke/proxy/asio.hpp>
#include <gingerdyke/routing/address.hpp>
#include <memory>
#include <string>
#include <utility>

namespace gingerdyke::test
{
/// \brief Sends the same bytes again and again on each connection, once something was asked, until the caller
/// closes it.
class endless_server
{
  public:
	/// \param first Sent once, before the bytes that are repeated.
	endless_server(proxy::asio::io_context& context, std::string first, std::string repeated)
		: state_(std::make_shared<server_state>()),
		  acceptor_(context, {proxy::asio::ip::address_v4::loopback(), 0})
	{
		state_->first = std::move(first);
		state_->repeated = std::move(repeated);
		accept();
	}

	[[nodiscard]] routing::address at() const { return {"127.0.0.1", acceptor_.local_endpoint().port()}; }

	/// \brief Connections that were asked something, and those of them that the caller has closed.
	[[nodiscard]] unsigned asked() const noexcept { return state_->asked; }
	[[nodiscard]] unsigned closed() const noexcept { return state_->closed; }

	/// \brief Bytes sent so far.
	[[nodiscard]] std::uint64_t sent_bytes() const noexcept { return state_->sent_bytes; }

  private:
	struct server_state
	{
		std::string first;
		std::string repeated;
		unsigned asked = 0;
		unsigned closed = 0;
		std::uint64_t sent_bytes = 0;
	};

	class connection : public std::enable_shared_from_this<connection>
	{
	  public:
		connection(proxy::tcp::socket socket, std::shared_ptr<server_state> state)
			: socket_(std::move(socket)), state_(std::move(state))
		{
		}

		void start()
		{
			socket_.async_read_some(proxy::asio::buffer(request_),
				[self = shared_from_this()](const proxy::error_code& error, std::size_t)
				{
					if (!error)
					{
						++self->state_->asked;
						self->send(self->state_->first);
					}
				});
		}

	  private:
		void send(const std::string& bytes)
		{
			proxy::asio::async_write(socket_, proxy::asio::buffer(bytes),
				[self = shared_from_this()](const proxy::error_code& error, std::size_t size)
				{
					if (error)
					{
						++self->state_->closed;
						return;
					}
					self->state_->sent_bytes += size;
					self->send(self->state_->repeated);
				});
		}

		proxy::tcp::socket socket_;
		std::shared_ptr<server_state> state_;
		std::string request_ = std::string(4096, '\0');
	};

	void accept()
	{
		acceptor_.async_accept(
			[this](const proxy::error_code& error, proxy::tcp::socket socket)
			{
				if (!error)
				{
					std::make_shared<connection>(std::move(socket), state_)->start();
					accept();
				}
			});
	}

	std::shared_ptr<server_state> state_;
	proxy::tcp::acceptor acceptor_;
};
} // namespace gingerdyke::test
