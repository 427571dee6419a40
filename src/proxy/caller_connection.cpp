// SPDX-License-Identifier: MIT
// A caller's HTTP connection.
#include <gingerdyke/log/log.hpp>
#include <gingerdyke/proxy/caller_connection.hpp>
#include <gingerdyke/proxy/connection_guard.hpp>

namespace gingerdyke::proxy
{
namespace
{
/// Buffer size of one read. Every connection, even an idle one, holds a buffer of this size.
constexpr std::size_t read_size = 4096;

/// Bytes of pipelined requests that are read while a response is in progress; beyond that, reading pauses.
constexpr std::size_t max_pipelined_bytes = 65536;

/// Size of unsent output from which the writer of a stream is asked to wait, and the same while much memory
/// is in use.
constexpr std::size_t backlog_bytes = std::size_t{256} << 10U;
constexpr std::size_t short_backlog_bytes = std::size_t{16} << 10U;

/// Maximum size of unsent output of a stream whose writer does not wait.
constexpr std::size_t max_pending_bytes = std::size_t{4} << 20U;

/// Output is joined to parts of this size, so that small events don't take a buffer each.
constexpr std::size_t output_part_bytes = std::size_t{16} << 10U;

/// Output handed to the kernel at a time, but for larger parts.
constexpr std::size_t write_bytes = std::size_t{64} << 10U;

/// A caller that takes nothing of a stream for this long is disconnected, and its replica stops its work.
constexpr duration max_caller_stall = std::chrono::seconds{5};

/// Maximum wait of a request that arrives while no memory is left to read it. The caller may go to another VM
/// instead.
constexpr duration max_memory_wait = std::chrono::seconds{1};
constexpr const char* memory_retry_after = "1.000";

/// After its last response a caller has this long to close the connection before it is closed here.
constexpr duration close_timeout = std::chrono::seconds{1};

constexpr int bad_request = 400;
constexpr int request_timeout = 408;
constexpr int content_too_large = 413;
constexpr int headers_too_large = 431;
constexpr int unavailable = 503;

std::string_view text_of(const beast::flat_buffer& buffer)
{
	return {static_cast<const char*>(buffer.data().data()), buffer.size()};
}

/// Position after the empty line that ends a header block; none if it has not arrived yet.
std::optional<std::size_t> find_header_end(std::string_view bytes)
{
	const auto crlf = bytes.find("\r\n\r\n");
	if (crlf != std::string_view::npos)
	{
		return crlf + 4;
	}
	// A block with bare line feeds is also found, so that it is rejected immediately.
	const auto bare = bytes.find("\n\n");
	return bare == std::string_view::npos ? std::nullopt : std::optional{bare + 2};
}
} // namespace

caller_connection::caller_connection(
	tcp::socket socket, std::shared_ptr<const caller_connection_callbacks> callbacks)
	: socket_(std::move(socket)), callbacks_(std::move(callbacks)), limits_(callbacks_->limits()),
	  timer_(socket_.get_executor()), arriving_(callbacks_->memory, limits::memory_use::arriving_request,
										  nullptr, post_hook(&caller_connection::refuse_for_memory)),
	  running_(callbacks_->memory, limits::memory_use::running_request, nullptr, {}),
	  output_(
		  callbacks_->memory, limits::memory_use::output, nullptr, post_hook(&caller_connection::drop_output))
{
}

/// The hooks are posted: they are called while another message is accounted for.
limits::memory_hooks caller_connection::post_hook(void (caller_connection::*give_up)())
{
	return {[this, give_up] {
				asio::post(socket_.get_executor(),
					[self = shared_from_this(), give_up] { (self.get()->*give_up)(); });
			},
		[this] { asio::post(socket_.get_executor(), [self = shared_from_this()] { self->read_on(); }); }};
}

void caller_connection::start()
{
	set_connection_options(socket_);
	arm_timer(limits_.idle_timeout);
	read();
}

void caller_connection::close_if_idle()
{
	if (state_ == state::idle)
	{
		close();
	}
}

void caller_connection::send(response outgoing)
{
	if (state_ != state::responding)
	{
		return;
	}
	const bool stays_open = keep_alive_ && !callbacks_->stopping();
	header_fields framing{{"Content-Length", std::to_string(outgoing.body.size())}};
	if (!stays_open)
	{
		framing.push_back({"Connection", "close"});
	}
	if (outgoing.reason.empty())
	{
		outgoing.reason = reason_phrase(outgoing.status);
	}
	auto head = write_head(outgoing.status, outgoing.reason, outgoing.fields, framing);
	write(std::move(head), is_head_request_ ? std::string{} : std::move(outgoing.body));
	finish_response(stays_open);
}

void caller_connection::send_head(int status, std::string_view reason, const header_fields& fields)
{
	if (state_ != state::responding)
	{
		return;
	}
	is_chunked_ = is_http_11_;
	keep_alive_ = keep_alive_ && is_chunked_ && !callbacks_->stopping();
	header_fields framing;
	if (is_chunked_)
	{
		framing.push_back({"Transfer-Encoding", "chunked"});
	}
	if (!keep_alive_)
	{
		framing.push_back({"Connection", "close"});
	}
	write(write_head(status, reason, fields, framing));
}

void caller_connection::write_body(std::string_view bytes)
{
	if (state_ != state::responding || bytes.empty())
	{
		return;
	}
	write(is_chunked_ ? write_chunk(bytes) : std::string{bytes});
	if (pending_bytes_ > max_pending_bytes)
	{
		// Posted, because the writer of the response must not be cancelled in the middle of its call.
		asio::post(socket_.get_executor(), [self = shared_from_this()] { self->disconnect(); });
	}
}

bool caller_connection::is_backlogged() const
{
	const auto allowed = callbacks_->memory->is_short() ? short_backlog_bytes : backlog_bytes;
	return state_ != state::closed && written_bytes_ + pending_bytes_ > allowed;
}

void caller_connection::end_stream()
{
	if (state_ != state::responding)
	{
		return;
	}
	if (is_chunked_)
	{
		write("0\r\n\r\n");
	}
	finish_response(keep_alive_);
}

void caller_connection::abort_stream()
{
	if (state_ == state::closed)
	{
		return;
	}
	active_.reset();
	drained_hook_ = {};
	if (!is_chunked_)
	{
		// Without chunked encoding, an orderly close would look like a complete response: reset the
		// connection.
		error_code ignored;
		socket_.set_option(asio::socket_base::linger{true, 0}, ignored);
		close();
		return;
	}
	state_ = state::finishing;
	arm_timer(close_timeout);
	if (!is_writing_)
	{
		close();
	}
}

void caller_connection::read()
{
	if (is_reading_ || state_ == state::closed)
	{
		return;
	}
	is_reading_ = true;
	socket_.async_read_some(buffer_.prepare(read_size),
		[self = shared_from_this()](const error_code& error, std::size_t size)
		{
			self->is_reading_ = false;
			guard_connection(
				"caller", {}, [&] { self->on_read(error, size); }, [&] { self->disconnect(); });
		});
}

void caller_connection::on_read(const error_code& error, std::size_t size)
{
	if (state_ == state::closed)
	{
		return;
	}
	if (error)
	{
		disconnect();
		return;
	}
	buffer_.commit(size);
	count_bytes(size);
	if (state_ == state::finishing)
	{
		// Data after the last request of the connection is discarded.
		buffer_.consume(buffer_.size());
		read();
		return;
	}
	advance();
	update_arriving();
	read_on();
}

void caller_connection::update_arriving()
{
	const auto body = parser_ ? parser_->get().body().size() : 0;
	arriving_.resize(state_ == state::closed ? 0 : body + buffer_.size());
}

/// Reads on unless too much was read already.
void caller_connection::read_on()
{
	if (is_reading_ || state_ == state::closed || buffer_.size() >= max_pipelined_bytes)
	{
		return;
	}
	const bool must_wait = arriving_.must_wait();
	const bool has_changed = std::exchange(is_waiting_for_memory_, must_wait) != must_wait;
	if (has_changed && state_ == state::reading_body)
	{
		arm_timer(must_wait ? max_memory_wait : limits_.idle_timeout);
	}
	if (!must_wait)
	{
		read();
	}
}

void caller_connection::advance()
{
	bool more = true;
	while (more && buffer_.size() > 0)
	{
		switch (state_)
		{
		case state::idle:
			limits_ = callbacks_->limits();
			state_ = state::reading_head;
			arm_timer(limits_.header_timeout);
			break;
		case state::reading_head:
			more = read_head();
			break;
		case state::reading_body:
			more = read_body();
			break;
		default:
			more = false;
			break;
		}
	}
}

bool caller_connection::read_head()
{
	const auto bytes = text_of(buffer_);
	const auto size = find_header_end(bytes);
	if (!size || *size > limits_.header_bytes)
	{
		if (bytes.size() > limits_.header_bytes)
		{
			refuse(headers_too_large, "header too large");
		}
		return false;
	}
	if (const auto fault = find_header_fault(bytes.substr(0, *size)))
	{
		refuse(bad_request, *fault);
		return false;
	}
	parser_.emplace();
	parser_->body_limit(limits_.body_bytes);
	parser_->header_limit(static_cast<std::uint32_t>(limits_.header_bytes));
	error_code error;
	buffer_.consume(parser_->put(buffer_.data(), error));
	if (error == beast::http::error::body_limit)
	{
		refuse(content_too_large, "body too large");
		return false;
	}
	if (error && error != beast::http::error::need_more)
	{
		refuse(bad_request, error.message());
		return false;
	}
	parser_->eager(true);
	state_ = state::reading_body;
	arm_timer(limits_.idle_timeout);
	const auto expect = parser_->get()[beast::http::field::expect];
	if (!parser_->is_done() && has_token({expect.data(), expect.size()}, "100-continue"))
	{
		write("HTTP/1.1 100 Continue\r\n\r\n");
	}
	if (parser_->is_done())
	{
		start_request();
	}
	return true;
}

bool caller_connection::read_body()
{
	error_code error;
	const auto consumed = parser_->put(buffer_.data(), error);
	buffer_.consume(consumed);
	if (error == beast::http::error::body_limit)
	{
		refuse(content_too_large, "body too large");
		return false;
	}
	if (error && error != beast::http::error::need_more)
	{
		refuse(bad_request, error.message());
		return false;
	}
	if (parser_->is_done())
	{
		start_request();
		return true;
	}
	return consumed > 0;
}

void caller_connection::start_request()
{
	auto& message = parser_->get();
	request incoming;
	incoming.method = std::string{message.method_string()};
	incoming.target = std::string{message.target()};
	constexpr unsigned http_11 = 11;
	incoming.is_http_11 = message.version() == http_11;
	incoming.keep_alive = message.keep_alive();
	for (const auto& field : message)
	{
		incoming.fields.push_back({std::string{field.name_string()}, std::string{field.value()}});
	}
	incoming.body = message.body().take();
	parser_.reset();
	update_arriving();
	running_.resize(incoming.body.size());
	is_http_11_ = incoming.is_http_11;
	keep_alive_ = incoming.keep_alive;
	is_head_request_ = incoming.method == "HEAD";
	is_chunked_ = false;
	state_ = state::responding;
	timer_.cancel();
	if (incoming.target.empty() || incoming.target.front() != '/')
	{
		refuse(bad_request, "target is not a path");
		return;
	}
	auto active = callbacks_->handle(std::move(incoming), shared_from_this());
	if (state_ == state::responding)
	{
		active_ = std::move(active);
	}
}

void caller_connection::refuse(int status, const std::string& explanation, header_fields fields)
{
	state_ = state::responding;
	keep_alive_ = false;
	fields.push_back({"Content-Type", "text/plain"});
	parser_.reset();
	update_arriving();
	send({status, {}, std::move(fields), explanation + "\n"});
}

/// Refuses a request that is still being read; no replica has run it.
void caller_connection::refuse_for_memory()
{
	if (state_ != state::reading_body && state_ != state::reading_head)
	{
		return;
	}
	header_fields fields{{"Retry-After", memory_retry_after}};
	if (parser_ && !callbacks_->request_id_field.empty())
	{
		const auto id = parser_->get()[callbacks_->request_id_field];
		fields.push_back({callbacks_->request_id_field, std::string{id}});
	}
	log::write(log::level::warn, "request refused, no memory to read it",
		{{"request", fields.back().value}, {"bytes", arriving_.size()},
			{"kept_bytes", callbacks_->memory->used_bytes()},
			{"limit_bytes", callbacks_->memory->limit_bytes()}});
	refuse(unavailable, "no memory to read the request", std::move(fields));
}

/// Disconnects a caller that does not take its response.
void caller_connection::drop_output()
{
	if (!output_.is_given_up() || state_ == state::closed)
	{
		return;
	}
	log::write(log::level::warn, "caller disconnected, no memory for its response",
		{{"bytes", output_.size()}, {"kept_bytes", callbacks_->memory->used_bytes()},
			{"limit_bytes", callbacks_->memory->limit_bytes()}});
	disconnect();
}

void caller_connection::count_bytes(std::size_t count) const
{
	if (callbacks_->bytes_transferred)
	{
		callbacks_->bytes_transferred(count);
	}
}

/// \param body Written after the bytes, without being copied.
void caller_connection::write(std::string bytes, std::string body)
{
	for (auto* part : {&bytes, &body})
	{
		count_bytes(part->size());
		pending_bytes_ += part->size();
		const bool fits =
			!pending_parts_.empty() && pending_parts_.back().size() + part->size() <= output_part_bytes;
		if (fits)
		{
			pending_parts_.back() += *part;
		}
		else if (!part->empty())
		{
			pending_parts_.push_back(std::move(*part));
		}
	}
	update_output();
	if (!is_writing_)
	{
		write_next();
	}
}

void caller_connection::write_next()
{
	is_writing_ = true;
	while (!pending_parts_.empty() && written_bytes_ < write_bytes)
	{
		written_bytes_ += pending_parts_.front().size();
		written_parts_.push_back(std::move(pending_parts_.front()));
		pending_parts_.pop_front();
	}
	pending_bytes_ -= written_bytes_;
	std::vector<asio::const_buffer> buffers;
	buffers.reserve(written_parts_.size());
	for (const auto& part : written_parts_)
	{
		buffers.emplace_back(asio::buffer(part));
	}
	asio::async_write(socket_, buffers,
		[self = shared_from_this()](const error_code& error, std::size_t) { self->on_written(error); });
}

void caller_connection::update_output()
{
	output_.resize(state_ == state::closed ? 0 : written_bytes_ + pending_bytes_);
}

void caller_connection::on_written(const error_code& error)
{
	is_writing_ = false;
	written_parts_.clear();
	written_bytes_ = 0;
	if (state_ == state::closed)
	{
		return;
	}
	if (error)
	{
		disconnect();
		return;
	}
	update_output();
	if (pending_bytes_ > 0)
	{
		write_next();
	}
	if (drained_hook_)
	{
		on_backlog_shrunk();
	}
	if (is_writing_)
	{
		return;
	}
	if (state_ == state::finishing)
	{
		// Only the sending side is shut down: closing with unread input would reset the connection before the
		// caller has read the response.
		error_code ignored;
		socket_.shutdown(tcp::socket::shutdown_send, ignored);
	}
}

void caller_connection::when_drained(const std::function<void()>& hook)
{
	drained_hook_ = hook;
	arm_timer(max_caller_stall);
}

void caller_connection::on_backlog_shrunk()
{
	if (is_backlogged())
	{
		arm_timer(max_caller_stall);
		return;
	}
	timer_.cancel();
	const auto hook = std::exchange(drained_hook_, nullptr);
	hook();
}

void caller_connection::finish_response(bool keep_open)
{
	active_.reset();
	drained_hook_ = {};
	running_.resize(0);
	if (!keep_open)
	{
		state_ = state::finishing;
		arm_timer(close_timeout);
		return;
	}
	state_ = state::idle;
	arm_timer(limits_.idle_timeout);
	// Posted, so that a series of pipelined requests does not recurse.
	asio::post(socket_.get_executor(),
		[self = shared_from_this()]
		{
			if (self->state_ == state::idle)
			{
				guard_connection(
					"caller", {},
					[&]
					{
						self->advance();
						self->update_arriving();
						self->read_on();
					},
					[&] { self->disconnect(); });
			}
		});
}

void caller_connection::arm_timer(duration span)
{
	timer_.expires_after(span);
	timer_.async_wait(
		[self = shared_from_this()](const error_code& error)
		{
			// The handler of an earlier expiry may have been queued before the timer was set again.
			if (!error && self->timer_.expiry() <= boot_clock::now())
			{
				self->on_timer();
			}
		});
}

void caller_connection::on_timer()
{
	switch (state_)
	{
	case state::reading_head:
	case state::reading_body:
		if (is_waiting_for_memory_)
		{
			refuse_for_memory();
			break;
		}
		refuse(request_timeout, "request took too long to arrive");
		break;
	case state::responding:
		if (drained_hook_)
		{
			disconnect();
		}
		break;
	case state::idle:
	case state::finishing:
		close();
		break;
	default:
		break;
	}
}

void caller_connection::disconnect()
{
	if (state_ == state::closed)
	{
		return;
	}
	if (const auto active = std::exchange(active_, nullptr))
	{
		active->cancel();
	}
	close();
}

void caller_connection::close()
{
	state_ = state::closed;
	timer_.cancel();
	drained_hook_ = {};
	parser_.reset();
	pending_parts_.clear();
	pending_bytes_ = 0;
	error_code ignored;
	socket_.close(ignored);
	update_arriving();
	update_output();
	running_.resize(0);
}
} // namespace gingerdyke::proxy
