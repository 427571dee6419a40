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
	refused_connection,
	/// The connection ended before the answer's head was whole.
	no_answer,
	/// The connection ended in the middle of the answer.
	cut_answer,
	/// What came is no answer to this request.
	bad_answer,
};

/// \brief The word for a fault.
[[nodiscard]] const char* name_of(upstream_fault fault) noexcept;

/// \brief What a link tells about the request that it carries. After `ended` or `failed` nothing follows.
struct upstream_hooks
{
	/// The connection is up and the request leaves next, unless the link is closed here.
	std::function<void()> connected;
	std::function<void(answer_head)> began;
	std::function<void(std::string_view bytes)> brought;
	std::function<void()> ended;
	std::function<void(upstream_fault)> failed;
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
	duration unacknowledged_limit = std::chrono::seconds{3};
};

/// \brief One connection to a replica.
class upstream_link : public std::enable_shared_from_this<upstream_link>
{
  public:
	/// \param id_field Name of the header in which answers repeat the request's id.
	upstream_link(asio::io_context& context, routing::replica_ptr to, std::string id_field);

	/// \brief Sends a request; connects first where needed. Only while no other request is under way.
	void send(upstream_request what, upstream_hooks hooks);

	/// \brief Closes the connection; no hook is called any more. A replica stops work at that.
	void close();

	/// \brief Told when an idle connection ends; the pool's.
	void on_idle_end(std::function<void()> hook) { idle_ended_ = std::move(hook); }

	/// \brief Whether another request may be sent after the answer that just ended.
	[[nodiscard]] bool reusable() const noexcept { return reusable_; }

	/// \brief A request was answered on it before.
	[[nodiscard]] bool was_used() const noexcept { return answers_ > 0; }

	/// \brief How long the replica keeps an idle connection, where it says so.
	[[nodiscard]] std::optional<duration> keep_alive_time() const noexcept { return keep_alive_; }

	[[nodiscard]] const routing::replica_ptr& to() const noexcept { return to_; }

  private:
	using parser = beast::http::response_parser<beast::http::string_body>;

	void connect();
	void write();
	void read();
	void on_read(const error_code& error, std::size_t size);
	void on_bytes();
	bool parse_some();
	void start_parser();
	bool on_head();
	void on_end_of_connection(const error_code& error);
	void finish();
	void fail(upstream_fault fault);
	void note_keep_alive(const header_fields& fields);

	asio::io_context& context_;
	routing::replica_ptr to_;
	std::string id_field_;
	tcp::socket socket_;
	beast::flat_buffer buffer_;
	std::optional<parser> parser_;
	upstream_request request_;
	/// Shared, so that a hook may close the link that calls it.
	std::shared_ptr<const upstream_hooks> hooks_;
	std::function<void()> idle_ended_;
	std::optional<duration> keep_alive_;
	unsigned answers_ = 0;
	bool connected_ = false;
	bool busy_ = false;
	bool closed_ = false;
	bool written_ = false;
	bool head_given_ = false;

	/// The answer being read is a late one to an earlier request.
	bool skipping_ = false;
	bool reusable_ = false;
};
} // namespace gingerdyke::proxy
