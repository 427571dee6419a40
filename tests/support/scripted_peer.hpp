// SPDX-License-Identifier: MIT
// The two ends that the data path talks to, as bytes: replicas that answer what a test says, and callers that
// send what a test says.
#pragma once

#include <functional>
#include <gingerdyke/proxy/asio.hpp>
#include <gingerdyke/routing/replica_set.hpp>
#include <list>
#include <memory>
#include <string>
#include <vector>

namespace gingerdyke::test
{
/// \brief What a scripted replica does with one request.
struct scripted_answer
{
	/// Bytes sent; empty: none.
	std::string bytes;

	/// The connection is closed after the bytes.
	bool closes{};

	/// The connection is reset after the bytes.
	bool resets{};
};

/// \brief A replica on the loopback address.
class scripted_replica
{
  public:
	/// \brief Called with each whole request, as bytes.
	using script = std::function<scripted_answer(const std::string& request)>;

	scripted_replica(proxy::asio::io_context& context, script answer);

	[[nodiscard]] routing::address at() const;

	/// \brief Requests received, as bytes.
	[[nodiscard]] const std::vector<std::string>& requests() const noexcept { return requests_; }

	/// \brief Connections that the other side has ended.
	[[nodiscard]] unsigned ended() const noexcept { return ended_; }

	/// \brief Connections accepted.
	[[nodiscard]] unsigned accepted() const noexcept { return accepted_; }

	/// \brief Sends further bytes on the connection used last.
	void send_more(const std::string& bytes);

	/// \brief Closes the connection used last.
	void close_last();

	/// \brief Ends like a process that crashes: all connections are reset, and nobody listens any more.
	void crash();

	/// \brief Whether it has crashed and is not back.
	[[nodiscard]] bool has_crashed() const { return !acceptor_.is_open(); }

	/// \brief Is back at its address, as another process.
	void restart();

  private:
	struct connection
	{
		explicit connection(proxy::tcp::socket with) : socket(std::move(with)) {}
		proxy::tcp::socket socket;
		std::string received;
	};

	void accept();
	void read(const std::shared_ptr<connection>& from);
	void on_bytes(const std::shared_ptr<connection>& from);

	proxy::tcp::acceptor acceptor_;
	proxy::tcp::endpoint endpoint_;
	script answer_;
	std::vector<std::string> requests_;
	std::list<std::shared_ptr<connection>> connections_;
	std::shared_ptr<connection> last_;
	unsigned ended_ = 0;
	unsigned accepted_ = 0;
};

/// \brief A caller: one connection, bytes out, bytes in.
class scripted_caller
{
  public:
	scripted_caller(proxy::asio::io_context& context, std::uint16_t port);
	~scripted_caller();
	scripted_caller(const scripted_caller&) = delete;
	scripted_caller& operator=(const scripted_caller&) = delete;
	scripted_caller(scripted_caller&&) = delete;
	scripted_caller& operator=(scripted_caller&&) = delete;

	void send(const std::string& bytes);

	/// \brief Sends as fast as the other side reads, while the loop runs.
	void send_while_running(std::string bytes);

	void leave();

	/// \brief Sends a request and never reads.
	static void send_without_reading(
		proxy::tcp::socket& socket, std::uint16_t port, const std::string& bytes);

	/// \brief All bytes that came.
	[[nodiscard]] const std::string& received() const noexcept { return state_->received; }

	/// \brief The other side has ended the connection.
	[[nodiscard]] bool ended() const noexcept { return state_->ended; }

	/// \brief True once an answer with a length has come whole.
	[[nodiscard]] bool has_answer() const;

  private:
	/// Outlives the caller until its last read has ended.
	struct state
	{
		explicit state(proxy::asio::io_context& context) : socket(context) {}
		proxy::tcp::socket socket;
		std::string buffer;
		std::string received;
		bool ended{};
	};

	static void read(const std::shared_ptr<state>& on);

	std::shared_ptr<state> state_;
};

/// \brief Length of the first message in some bytes, or 0 where it is not whole yet.
[[nodiscard]] std::size_t message_length(const std::string& bytes);
} // namespace gingerdyke::test
