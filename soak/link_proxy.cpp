// SPDX-License-Identifier: MIT
// A loopback proxy that harms the connections going through it.
#include "link_proxy.hpp"

#include <array>
#include <fcntl.h>
#include <stdexcept>

namespace gingerdyke::soak
{
namespace
{
using proxy::error_code;
using proxy::tcp;

constexpr std::size_t piece_size = 16384;
constexpr std::chrono::milliseconds delay{120};

/// VM processes are started while it listens: one that kept it would go on taking connections for it.
void keep_from_children(tcp::acceptor& acceptor)
{
	if (::fcntl(acceptor.native_handle(), F_SETFD, FD_CLOEXEC) != 0)
	{
		throw std::runtime_error{"link proxy: can't mark its socket"};
	}
}

tcp::endpoint endpoint_of(const routing::address& at)
{
	return {proxy::asio::ip::make_address_v4(at.ip), at.port};
}
} // namespace

const char* name_of(link_fault fault) noexcept
{
	switch (fault)
	{
	case link_fault::none:
		return "none";
	case link_fault::delayed:
		return "delayed";
	case link_fault::silent:
		return "silent";
	case link_fault::one_way:
		return "one way";
	case link_fault::reset:
		return "reset";
	case link_fault::refused:
		return "refused";
	case link_fault::refused_new:
		return "new ones refused";
	case link_fault::unanswered:
		return "unanswered";
	}
	return "unknown";
}

/// One connection on its two sides.
class link_proxy::pair : public std::enable_shared_from_this<pair>
{
  public:
	pair(tcp::socket near, proxy::asio::io_context& context, std::shared_ptr<const link_fault> fault)
		: near_{std::move(near), proxy::boot_timer{context}, {}, false}, far_{tcp::socket{context},
																			 proxy::boot_timer{context}, {},
																			 false},
		  fault_(std::move(fault))
	{
	}

	void connect(const tcp::endpoint& to)
	{
		far_.socket.async_connect(to,
			[self = shared_from_this()](const error_code& error)
			{
				if (error)
				{
					self->reset();
					return;
				}
				self->read(self->near_, self->far_);
				self->read(self->far_, self->near_);
			});
	}

	/// Lets go on what was held back, where the fault allows it.
	void resume()
	{
		for (auto* from : {&near_, &far_})
		{
			if (from->is_held && !is_held_back(*from))
			{
				from->is_held = false;
				pass_on(*from, from == &near_ ? far_ : near_);
			}
		}
	}

	void reset()
	{
		for (auto* one : {&near_, &far_})
		{
			error_code ignored;
			one->socket.set_option(proxy::asio::socket_base::linger{true, 0}, ignored);
			one->socket.close(ignored);
			one->timer.cancel();
		}
	}

  private:
	struct side
	{
		tcp::socket socket;
		proxy::boot_timer timer;
		std::string piece;
		bool is_held;
	};

	[[nodiscard]] bool is_held_back(const side& from) const
	{
		return *fault_ == link_fault::silent || *fault_ == link_fault::unanswered ||
			   (*fault_ == link_fault::one_way && &from == &far_);
	}

	void read(side& from, side& to)
	{
		from.piece.resize(piece_size);
		from.socket.async_read_some(proxy::asio::buffer(from.piece),
			[self = shared_from_this(), &from, &to](const error_code& error, std::size_t size)
			{
				if (error)
				{
					self->on_end(error, to);
					return;
				}
				from.piece.resize(size);
				self->on_piece(from, to);
			});
	}

	void on_end(const error_code& error, side& to)
	{
		if (error != proxy::asio::error::eof)
		{
			reset();
			return;
		}
		error_code ignored;
		to.socket.shutdown(tcp::socket::shutdown_send, ignored);
	}

	void on_piece(side& from, side& to)
	{
		if (is_held_back(from))
		{
			from.is_held = true;
			return;
		}
		if (*fault_ != link_fault::delayed)
		{
			pass_on(from, to);
			return;
		}
		from.timer.expires_after(delay);
		from.timer.async_wait(
			[self = shared_from_this(), &from, &to](const error_code& error)
			{
				if (!error)
				{
					self->pass_on(from, to);
				}
			});
	}

	void pass_on(side& from, side& to)
	{
		proxy::asio::async_write(to.socket, proxy::asio::buffer(from.piece),
			[self = shared_from_this(), &from, &to](const error_code& error, std::size_t)
			{
				if (error)
				{
					self->reset();
					return;
				}
				self->read(from, to);
			});
	}

	side near_;
	side far_;
	std::shared_ptr<const link_fault> fault_;
};

link_proxy::link_proxy(proxy::asio::io_context& context, routing::address target)
	: context_(context), target_(std::move(target)),
	  acceptor_(context, {proxy::asio::ip::address_v4::loopback(), 0}),
	  port_(acceptor_.local_endpoint().port()), unaccepted_(context),
	  fault_(std::make_shared<link_fault>(link_fault::none))
{
	keep_from_children(acceptor_);
	accept();
}

link_proxy::~link_proxy()
{
	set(link_fault::reset);
}

routing::address link_proxy::at() const
{
	return {"127.0.0.1", port_};
}

void link_proxy::set(link_fault fault)
{
	*fault_ = fault;
	const bool refuses = fault == link_fault::refused || fault == link_fault::refused_new;
	const bool listens = !refuses && fault != link_fault::unanswered;
	if (!listens && listens_)
	{
		refuses ? stop_listening() : stop_answering();
	}
	else if (listens && !listens_)
	{
		listen_again();
	}
	std::erase_if(pairs_, [](const auto& one) { return one.expired(); });
	for (const auto& one : pairs_)
	{
		if (const auto pair = one.lock())
		{
			const bool ends = fault == link_fault::reset || fault == link_fault::refused;
			ends ? pair->reset() : pair->resume();
		}
	}
}

/// The port stays bound: else some connection could have it as its source when it is wanted again.
void link_proxy::stop_listening()
{
	listens_ = false;
	acceptor_.close();
	acceptor_.open(tcp::v4());
	acceptor_.set_option(proxy::asio::socket_base::reuse_address{true});
	acceptor_.bind(endpoint_of(at()));
	keep_from_children(acceptor_);
}

/// The kernel drops the first packet of a new connection while the queue of those to be accepted is full; a
/// queue of length 0 holds one.
void link_proxy::stop_answering()
{
	stop_listening();
	acceptor_.listen(0);
	unaccepted_ = tcp::socket{context_};
	unaccepted_.connect(endpoint_of(at()));
}

void link_proxy::listen_again()
{
	listens_ = true;
	error_code ignored;
	unaccepted_.close(ignored);
	acceptor_.listen();
	accept();
}

void link_proxy::accept()
{
	acceptor_.async_accept(
		[this](const error_code& error, tcp::socket socket)
		{
			if (error == proxy::asio::error::operation_aborted)
			{
				return;
			}
			if (!error)
			{
				const auto made = std::make_shared<pair>(std::move(socket), context_, fault_);
				pairs_.push_back(made);
				*fault_ == link_fault::reset ? made->reset() : made->connect(endpoint_of(target_));
			}
			accept();
		});
}
} // namespace gingerdyke::soak
