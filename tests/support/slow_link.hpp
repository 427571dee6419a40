// SPDX-License-Identifier: MIT
// A link of limited bandwidth in front of a server on the loopback address.
#pragma once

#include <algorithm>
#include <array>
#include <gingerdyke/proxy/asio.hpp>
#include <gingerdyke/routing/address.hpp>
#include <limits>
#include <memory>

namespace gingerdyke::test
{
/// \brief Passes connections on to a server. All of them share the bandwidth for what the server sends.
class slow_link
{
  public:
	slow_link(proxy::asio::io_context& context, routing::address target, double bytes_per_s)
		: context_(context), target_(std::move(target)), state_(std::make_shared<link_state>()),
		  acceptor_(context, {proxy::asio::ip::address_v4::loopback(), 0})
	{
		state_->bytes_per_s = bytes_per_s;
		accept();
	}

	~slow_link()
	{
		proxy::error_code ignored;
		acceptor_.close(ignored);
	}

	slow_link(const slow_link&) = delete;
	slow_link& operator=(const slow_link&) = delete;
	slow_link(slow_link&&) = delete;
	slow_link& operator=(slow_link&&) = delete;

	[[nodiscard]] routing::address at() const { return {"127.0.0.1", acceptor_.local_endpoint().port()}; }

	/// \brief Bytes that the server has sent through the link.
	[[nodiscard]] std::uint64_t passed_bytes() const noexcept { return state_->passed_bytes; }

	/// \brief Passes on this many bytes in all, and nothing after them.
	void stall_after(std::uint64_t bytes) { state_->max_bytes = bytes; }

  private:
	struct link_state
	{
		double bytes_per_s{};
		instant free_at{};
		std::uint64_t passed_bytes{};
		std::uint64_t max_bytes{std::numeric_limits<std::uint64_t>::max()};
	};

	/// One connection in one direction.
	class pipe : public std::enable_shared_from_this<pipe>
	{
	  public:
		pipe(std::shared_ptr<proxy::tcp::socket> from, std::shared_ptr<proxy::tcp::socket> to,
			std::shared_ptr<link_state> link)
			: from_(std::move(from)), to_(std::move(to)), link_(std::move(link)),
			  timer_(from_->get_executor())
		{
		}

		void read()
		{
			from_->async_read_some(proxy::asio::buffer(buffer_),
				[self = shared_from_this()](const proxy::error_code& error, std::size_t size)
				{
					if (error)
					{
						self->close();
						return;
					}
					self->pass_on(size);
				});
		}

	  private:
		void pass_on(std::size_t size)
		{
			if (!link_)
			{
				write(size);
				return;
			}
			if (link_->passed_bytes + size > link_->max_bytes)
			{
				return;
			}
			link_->passed_bytes += size;
			const auto needed =
				scaled(std::chrono::seconds{1}, static_cast<double>(size) / link_->bytes_per_s);
			link_->free_at = std::max(link_->free_at, proxy::steady_now()) + needed;
			timer_.expires_after(link_->free_at - proxy::steady_now());
			timer_.async_wait(
				[self = shared_from_this(), size](const proxy::error_code& error)
				{
					if (!error)
					{
						self->write(size);
					}
				});
		}

		void write(std::size_t size)
		{
			proxy::asio::async_write(*to_, proxy::asio::buffer(buffer_, size),
				[self = shared_from_this()](const proxy::error_code& error, std::size_t)
				{
					if (error)
					{
						self->close();
						return;
					}
					self->read();
				});
		}

		void close()
		{
			proxy::error_code ignored;
			from_->close(ignored);
			to_->close(ignored);
		}

		static constexpr std::size_t packet_bytes = 1460;

		std::shared_ptr<proxy::tcp::socket> from_;
		std::shared_ptr<proxy::tcp::socket> to_;
		std::shared_ptr<link_state> link_;
		proxy::boot_timer timer_;
		std::array<char, packet_bytes> buffer_{};
	};

	void accept()
	{
		acceptor_.async_accept(
			[this](const proxy::error_code& error, proxy::tcp::socket socket)
			{
				if (error)
				{
					return;
				}
				connect(std::make_shared<proxy::tcp::socket>(std::move(socket)));
				accept();
			});
	}

	void connect(const std::shared_ptr<proxy::tcp::socket>& caller)
	{
		const auto server = std::make_shared<proxy::tcp::socket>(context_);
		server->async_connect({proxy::asio::ip::make_address_v4(target_.ip), target_.port},
			[caller, server, state = state_](const proxy::error_code& error)
			{
				if (!error)
				{
					std::make_shared<pipe>(caller, server, nullptr)->read();
					std::make_shared<pipe>(server, caller, state)->read();
				}
			});
	}

	proxy::asio::io_context& context_;
	routing::address target_;
	std::shared_ptr<link_state> state_;
	proxy::tcp::acceptor acceptor_;
};
} // namespace gingerdyke::test
