// SPDX-License-Identifier: MIT
// Connection between two VMs that carries frames in both directions.
#include <gingerdyke/control/frame_link.hpp>
#include <gingerdyke/proxy/connection_guard.hpp>

namespace gingerdyke::control
{
namespace
{
/// Buffer size of one read, in bytes; most frames have a few hundred.
constexpr std::size_t read_size = 4096;
} // namespace

frame_link::frame_link(proxy::tcp::socket socket, frame_link_hooks hooks)
	: socket_(std::move(socket)), hooks_(std::move(hooks))
{
}

void frame_link::start()
{
	connected_ = true;
	proxy::set_connection_options(socket_);
	read();
	write();
}

void frame_link::connect(const proxy::tcp::endpoint& to)
{
	socket_.async_connect(to,
		[self = shared_from_this()](const proxy::error_code& error)
		{
			if (self->closed_)
			{
				return;
			}
			if (error)
			{
				self->fail();
				return;
			}
			self->start();
		});
}

void frame_link::send(const std::string& frame)
{
	queued_bytes_ += frame;
	write();
}

void frame_link::close()
{
	closed_ = true;
	proxy::error_code ignored;
	socket_.close(ignored);
}

void frame_link::read()
{
	socket_.async_read_some(buffer_.prepare(read_size),
		[self = shared_from_this()](const proxy::error_code& error, std::size_t size)
		{
			proxy::guard_connection(
				"VM", {}, [&] { self->on_read(error, size); }, [&] { self->fail(); });
		});
}

void frame_link::on_read(const proxy::error_code& error, std::size_t size)
{
	if (closed_)
	{
		return;
	}
	if (error)
	{
		fail();
		return;
	}
	buffer_.commit(size);
	received_bytes_ += size;
	while (buffer_.size() >= frame_header_bytes && !closed_)
	{
		const std::string_view bytes{static_cast<const char*>(buffer_.data().data()), buffer_.size()};
		const auto length = frame_length(bytes);
		if (!length)
		{
			fail();
			return;
		}
		if (bytes.size() < frame_header_bytes + *length)
		{
			break;
		}
		hooks_.frame_received(bytes.substr(frame_header_bytes, *length));
		buffer_.consume(frame_header_bytes + *length);
	}
	if (!closed_)
	{
		read();
	}
}

void frame_link::write()
{
	if (!connected_ || closed_ || !bytes_in_flight_.empty() || queued_bytes_.empty())
	{
		return;
	}
	bytes_in_flight_ = std::exchange(queued_bytes_, {});
	proxy::asio::async_write(socket_, proxy::asio::buffer(bytes_in_flight_),
		[self = shared_from_this()](const proxy::error_code& error, std::size_t)
		{
			// A write error also fails the pending read, which reports it.
			self->bytes_in_flight_.clear();
			if (!error)
			{
				self->write();
			}
		});
}

void frame_link::fail()
{
	if (closed_)
	{
		return;
	}
	close();
	hooks_.closed();
}
} // namespace gingerdyke::control
