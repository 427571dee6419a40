// SPDX-License-Identifier: MIT
// A server that answers an upload before it has read it.
#pragma once

#include <array>
#include <functional>
#include <gingerdyke/proxy/asio.hpp>
#include <gingerdyke/routing/address.hpp>
#include <memory>
#include <string>
#include <utility>

namespace gingerdyke::test
{
/// \brief How a server ends its connection after an early answer.
enum class upload_ending
{
	/// It resets the connection in the same moment; most of the upload is not read.
	reset,

	/// It closes without having read the upload, which makes the kernel reset the connection.
	close_unread,

	/// It ends its sending side and reads the rest of the upload.
	shut_down_and_read,

	/// It reads the rest of the upload and closes then.
	read_and_close,
};

/// \brief Answers each connection once the head of a request has come. Its receive buffer is small, so that
/// a long upload to it is still being written when it answers.
class upload_server
{
  public:
	/// \brief Makes the answer to a request, of which the head and a part of the body are given.
	using script = std::function<std::string(const std::string& request)>;

	/// \param upload_bytes Size of the body of each request.
	upload_server(
		proxy::asio::io_context& context, script answer, upload_ending ending, std::size_t upload_bytes)
		: state_(std::make_shared<server_state>()), acceptor_(context, proxy::tcp::v4())
	{
		state_->answer = std::move(answer);
		state_->ending = ending;
		state_->upload_bytes = upload_bytes;
		// The window that a connection begins with is that of its acceptor.
		acceptor_.set_option(proxy::asio::socket_base::receive_buffer_size{receive_buffer_bytes});
		acceptor_.bind({proxy::asio::ip::address_v4::loopback(), 0});
		acceptor_.listen();
		accept();
	}

	[[nodiscard]] routing::address at() const { return {"127.0.0.1", acceptor_.local_endpoint().port()}; }

	/// \brief Requests that were answered.
	[[nodiscard]] unsigned answered() const noexcept { return state_->answered; }

  private:
	static constexpr int receive_buffer_bytes = 16384;
	static constexpr std::size_t read_bytes = 4096;

	struct server_state
	{
		script answer;
		upload_ending ending{};
		std::size_t upload_bytes = 0;
		unsigned answered = 0;
	};

	class connection : public std::enable_shared_from_this<connection>
	{
	  public:
		connection(proxy::tcp::socket socket, std::shared_ptr<server_state> state)
			: socket_(std::move(socket)), state_(std::move(state))
		{
		}

		void read()
		{
			socket_.async_read_some(proxy::asio::buffer(buffer_),
				[self = shared_from_this()](const proxy::error_code& error, std::size_t size)
				{
					if (!error)
					{
						self->on_bytes(size);
					}
				});
		}

	  private:
		void on_bytes(std::size_t size)
		{
			received_bytes_ += size;
			if (!is_answered_)
			{
				begin_.append(buffer_.data(), size);
			}
			const auto head = begin_.find("\r\n\r\n");
			if (head == std::string::npos)
			{
				read();
				return;
			}
			if (!std::exchange(is_answered_, true))
			{
				request_bytes_ = head + std::string_view{"\r\n\r\n"}.size() + state_->upload_bytes;
				answer();
			}
			if (!socket_.is_open())
			{
				return;
			}
			proxy::error_code ignored;
			if (received_bytes_ >= request_bytes_)
			{
				socket_.close(ignored);
				return;
			}
			read();
		}

		/// The bytes and the end of the connection are written in one step, while the upload is under way.
		void answer()
		{
			++state_->answered;
			proxy::error_code ignored;
			proxy::asio::write(socket_, proxy::asio::buffer(state_->answer(begin_)), ignored);
			switch (state_->ending)
			{
			case upload_ending::reset:
				socket_.set_option(proxy::asio::socket_base::linger{true, 0}, ignored);
				socket_.close(ignored);
				break;
			case upload_ending::close_unread:
				socket_.close(ignored);
				break;
			case upload_ending::shut_down_and_read:
				socket_.shutdown(proxy::tcp::socket::shutdown_send, ignored);
				break;
			case upload_ending::read_and_close:
				break;
			}
		}

		proxy::tcp::socket socket_;
		std::shared_ptr<server_state> state_;
		std::array<char, read_bytes> buffer_{};
		std::string begin_;
		std::size_t received_bytes_ = 0;
		std::size_t request_bytes_ = 0;
		bool is_answered_ = false;
	};

	void accept()
	{
		acceptor_.async_accept(
			[this](const proxy::error_code& error, proxy::tcp::socket socket)
			{
				if (!error)
				{
					std::make_shared<connection>(std::move(socket), state_)->read();
					accept();
				}
			});
	}

	std::shared_ptr<server_state> state_;
	proxy::tcp::acceptor acceptor_;
};
} // namespace gingerdyke::test
