// SPDX-License-Identifier: MIT
// Replicas and callers as bytes.
#include "scripted_peer.hpp"

namespace gingerdyke::test
{
namespace
{
constexpr std::size_t read_size = 65536;

proxy::tcp::endpoint loopback(std::uint16_t port)
{
	return {proxy::asio::ip::address_v4::loopback(), port};
}
} // namespace

std::size_t message_length(const std::string& bytes)
{
	const auto head = bytes.find("\r\n\r\n");
	if (head == std::string::npos)
	{
		return 0;
	}
	const std::string name = "Content-Length: ";
	const auto at = bytes.find(name);
	const auto body = at == std::string::npos || at > head ? 0 : std::stoull(bytes.substr(at + name.size()));
	const auto length = head + 4 + body;
	return bytes.size() < length ? 0 : length;
}

scripted_replica::scripted_replica(proxy::asio::io_context& context, script answer)
	: acceptor_(context, loopback(0)), endpoint_(acceptor_.local_endpoint()), answer_(std::move(answer))
{
	accept();
}

routing::address scripted_replica::at() const
{
	return {"127.0.0.1", endpoint_.port()};
}

void scripted_replica::accept()
{
	acceptor_.async_accept(
		[this](const proxy::error_code& error, proxy::tcp::socket socket)
		{
			if (error)
			{
				return;
			}
			++accepted_;
			const auto made = std::make_shared<connection>(std::move(socket));
			connections_.push_back(made);
			read(made);
			accept();
		});
}

void scripted_replica::read(const std::shared_ptr<connection>& from)
{
	const auto buffer = std::make_shared<std::string>(read_size, '\0');
	from->socket.async_read_some(proxy::asio::buffer(*buffer),
		[this, from, buffer](const proxy::error_code& error, std::size_t size)
		{
			if (error)
			{
				++ended_;
				connections_.remove(from);
				return;
			}
			from->received.append(*buffer, 0, size);
			on_bytes(from);
			if (from->socket.is_open())
			{
				read(from);
			}
		});
}

void scripted_replica::on_bytes(const std::shared_ptr<connection>& from)
{
	const auto length = message_length(from->received);
	if (length == 0)
	{
		return;
	}
	last_ = from;
	requests_.push_back(from->received.substr(0, length));
	from->received.erase(0, length);
	const auto answer = answer_(requests_.back());
	if (has_crashed())
	{
		return;
	}
	send_more(answer.bytes);
	proxy::error_code ignored;
	if (answer.resets)
	{
		from->socket.set_option(proxy::asio::socket_base::linger{true, 0}, ignored);
	}
	if (answer.closes || answer.resets)
	{
		from->socket.close(ignored);
	}
}

void scripted_replica::send_more(const std::string& bytes)
{
	proxy::error_code ignored;
	if (last_ && !bytes.empty())
	{
		proxy::asio::write(last_->socket, proxy::asio::buffer(bytes), ignored);
	}
}

void scripted_replica::close_last()
{
	proxy::error_code ignored;
	last_->socket.close(ignored);
}

void scripted_replica::crash()
{
	proxy::error_code ignored;
	acceptor_.close(ignored);
	for (const auto& one : connections_)
	{
		one->socket.set_option(proxy::asio::socket_base::linger{true, 0}, ignored);
		one->socket.close(ignored);
	}
}

void scripted_replica::restart()
{
	acceptor_.open(endpoint_.protocol());
	acceptor_.set_option(proxy::asio::socket_base::reuse_address{true});
	acceptor_.bind(endpoint_);
	acceptor_.listen();
	accept();
}

scripted_caller::scripted_caller(proxy::asio::io_context& context, std::uint16_t port)
	: state_(std::make_shared<state>(context))
{
	state_->socket.connect(loopback(port));
	read(state_);
}

scripted_caller::~scripted_caller()
{
	leave();
}

void scripted_caller::send(const std::string& bytes)
{
	proxy::error_code ignored;
	proxy::asio::write(state_->socket, proxy::asio::buffer(bytes), ignored);
}

void scripted_caller::send_while_running(std::string bytes)
{
	const auto kept = std::make_shared<const std::string>(std::move(bytes));
	proxy::asio::async_write(state_->socket, proxy::asio::buffer(*kept),
		[on = state_, kept](const proxy::error_code&, std::size_t) {});
}

void scripted_caller::send_without_reading(
	proxy::tcp::socket& socket, std::uint16_t port, const std::string& bytes)
{
	socket.connect(loopback(port));
	proxy::asio::write(socket, proxy::asio::buffer(bytes));
}

void scripted_caller::leave()
{
	proxy::error_code ignored;
	state_->socket.close(ignored);
}

bool scripted_caller::has_answer() const
{
	return message_length(state_->received) > 0;
}

void scripted_caller::read(const std::shared_ptr<state>& on)
{
	on->buffer.resize(read_size);
	on->socket.async_read_some(proxy::asio::buffer(on->buffer),
		[on](const proxy::error_code& error, std::size_t size)
		{
			if (error)
			{
				on->ended = true;
				return;
			}
			on->received.append(on->buffer, 0, size);
			read(on);
		});
}
} // namespace gingerdyke::test
