// SPDX-License-Identifier: MIT
// Connection between two VMs that carries frames in both directions.
#pragma once

#include <functional>
#include <gingerdyke/control/relay_codec.hpp>
#include <gingerdyke/proxy/asio.hpp>
#include <memory>

namespace gingerdyke::control
{
/// \brief Callbacks of `frame_link`.
struct frame_link_hooks
{
	/// Called with each received frame, without its length prefix.
	std::function<void(std::string_view frame)> frame_received;

	/// Called once when the connection fails or is closed by the other side; no other callback follows.
	std::function<void()> closed;
};

/// \brief Sends and receives frames over one TCP connection.
class frame_link : public std::enable_shared_from_this<frame_link>
{
  public:
	frame_link(proxy::tcp::socket socket, frame_link_hooks hooks);

	/// \brief Starts to read and write on an established connection.
	void start();

	/// \brief Establishes the connection and then starts; frames sent before that are queued.
	void connect(const proxy::tcp::endpoint& to);

	void send(const std::string& frame);

	/// \brief Whether the connection was established.
	[[nodiscard]] bool is_connected() const noexcept { return connected_; }

	/// \brief Bytes received so far.
	[[nodiscard]] std::uint64_t received_bytes() const noexcept { return received_bytes_; }

	/// \brief Whether a frame has arrived in part.
	[[nodiscard]] bool is_receiving_frame() const noexcept { return buffer_.size() > 0; }

	/// \brief Closes the connection without calling `closed`.
	void close();

  private:
	void read();
	void on_read(const proxy::error_code& error, std::size_t size);
	void write();
	void fail();

	proxy::tcp::socket socket_;
	frame_link_hooks hooks_;
	proxy::beast::flat_buffer buffer_;
	std::string queued_bytes_;
	std::string bytes_in_flight_;
	std::uint64_t received_bytes_ = 0;
	bool connected_ = false;
	bool closed_ = false;
};
} // namespace gingerdyke::control
