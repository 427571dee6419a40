// SPDX-License-Identifier: MIT
// A caller's HTTP connection: reads requests, writes their responses in order and detects that the caller has
// disconnected.
#pragma once

#include <deque>
#include <gingerdyke/limits/memory_account.hpp>
#include <gingerdyke/proxy/arriving_body.hpp>
#include <gingerdyke/proxy/asio.hpp>
#include <gingerdyke/proxy/response_sink.hpp>
#include <gingerdyke/routing/catalog.hpp>
#include <optional>

namespace gingerdyke::proxy
{
/// \brief Callbacks from a caller's connection to the process that accepted it.
struct caller_connection_callbacks
{
	/// Handles a request.
	request_handler handle;

	/// Returns the limits on callers that apply now.
	std::function<routing::caller_limits()> limits;

	/// Returns whether connections are closed after their response: the process is shutting down, or callers
	/// are to go on to other VMs.
	std::function<bool()> stopping;

	/// Returns whether a new connection is taken; otherwise it is closed without reading from it. Unset: all
	/// are.
	std::function<bool()> admit{};

	/// Called with the number of bytes received from a caller, or sent to one; may be unset.
	std::function<void(std::size_t)> bytes_transferred{};

	/// Account of what is kept of requests, and of responses that callers have not taken.
	std::shared_ptr<limits::memory_account> memory = std::make_shared<limits::memory_account>();

	/// Name of the header with the request's id, which refusals repeat.
	std::string request_id_field{};
};

/// \brief A caller's HTTP/1.x connection.
class caller_connection : public response_sink, public std::enable_shared_from_this<caller_connection>
{
  public:
	caller_connection(tcp::socket socket, std::shared_ptr<const caller_connection_callbacks> callbacks);

	/// \brief Starts to read requests.
	void start();

	/// \brief Closes the connection and cancels its request.
	void disconnect();

	/// \brief Closes the connection if no request is being read or handled.
	void close_if_idle();

	/// \brief Whether a request is being read or handled.
	[[nodiscard]] bool busy() const noexcept { return state_ != state::idle && state_ != state::closed; }

	void send(response outgoing) override;
	void send_head(int status, std::string_view reason, const header_fields& fields) override;
	void write_body(std::string_view bytes) override;
	[[nodiscard]] bool is_backlogged() const override;
	void when_drained(const std::function<void()>& hook) override;
	void end_stream() override;
	void abort_stream() override;

  private:
	using parser = beast::http::request_parser<arriving_body<body_buffer>>;

	enum class state
	{
		/// Between requests.
		idle,
		reading_head,
		reading_body,
		responding,
		/// The last response is being written; the connection closes after it.
		finishing,
		closed,
	};

	void read();
	void read_on();
	void update_arriving();
	[[nodiscard]] limits::memory_hooks post_hook(void (caller_connection::*give_up)());
	void on_read(const error_code& error, std::size_t size);
	void advance();
	[[nodiscard]] bool read_head();
	[[nodiscard]] bool read_body();
	void start_request();
	void refuse(int status, const std::string& explanation, header_fields fields = {});
	void refuse_for_memory();
	void drop_output();
	void count_bytes(std::size_t count) const;
	void write(std::string bytes, std::string body = {});
	void write_next();
	void update_output();
	void on_backlog_shrunk();
	void on_written(const error_code& error);
	void finish_response(bool keep_open);
	void arm_timer(duration span);
	void on_timer();
	void close();

	tcp::socket socket_;
	std::shared_ptr<const caller_connection_callbacks> callbacks_;
	routing::caller_limits limits_;
	boot_timer timer_;
	beast::flat_buffer buffer_;
	std::optional<parser> parser_;
	std::shared_ptr<active_request> active_;

	/// Output that is being written, and what follows it.
	std::vector<std::string> written_parts_;
	std::deque<std::string> pending_parts_;
	std::size_t written_bytes_ = 0;
	std::size_t pending_bytes_ = 0;
	std::function<void()> drained_hook_;

	/// What is kept of requests that are being read, of the one that is being handled, and of responses.
	limits::kept_bytes arriving_;
	limits::kept_bytes running_;
	limits::kept_bytes output_;
	state state_ = state::idle;
	bool is_reading_ = false;
	bool is_writing_ = false;
	bool keep_alive_ = true;
	bool is_chunked_ = false;
	bool is_http_11_ = true;
	bool is_waiting_for_memory_ = false;
	bool is_head_request_ = false;
};
} // namespace gingerdyke::proxy
