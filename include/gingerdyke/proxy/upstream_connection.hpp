// SPDX-License-Identifier: MIT
// An HTTP/1.1 connection to a replica: one request at a time, with a streamed response.
#pragma once

#include <functional>
#include <gingerdyke/proxy/asio.hpp>
#include <gingerdyke/proxy/message.hpp>
#include <gingerdyke/routing/replica_set.hpp>
#include <memory>
#include <optional>
#include <string>

namespace gingerdyke::proxy
{
/// \brief How an attempt failed.
enum class upstream_fault
{
	/// The connection could not be established; the request was not sent.
	not_connected,
	/// The same, because the connection was refused: no process listens on the replica's address.
	connect_refused,
	/// The connection ended before the response head was complete.
	no_response,
	/// The connection ended in the middle of the response.
	truncated_response,
	/// The connection timed out: sent bytes or probes were not acknowledged.
	timed_out,
	/// The received data is no valid response to this request.
	invalid_response,
};

/// \brief Name of a fault, as logs and callers see it.
[[nodiscard]] const char* name_of(upstream_fault fault) noexcept;

/// \brief Callbacks for the request that a connection carries. Nothing follows `response_completed` or
/// `request_failed`.
struct upstream_callbacks
{
	/// The connection is established. The request is sent next, unless the callback closes the connection.
	std::function<void()> connection_opened;
	std::function<void(response_head)> head_received;
	std::function<void(std::string_view bytes)> body_received;
	std::function<void()> response_completed;
	std::function<void(upstream_fault)> request_failed;
};

/// \brief A request to a replica.
struct upstream_request
{
	/// The serialized request.
	std::string bytes;

	/// Request id that the response must repeat.
	std::string id;

	/// Response to a `HEAD` request: it has no body, whatever its headers say.
	bool is_head{};

	/// How long sent bytes may stay unacknowledged before the connection is dropped.
	duration unacknowledged_timeout = std::chrono::seconds{3};
};

/// \brief A connection to a replica.
class upstream_connection : public std::enable_shared_from_this<upstream_connection>
{
  public:
	/// \param id_field Name of the header in which responses repeat the request id.
	upstream_connection(asio::io_context& context, routing::replica_ptr to, std::string id_field);

	/// \brief Sends a request, after connecting if necessary. Must not be called while another request is in
	/// progress.
	void send(upstream_request outgoing, upstream_callbacks callbacks);

	/// \brief Replaces the request's limit on unacknowledged bytes by that of the keep-alive probes. The
	/// limit also ends a connection whose probes are unanswered, and a replica may be silent for a second.
	void restore_unacknowledged_timeout() { proxy::restore_unacknowledged_timeout(socket_); }

	/// \brief Closes the connection; no callback is called any more. The replica then stops working on the
	/// request.
	void close();

	/// \brief Sets the hook that is called when the connection closes while idle; for the pool.
	void on_idle_close(std::function<void()> hook) { idle_close_hook_ = std::move(hook); }

	/// \brief Whether another request may be sent after the response that was just completed.
	[[nodiscard]] bool reusable() const noexcept { return reusable_; }

	/// \brief Whether the connection has carried a complete response before.
	[[nodiscard]] bool was_used() const noexcept { return response_count_ > 0; }

	/// \brief How long the replica keeps an idle connection open (`Keep-Alive`); none if not stated.
	[[nodiscard]] std::optional<duration> keep_alive_time() const noexcept { return keep_alive_; }

	[[nodiscard]] const routing::replica_ptr& target() const noexcept { return target_; }

  private:
	using parser = beast::http::response_parser<beast::http::string_body>;

	void connect();
	void write();
	void read();
	void on_read(const error_code& error, std::size_t size);
	void on_bytes();
	bool parse_next();
	void start_parser();
	bool on_head();
	void on_end_of_connection(const error_code& error);
	void finish();
	void fail(upstream_fault fault);
	void read_keep_alive(const header_fields& fields);

	asio::io_context& context_;
	routing::replica_ptr target_;
	std::string id_field_;
	tcp::socket socket_;
	beast::flat_buffer buffer_;
	std::optional<parser> parser_;
	upstream_request request_;
	/// Shared, so that a callback may close the connection that calls it.
	std::shared_ptr<const upstream_callbacks> callbacks_;
	std::function<void()> idle_close_hook_;
	std::optional<duration> keep_alive_;
	unsigned response_count_ = 0;
	bool connected_ = false;
	bool busy_ = false;
	bool closed_ = false;
	bool request_written_ = false;
	bool head_delivered_ = false;

	/// The response being read is a late one to an earlier request.
	bool skipping_stale_response_ = false;
	bool reusable_ = false;
};
} // namespace gingerdyke::proxy
