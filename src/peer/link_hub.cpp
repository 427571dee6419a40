// SPDX-License-Identifier: MIT
// TCP links between entry VMs, on Boost.Asio.
#include <array>
#include <boost/asio.hpp>
#include <deque>
#include <gingerdyke/base/boot_clock.hpp>
#include <gingerdyke/peer/codec.hpp>
#include <gingerdyke/peer/link_hub.hpp>
#include <map>
#include <mutex>
#include <sys/socket.h>
#include <thread>
#include <vector>

namespace gingerdyke::peer
{
namespace
{
namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

/// Bytes that wait for one slow peer at most; older news is worth less than memory.
constexpr std::size_t most_waiting_bytes = 4U << 20U;

/// Pause after a failed connection before the next try.
constexpr auto reconnect_pause = std::chrono::milliseconds{250};

/// A link out: connects when there is something to send. A frame is written by the thread that sends it while
/// the socket takes it at once; only what does not fit waits for the hub's thread.
class out_link : public std::enable_shared_from_this<out_link>
{
  public:
	out_link(asio::io_context& context, const std::string& address, link_counts& counts)
		: context_(context), socket_(context), counts_(counts)
	{
		const auto colon = address.rfind(':');
		error_code wrong;
		const auto ip = asio::ip::make_address(address.substr(0, colon), wrong);
		const auto port = static_cast<unsigned short>(std::strtoul(address.c_str() + colon + 1, nullptr, 10));
		target_ = tcp::endpoint{ip, port};
	}

	void send(std::string frame)
	{
		const std::lock_guard lock{mutex_};
		if (waiting_bytes_ + frame.size() > most_waiting_bytes || boot_clock::now() < not_before_)
		{
			++counts_.undelivered;
			return;
		}
		if (state_ == state::open && waiting_.empty() && !write_now(frame))
		{
			return;
		}
		if (frame.empty())
		{
			return;
		}
		waiting_bytes_ += frame.size();
		waiting_.push_back(std::move(frame));
		if (state_ == state::closed)
		{
			state_ = state::connecting;
			asio::post(context_, [self = shared_from_this()] { self->connect(); });
		}
		else if (state_ == state::open && !writing_)
		{
			writing_ = true;
			asio::post(context_, [self = shared_from_this()] { self->write(); });
		}
	}

  private:
	enum class state
	{
		closed,
		connecting,
		open,
	};

	/// Writes what the socket takes at once and leaves the rest in the frame. False: the link broke.
	bool write_now(std::string& frame)
	{
		const auto sent =
			::send(socket_.native_handle(), frame.data(), frame.size(), MSG_DONTWAIT | MSG_NOSIGNAL);
		if (sent < 0 && errno != EAGAIN && errno != EWOULDBLOCK)
		{
			++counts_.undelivered;
			return false;
		}
		const auto taken = sent < 0 ? 0 : static_cast<std::size_t>(sent);
		counts_.sent_bytes += taken;
		counts_.sent += taken == frame.size() ? 1 : 0;
		frame.erase(0, taken);
		return true;
	}

	void connect()
	{
		socket_.async_connect(target_,
			[self = shared_from_this()](error_code wrong)
			{
				const std::lock_guard lock{self->mutex_};
				if (wrong)
				{
					self->fail();
					return;
				}
				error_code ignored;
				self->socket_.set_option(tcp::no_delay{true}, ignored);
				self->state_ = state::open;
				self->watch();
				self->writing_ = true;
				asio::post(self->context_, [self] { self->write(); });
			});
	}

	/// A peer sends nothing back on this link: a read that ends means that it closed.
	void watch()
	{
		socket_.async_read_some(asio::buffer(unused_),
			[self = shared_from_this()](error_code wrong, std::size_t)
			{
				const std::lock_guard lock{self->mutex_};
				if (wrong && self->state_ == state::open)
				{
					self->fail();
				}
			});
	}

	void write()
	{
		const std::lock_guard lock{mutex_};
		if (waiting_.empty() || state_ != state::open)
		{
			writing_ = false;
			return;
		}
		asio::async_write(socket_, asio::buffer(waiting_.front()),
			[self = shared_from_this()](error_code wrong, std::size_t bytes)
			{
				{
					const std::lock_guard inner{self->mutex_};
					if (wrong || self->waiting_.empty())
					{
						self->fail();
						return;
					}
					++self->counts_.sent;
					self->counts_.sent_bytes += bytes;
					self->waiting_bytes_ -= self->waiting_.front().size();
					self->waiting_.pop_front();
				}
				self->write();
			});
	}

	/// Called with the mutex held.
	void fail()
	{
		counts_.undelivered += waiting_.size();
		waiting_.clear();
		waiting_bytes_ = 0;
		writing_ = false;
		state_ = state::closed;
		not_before_ = boot_clock::now() + reconnect_pause;
		error_code ignored;
		socket_.close(ignored);
	}

	asio::io_context& context_;
	std::mutex mutex_;
	tcp::socket socket_;
	tcp::endpoint target_;
	link_counts& counts_;
	std::deque<std::string> waiting_;
	std::size_t waiting_bytes_ = 0;
	state state_ = state::closed;
	bool writing_ = false;
	std::array<char, 16> unused_{};
	boot_clock::time_point not_before_;
};

/// A link in: reads frames until it breaks or says something that is no frame.
class in_link : public std::enable_shared_from_this<in_link>
{
  public:
	in_link(
		tcp::socket socket, const std::string& secret, const link_hub::receiver& receive, link_counts& counts)
		: socket_(std::move(socket)), secret_(secret), receive_(receive), counts_(counts)
	{
	}

	void read_length()
	{
		asio::async_read(socket_, asio::buffer(head_),
			[self = shared_from_this()](error_code wrong, std::size_t)
			{
				if (wrong)
				{
					return;
				}
				const auto size = frame_length({self->head_.data(), self->head_.size()});
				if (!size)
				{
					++self->counts_.rejected;
					return;
				}
				self->frame_.resize(*size);
				self->read_frame();
			});
	}

  private:
	void read_frame()
	{
		asio::async_read(socket_, asio::buffer(frame_),
			[self = shared_from_this()](error_code wrong, std::size_t bytes)
			{
				if (wrong)
				{
					return;
				}
				auto envelope = decode(self->frame_, self->secret_);
				if (!envelope)
				{
					// A peer that can't authenticate one frame is not listened to any more.
					++self->counts_.rejected;
					return;
				}
				++self->counts_.received;
				self->counts_.received_bytes += bytes + length_bytes;
				self->receive_(std::move(*envelope));
				self->read_length();
			});
	}

	tcp::socket socket_;
	const std::string& secret_;
	const link_hub::receiver& receive_;
	link_counts& counts_;
	std::array<char, length_bytes> head_{};
	std::string frame_;
};
} // namespace

class link_hub::impl
{
  public:
	impl(const std::string& host, int port, std::string secret, receiver receive)
		: acceptor_(context_, tcp::endpoint{asio::ip::make_address(host), static_cast<unsigned short>(port)}),
		  secret_(std::move(secret)), receive_(std::move(receive))
	{
		port_ = acceptor_.local_endpoint().port();
		accept();
		thread_ = std::thread{[this] { context_.run(); }};
	}

	void send(const std::string& address, std::string frame)
	{
		std::shared_ptr<out_link> link;
		{
			const std::lock_guard lock{mutex_};
			auto& known = links_[address];
			if (!known)
			{
				known = std::make_shared<out_link>(context_, address, counts_);
			}
			link = known;
		}
		link->send(std::move(frame));
	}

	void stop()
	{
		context_.stop();
		if (thread_.joinable())
		{
			thread_.join();
		}
	}

	[[nodiscard]] const std::string& secret() const noexcept { return secret_; }
	[[nodiscard]] const link_counts& counts() const noexcept { return counts_; }
	[[nodiscard]] int port() const noexcept { return port_; }

  private:
	void accept()
	{
		acceptor_.async_accept(
			[this](error_code wrong, tcp::socket socket)
			{
				if (!wrong)
				{
					std::make_shared<in_link>(std::move(socket), secret_, receive_, counts_)->read_length();
				}
				accept();
			});
	}

	// The counters and hooks outlive the context, whose destruction ends the links.
	link_counts counts_;
	asio::io_context context_;
	tcp::acceptor acceptor_;
	std::string secret_;
	receiver receive_;
	std::mutex mutex_;
	std::map<std::string, std::shared_ptr<out_link>> links_;
	int port_{};
	std::thread thread_;
};

link_hub::link_hub(const std::string& host, int port, std::string secret, receiver receive)
	: impl_(std::make_unique<impl>(host, port, std::move(secret), std::move(receive)))
{
}

link_hub::~link_hub()
{
	stop();
}

void link_hub::send(const std::string& address, const envelope& envelope)
{
	impl_->send(address, encode(envelope, impl_->secret()));
}

void link_hub::stop()
{
	impl_->stop();
}

const link_counts& link_hub::counts() const noexcept
{
	return impl_->counts();
}

int link_hub::port() const noexcept
{
	return impl_->port();
}
} // namespace gingerdyke::peer
