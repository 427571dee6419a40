// SPDX-License-Identifier: MIT
// An HTTP/1.1 connection to a replica: one request at a time, with a streamed response.
#pragma once

#include <functional>
#include <gingerdyke/limits/memory_account.hpp>
#include <gingerdyke/proxy/arriving_body.hpp>
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
	/// The response is larger than a VM keeps.
	too_large,
	/// The response was dropped because the VM keeps too much for all requests together.
	out_of_memory,
};

/// \brief Whether a fault tells that the replica itself sent something wrong. Its process is running then.
[[nodiscard]] bool is_response_content_fault(upstream_fault fault) noexcept;

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
	/// The serialized request line and headers.
	std::string head;

	/// The request body; kept until it is written. Null: none.
	std::shared_ptr<const std::string> body;

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
	/// \param memory Account of what is kept of responses.
	upstream_connection(asio::io_context& context, routing::replica_ptr to, std::string id_field,
		std::shared_ptr<limits::memory_account> memory);

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

	/// \brief Sets how many bytes of the response the receiver of the callbacks keeps. While too much is kept
	/// for all requests together, the connection is not read, or fails.
	void set_collected(std::size_t bytes);

	/// \brief Stops reading the response, as its receiver can't pass it on, until `resume`.
	void pause() { is_paused_ = true; }
	void resume();

	/// \brief Bytes received since the request was sent.
	[[nodiscard]] std::uint64_t received_bytes() const noexcept
	{
		return body_bytes_ + skipped_bytes_ + framing_bytes_ + buffer_.size();
	}

	/// \brief Whether the response is not read at present, for a reason that is not the replica's.
	[[nodiscard]] bool is_held_up() const noexcept { return is_paused_ || is_waiting_for_memory_; }

	/// \brief Whether another request may be sent after the response that was just completed.
	[[nodiscard]] bool reusable() const noexcept { return reusable_; }

	/// \brief Whether the connection has carried a complete response before.
	[[nodiscard]] bool was_used() const noexcept { return response_count_ > 0; }

	/// \brief How long the connection took to be established.
	[[nodiscard]] duration connect_time() const noexcept { return connect_time_; }

	/// \brief How long the replica keeps an idle connection open (`Keep-Alive`); none if not stated.
	[[nodiscard]] std::optional<duration> keep_alive_time() const noexcept { return keep_alive_; }

	[[nodiscard]] const routing::replica_ptr& target() const noexcept { return target_; }

  private:
	using parser = beast::http::response_parser<arriving_body<std::string>>;

	void connect();
	void write();
	void read();
	void read_on();
	void on_read(const error_code& error, std::size_t size);
	void on_bytes();
	bool parse_next();
	bool deliver_body();
	[[nodiscard]] bool has_excess() const;
	void update_kept();
	void give_up();
	void start_parser();
	bool on_head();
	void on_end_of_connection(const error_code& error);
	[[nodiscard]] bool ends_response();
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
	duration connect_time_{};

	/// Bytes since the request was sent: of bodies of its response, of bodies of late responses to other
	/// requests, and all others.
	std::uint64_t body_bytes_ = 0;
	std::uint64_t skipped_bytes_ = 0;
	std::uint64_t framing_bytes_ = 0;

	/// Bytes that the receiver of the callbacks keeps.
	std::size_t collected_bytes_ = 0;
	limits::kept_bytes kept_;
	unsigned response_count_ = 0;
	bool connected_ = false;
	bool busy_ = false;
	bool closed_ = false;
	bool request_written_ = false;
	bool head_delivered_ = false;

	/// The response being read is a late one to an earlier request.
	bool skipping_stale_response_ = false;
	bool reusable_ = false;
	bool is_reading_ = false;
	bool is_paused_ = false;
	bool is_waiting_for_memory_ = false;
};
} // namespace gingerdyke::proxy
