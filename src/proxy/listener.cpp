// SPDX-License-Identifier: MIT
// Accepts connections of callers on one address.
#include <algorithm>
#include <gingerdyke/log/log.hpp>
#include <gingerdyke/proxy/listener.hpp>

namespace gingerdyke::proxy
{
namespace
{
/// Maximum number of connections that wait to be accepted; large enough for the burst of callers after the
/// loss of another VM.
constexpr int backlog = 1024;

/// Closed connections are removed from the list when it reaches this size, or twice the size after the last
/// removal.
constexpr std::size_t min_removal_threshold = 64;

/// Delay after a failed accept, usually for lack of file descriptors.
constexpr duration accept_retry_delay = std::chrono::milliseconds{50};
} // namespace

listener::listener(asio::io_context& context, std::shared_ptr<const caller_connection_callbacks> callbacks)
	: callbacks_(std::move(callbacks)), acceptor_(context), accept_retry_timer_(context),
	  removal_threshold_(min_removal_threshold)
{
}

listener::~listener()
{
	stop();
	for (const auto& weak_connection : connections_)
	{
		if (const auto connection = weak_connection.lock())
		{
			connection->disconnect();
		}
	}
}

error_code listener::listen(const routing::address& at)
{
	const auto error = open_acceptor(acceptor_, at.ip, at.port, backlog);
	if (!error)
	{
		accept();
	}
	return error;
}

std::uint16_t listener::port() const
{
	error_code ignored;
	return acceptor_.local_endpoint(ignored).port();
}

void listener::accept()
{
	acceptor_.async_accept(
		[this](const error_code& error, tcp::socket socket)
		{
			if (error == asio::error::operation_aborted || !acceptor_.is_open())
			{
				return;
			}
			if (error)
			{
				log::write(log::level::warn, "accept failed", {{"error", error.message()}});
				accept_retry_timer_.expires_after(accept_retry_delay);
				accept_retry_timer_.async_wait(
					[this](const error_code& cancelled)
					{
						if (!cancelled)
						{
							accept();
						}
					});
				return;
			}
			if (!callbacks_->admit || callbacks_->admit())
			{
				const auto connection = std::make_shared<caller_connection>(std::move(socket), callbacks_);
				connections_.push_back(connection);
				connection->start();
				remove_closed();
			}
			accept();
		});
}

void listener::remove_closed()
{
	if (connections_.size() < removal_threshold_)
	{
		return;
	}
	std::erase_if(connections_, [](const auto& weak_connection) { return weak_connection.expired(); });
	removal_threshold_ = std::max(min_removal_threshold, connections_.size() * 2);
}

void listener::close_idle()
{
	for (const auto& weak_connection : connections_)
	{
		if (const auto connection = weak_connection.lock())
		{
			connection->close_if_idle();
		}
	}
}

void listener::stop()
{
	error_code ignored;
	acceptor_.close(ignored);
	accept_retry_timer_.cancel();
}

std::size_t listener::busy() const
{
	return static_cast<std::size_t>(std::count_if(connections_.begin(), connections_.end(),
		[](const auto& weak_connection)
		{
			const auto connection = weak_connection.lock();
			return connection && connection->busy();
		}));
}
} // namespace gingerdyke::proxy
