// SPDX-License-Identifier: MIT
// One connection to a replica: a request at a time, its answer as it comes.
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
/// \brief How an attempt broke.
enum class upstream_fault
{
	/// No connection came up: the request has not left.
	not_connected,
	/// The same, by the replica's own refusal: nobody listens at its address.
	connect_refused,
	/// The connection ended before the answer's head was whole.
	no_response,
	/// The connection ended in the middle of the answer.
	truncated_response,
	/// What came is no answer to this request.
	invalid_response,
};

/// \brief The word for a fault.
[[nodiscard]] const char* name_of(upstream_fault fault) noexcept;

/// \brief What a link tells about the request that it carries. After `on_end` or `on_fault` nothing follows.
struct upstream_callbacks
{
	/// The connection is up and the request leaves next, unless the link is closed here.
	std::function<void()> connection_opened;
	std::function<void(response_head)> head_received;
	std::function<void(std::string_view bytes)> body_received;
	std::function<void()> response_completed;
	std::function<void(upstream_fault)> request_failed;
};

/// \brief A request on its way to a replica.
struct upstream_request
{
	/// The whole request as bytes.
	std::string bytes;

	/// Id that the answer must repeat.
	std::string id;

	/// The answer has no body whatever its head says.
	bool is_head{};

	/// How long its bytes may stay unacknowledged before the connection counts as broken.
	duration unacknowledged_timeout = std::chrono::seconds{3};
};

/// \brief One connection to a replica.
class upstream_connection : public std::enable_shared_from_this<upstream_connection>
{
  public:
	/// \param id_field Name of the header in which answers repeat the request's id.
	upstream_connection(asio::io_context& context, routing::replica_ptr to, std::string id_field);

	/// \brief Sends a request; connects first where needed. Only while no other request is under way.
	void send(upstream_request what, upstream_callbacks callbacks);

	/// \brief Closes the connection; no hook is called any more. A replica stops work at that.
	void close();

	/// \brief Told when an idle connection ends; the pool's.
	void on_idle_close(std::function<void()> hook) { idle_close_hook_ = std::move(hook); }

	/// \brief Whether another request may be sent after the answer that just ended.
	[[nodiscard]] bool reusable() const noexcept { return reusable_; }

	/// \brief A request was answered on it before.
	[[nodiscard]] bool was_used() const noexcept { return responses_ > 0; }

	/// \brief How long the replica keeps an idle connection, where it says so.
	[[nodiscard]] std::optional<duration> keep_alive_time() const noexcept { return keep_alive_; }

	[[nodiscard]] const routing::replica_ptr& target() const noexcept { return to_; }

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
	routing::replica_ptr to_;
	std::string id_field_;
	tcp::socket socket_;
	beast::flat_buffer buffer_;
	std::optional<parser> parser_;
	upstream_request request_;
	/// Shared, so that a hook may close the link that calls it.
	std::shared_ptr<const upstream_callbacks> callbacks_;
	std::function<void()> idle_close_hook_;
	std::optional<duration> keep_alive_;
	unsigned responses_ = 0;
	bool connected_ = false;
	bool busy_ = false;
	bool closed_ = false;
	bool request_written_ = false;
	bool head_delivered_ = false;

	/// The answer being read is a late one to an earlier request.
	bool skipping_stale_response_ = false;
	bool reusable_ = false;
};
} // namespace gingerdyke::proxy
