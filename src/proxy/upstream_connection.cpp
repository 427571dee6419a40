// SPDX-License-Identifier: MIT
// An HTTP/1.1 connection to a replica.
#include <array>
#include <charconv>
#include <gingerdyke/base/http_status.hpp>
#include <gingerdyke/log/log.hpp>
#include <gingerdyke/proxy/connection_guard.hpp>
#include <gingerdyke/proxy/upstream_connection.hpp>
#include <limits>

namespace gingerdyke::proxy
{
namespace
{
/// Buffer size of one read, enough for most complete responses of a plain service. Every connection, even an
/// idle one, holds a buffer of this size, and a VM has more than a hundred.
constexpr std::size_t read_size = 2048;

/// Maximum size of a response head in bytes; the deployments' replicas send a few hundred.
constexpr std::uint32_t max_head_bytes = 65536;

/// Maximum size of what comes with a response beside its body: heads, interim ones included, and the
/// framing of chunks. Sound replicas frame each byte with a few others at most.
constexpr std::uint64_t max_framing_bytes = 2 * max_head_bytes;
constexpr std::uint64_t max_framing_bytes_per_body_byte = 8;

/// Maximum size of late responses to other requests that are skipped before the one to the current request.
constexpr std::uint64_t max_skipped_bytes = std::uint64_t{1} << 20U;

template <typename Parser>
response_head head_of(const Parser& parser)
{
	response_head head;
	const auto& message = parser.get();
	head.status = static_cast<int>(message.result_int());
	head.reason = std::string{message.reason()};
	for (const auto& field : message)
	{
		head.fields.push_back({std::string{field.name_string()}, std::string{field.value()}});
	}
	if (const auto length = parser.content_length())
	{
		head.length = *length;
	}
	head.ends_with_connection = parser.need_eof();
	return head;
}
} // namespace

const char* name_of(upstream_fault fault) noexcept
{
	switch (fault)
	{
	case upstream_fault::not_connected:
		return "not connected";
	case upstream_fault::connect_refused:
		return "connection refused";
	case upstream_fault::no_response:
		return "no answer";
	case upstream_fault::truncated_response:
		return "cut answer";
	case upstream_fault::timed_out:
		return "connection timed out";
	case upstream_fault::invalid_response:
		return "bad answer";
	case upstream_fault::too_large:
		return "answer too large";
	case upstream_fault::out_of_memory:
		return "no memory for the answer";
	}
	return "unknown";
}

bool is_response_content_fault(upstream_fault fault) noexcept
{
	return fault == upstream_fault::invalid_response || fault == upstream_fault::too_large;
}

/// The hooks are posted: they are called while another message is accounted for.
upstream_connection::upstream_connection(asio::io_context& context, routing::replica_ptr to,
	std::string id_field, std::shared_ptr<limits::memory_account> memory)
	: context_(context), target_(std::move(to)), id_field_(std::move(id_field)), socket_(context),
	  kept_(std::move(memory), limits::memory_use::response, target_.get(),
		  {[this] { asio::post(context_, [self = shared_from_this()] { self->give_up(); }); },
			  [this] { asio::post(context_, [self = shared_from_this()] { self->read_on(); }); }})
{
}

void upstream_connection::send(upstream_request outgoing, upstream_callbacks callbacks)
{
	request_ = std::move(outgoing);
	callbacks_ = std::make_shared<const upstream_callbacks>(std::move(callbacks));
	busy_ = true;
	request_written_ = false;
	head_delivered_ = false;
	skipping_stale_response_ = false;
	reusable_ = false;
	is_paused_ = false;
	body_bytes_ = 0;
	skipped_bytes_ = 0;
	framing_bytes_ = 0;
	collected_bytes_ = 0;
	start_parser();
	if (connected_)
	{
		write();
	}
	else
	{
		connect();
	}
}

void upstream_connection::close()
{
	closed_ = true;
	busy_ = false;
	reusable_ = false;
	callbacks_.reset();
	idle_close_hook_ = {};
	error_code ignored;
	socket_.close(ignored);
	kept_.resize(0);
}

void upstream_connection::connect()
{
	error_code error;
	const auto ip = asio::ip::make_address_v4(target_->at.ip, error);
	if (error)
	{
		asio::post(context_, [self = shared_from_this()] { self->fail(upstream_fault::not_connected); });
		return;
	}
	socket_.async_connect({ip, target_->at.port},
		[self = shared_from_this(), began_at = steady_now()](const error_code& connect_error)
		{
			if (self->closed_)
			{
				return;
			}
			if (connect_error)
			{
				const bool is_refused = connect_error == asio::error::connection_refused;
				self->fail(is_refused ? upstream_fault::connect_refused : upstream_fault::not_connected);
				return;
			}
			self->connected_ = true;
			self->connect_time_ = steady_now() - began_at;
			set_connection_options(self->socket_);
			const auto callbacks = self->callbacks_;
			callbacks->connection_opened();
			if (!self->closed_)
			{
				self->read();
				self->write();
			}
		});
}

void upstream_connection::write()
{
	set_unacknowledged_timeout(socket_, request_.unacknowledged_timeout);
	// Keeps the bytes alive during the write, even if the connection is closed meanwhile.
	const auto head = std::make_shared<const std::string>(std::move(request_.head));
	const auto body = request_.body ? std::move(request_.body) : std::make_shared<const std::string>();
	const std::array buffers{asio::buffer(*head), asio::buffer(*body)};
	asio::async_write(socket_, buffers,
		[self = shared_from_this(), head, body](const error_code& error, std::size_t)
		{
			// The attempt goes on after an error: a response may have arrived before the connection broke,
			// and reads fail or end behind it.
			self->request_written_ = !error;
		});
}

void upstream_connection::read()
{
	is_reading_ = true;
	socket_.async_read_some(buffer_.prepare(read_size),
		[self = shared_from_this()](const error_code& error, std::size_t size)
		{
			self->is_reading_ = false;
			guard_connection(
				"upstream", self->request_.id, [&] { self->on_read(error, size); },
				[&] { self->fail(upstream_fault::invalid_response); });
		});
}

/// Reads on unless the response is held up.
void upstream_connection::read_on()
{
	if (closed_ || is_reading_)
	{
		return;
	}
	is_waiting_for_memory_ = busy_ && kept_.must_wait();
	if (!is_held_up())
	{
		read();
	}
}

void upstream_connection::resume()
{
	is_paused_ = false;
	read_on();
}

void upstream_connection::set_collected(std::size_t bytes)
{
	collected_bytes_ = bytes;
	update_kept();
}

void upstream_connection::update_kept()
{
	const auto buffered = buffer_.capacity() > read_size ? buffer_.capacity() : 0;
	kept_.resize(collected_bytes_ + buffered);
}

void upstream_connection::give_up()
{
	if (busy_ && !closed_ && kept_.is_given_up())
	{
		fail(upstream_fault::out_of_memory);
	}
}

void upstream_connection::on_read(const error_code& error, std::size_t size)
{
	if (closed_)
	{
		return;
	}
	buffer_.commit(size);
	if (!busy_)
	{
		// No data is expected on an idle connection: whether it was closed or has received bytes, it can't be
		// reused.
		const auto on_idle_closed = std::move(idle_close_hook_);
		close();
		if (on_idle_closed)
		{
			on_idle_closed();
		}
		return;
	}
	if (error)
	{
		on_end_of_connection(error);
		return;
	}
	on_bytes();
	if (!closed_)
	{
		update_kept();
		read_on();
	}
}

void upstream_connection::on_bytes()
{
	while (busy_ && !closed_ && buffer_.size() > 0 && parse_next())
	{
	}
	if (busy_ && !closed_ && has_excess())
	{
		fail(upstream_fault::invalid_response);
	}
}

/// Whether more has come beside the response's body than a sound replica sends. A parser that waits for the
/// end of a line or a head leaves its bytes in the buffer.
bool upstream_connection::has_excess() const
{
	return buffer_.size() > max_head_bytes || skipped_bytes_ > max_skipped_bytes ||
		   framing_bytes_ > max_framing_bytes + max_framing_bytes_per_body_byte * body_bytes_;
}

bool upstream_connection::parse_next()
{
	error_code error;
	const auto consumed = parser_->put(buffer_.data(), error);
	buffer_.consume(consumed);
	if (error && error != beast::http::error::need_more)
	{
		fail(upstream_fault::invalid_response);
		return false;
	}
	framing_bytes_ += consumed - parser_->get().body().size();
	if (parser_->is_header_done() && !head_delivered_ && !on_head())
	{
		return !closed_ && busy_;
	}
	if (!deliver_body())
	{
		return false;
	}
	if (parser_->is_done())
	{
		finish();
		return true;
	}
	return consumed > 0;
}

/// \returns False if the connection was closed.
bool upstream_connection::deliver_body()
{
	const auto bytes = std::exchange(parser_->get().body(), {});
	if (skipping_stale_response_)
	{
		skipped_bytes_ += bytes.size();
		return true;
	}
	if (bytes.empty())
	{
		return true;
	}
	body_bytes_ += bytes.size();
	const auto self = shared_from_this();
	const auto callbacks = callbacks_;
	callbacks->body_received(bytes);
	return !closed_;
}

void upstream_connection::start_parser()
{
	parser_.emplace();
	// In this version of Beast, `boost::none` would reject every response with a `Content-Length`.
	parser_->body_limit(std::numeric_limits<std::uint64_t>::max());
	parser_->header_limit(max_head_bytes);
	parser_->eager(true);
	parser_->skip(request_.is_head);
}

/// \returns False if the head is not passed on: it was interim, or the connection was closed.
bool upstream_connection::on_head()
{
	auto head = head_of(*parser_);
	if (http_status::is_interim(head.status))
	{
		start_parser();
		return false;
	}
	const bool is_final = http_status::is_final(head.status);
	if (!is_final || has_unknown_transfer_coding(head.fields))
	{
		log::write(log::level::warn, "invalid head of a response",
			{{"request", request_.id}, {"from", target_->id.str()}, {"status", head.status},
				{"fault",
					is_final ? "transfer coding other than chunked" : "status that is not a final one"}});
		fail(upstream_fault::invalid_response);
		return false;
	}
	head_delivered_ = true;
	const auto* id = head.find(id_field_);
	if (id != nullptr && *id != request_.id)
	{
		skipping_stale_response_ = true;
		return true;
	}
	read_keep_alive(head.fields);
	const auto* connection = head.find("Connection");
	reusable_ = !head.ends_with_connection && !(connection != nullptr && has_token(*connection, "close"));
	const auto self = shared_from_this();
	const auto callbacks = callbacks_;
	callbacks->head_received(std::move(head));
	return !closed_;
}

void upstream_connection::on_end_of_connection(const error_code& error)
{
	const bool has_open_body = head_delivered_ && !skipping_stale_response_ && parser_->need_eof();
	if (has_open_body && error == asio::error::eof && ends_response())
	{
		error_code ignored;
		parser_->put_eof(ignored);
		reusable_ = false;
		finish();
		return;
	}
	if (!connected_)
	{
		fail(upstream_fault::not_connected);
		return;
	}
	if (error == asio::error::timed_out)
	{
		fail(upstream_fault::timed_out);
		return;
	}
	fail(head_delivered_ && !skipping_stale_response_ ? upstream_fault::truncated_response
													  : upstream_fault::no_response);
}

/// Whether the end of the connection completes a response without length. If that is not known, the response
/// counts as cut.
bool upstream_connection::ends_response()
{
	const auto is_in_order = proxy::has_closed_in_order(socket_);
	if (!is_in_order)
	{
		log::write(log::level::warn, "state of a connection not known, response without length taken as cut",
			{{"request", request_.id}, {"from", target_->id.str()},
				{"error", is_in_order.error().message()}});
	}
	return is_in_order.value_or(false);
}

void upstream_connection::finish()
{
	if (skipping_stale_response_)
	{
		// This was a late response to an earlier request; the one to the current request is still to come.
		skipping_stale_response_ = false;
		head_delivered_ = false;
		start_parser();
		return;
	}
	++response_count_;
	set_collected(0);
	if (buffer_.size() == 0 && buffer_.capacity() > read_size)
	{
		// Idle connections keep no more than the buffer of one read.
		buffer_.shrink_to_fit();
	}
	// A connection is not reused if the response came before the request was sent, or was followed by further
	// bytes.
	reusable_ = reusable_ && request_written_ && buffer_.size() == 0;
	busy_ = false;
	const auto callbacks = std::exchange(callbacks_, nullptr);
	const auto self = shared_from_this();
	callbacks->response_completed();
}

void upstream_connection::fail(upstream_fault fault)
{
	if (closed_)
	{
		return;
	}
	const auto callbacks = callbacks_;
	const auto self = shared_from_this();
	close();
	if (callbacks)
	{
		callbacks->request_failed(fault);
	}
}

void upstream_connection::read_keep_alive(const header_fields& fields)
{
	const auto* text = find_field(fields, "Keep-Alive");
	if (text == nullptr)
	{
		return;
	}
	constexpr std::string_view name = "timeout=";
	const auto at = text->find(name);
	if (at == std::string::npos)
	{
		return;
	}
	unsigned seconds = 0;
	const auto* begin = text->data() + at + name.size();
	if (std::from_chars(begin, text->data() + text->size(), seconds).ec == std::errc{})
	{
		keep_alive_ = std::chrono::seconds{seconds};
	}
}
} // namespace gingerdyke::proxy
