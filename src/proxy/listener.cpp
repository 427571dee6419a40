// SPDX-License-Identifier: MIT
// Accepts callers at one address.
#include <algorithm>
#include <gingerdyke/log/log.hpp>
#include <gingerdyke/proxy/listener.hpp>

namespace gingerdyke::proxy
{
namespace
{
/// Connections that wait to be accepted; a burst of callers after a VM's loss must fit.
constexpr int backlog = 1024;

/// Ended connections are forgotten each time the list has grown to this size or twice what was left.
constexpr std::size_t first_sweep = 64;

/// Pause after a failed accept, mostly for want of descriptors.
constexpr duration accept_pause = std::chrono::milliseconds{50};
} // namespace

listener::listener(asio::io_context& context, std::shared_ptr<const caller_link_host> host)
	: host_(std::move(host)), acceptor_(context), pause_(context), sweep_at_(first_sweep)
{
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
				pause_.expires_after(accept_pause);
				pause_.async_wait(
					[this](const error_code& stopped)
					{
						if (!stopped)
						{
							accept();
						}
					});
				return;
			}
			const auto link = std::make_shared<caller_link>(std::move(socket), host_);
			links_.push_back(link);
			link->start();
			sweep();
			accept();
		});
}

void listener::sweep()
{
	if (links_.size() < sweep_at_)
	{
		return;
	}
	std::erase_if(links_, [](const auto& one) { return one.expired(); });
	sweep_at_ = std::max(first_sweep, links_.size() * 2);
}

void listener::close_idle()
{
	for (const auto& one : links_)
	{
		if (const auto link = one.lock())
		{
			link->close_if_idle();
		}
	}
}

void listener::stop()
{
	error_code ignored;
	acceptor_.close(ignored);
	pause_.cancel();
}

std::size_t listener::busy() const
{
	return static_cast<std::size_t>(std::count_if(links_.begin(), links_.end(),
		[](const auto& one)
		{
			const auto link = one.lock();
			return link && link->busy();
		}));
}
} // namespace gingerdyke::proxy
