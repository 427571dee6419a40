// SPDX-License-Identifier: MIT
// One connection of a caller.
#include <gingerdyke/proxy/caller_link.hpp>

namespace gingerdyke::proxy
{
namespace
{
/// Bytes asked for by one read. Each connection holds as many, idle ones too.
constexpr std::size_t read_size = 4096;

/// Bytes of further requests that are taken in while one is answered; beyond them the caller has to wait.
constexpr std::size_t pipelined_bytes = 65536;

/// Bytes that may wait to be written to a caller. One that reads slower than its answer comes is given up
/// beyond them: the users' largest answers have a few thousand bytes, and a VM has 160 MB.
constexpr std::size_t most_pending = 4U << 20U;

/// A caller that has its last answer gets this long to close; then the connection is closed here.
constexpr duration close_wait = std::chrono::seconds{1};

constexpr int bad_request = 400;
constexpr int request_timeout = 408;
constexpr int content_too_large = 413;
constexpr int headers_too_large = 431;

std::string_view text_of(const beast::flat_buffer& buffer)
{
	return {static_cast<const char*>(buffer.data().data()), buffer.size()};
}

/// Position after the empty line that ends a header block; none where it is not there yet.
std::optional<std::size_t> end_of_block(std::string_view bytes)
{
	const auto crlf = bytes.find("\r\n\r\n");
	if (crlf != std::string_view::npos)
	{
		return crlf + 4;
	}
	// A block of bare line feeds is found as well, to be refused at once.
	const auto bare = bytes.find("\n\n");
	return bare == std::string_view::npos ? std::nullopt : std::optional{bare + 2};
}
} // namespace

caller_link::caller_link(tcp::socket socket, std::shared_ptr<const caller_link_host> host)
	: socket_(std::move(socket)), host_(std::move(host)), limits_(host_->limits()),
	  timer_(socket_.get_executor())
{
}

void caller_link::start()
{
	set_connection_options(socket_);
	arm_timer(limits_.idle_timeout);
	read();
}

void caller_link::close_if_idle()
{
	if (state_ == state::idle)
	{
		close();
	}
}

void caller_link::send(whole_answer answer)
{
	if (state_ != state::answering)
	{
		return;
	}
	const bool stays = keep_alive_ && !host_->stopping();
	header_fields framing{{"Content-Length", std::to_string(answer.body.size())}};
	if (!stays)
	{
		framing.push_back({"Connection", "close"});
	}
	if (answer.reason.empty())
	{
		answer.reason = reason_of(answer.status);
	}
	auto bytes = write_head(answer.status, answer.reason, answer.fields, framing);
	if (!is_head_)
	{
		bytes += answer.body;
	}
	write(bytes);
	finish_answer(stays);
}

void caller_link::begin(int status, std::string_view reason, const header_fields& fields)
{
	if (state_ != state::answering)
	{
		return;
	}
	is_chunked_ = request_.is_http_11;
	keep_alive_ = keep_alive_ && is_chunked_ && !host_->stopping();
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

void caller_link::pass(std::string_view bytes)
{
	if (state_ != state::answering || bytes.empty())
	{
		return;
	}
	write(is_chunked_ ? write_chunk(bytes) : std::string{bytes});
}

void caller_link::end()
{
	if (state_ != state::answering)
	{
		return;
	}
	if (is_chunked_)
	{
		write("0\r\n\r\n");
	}
	finish_answer(keep_alive_);
}

void caller_link::break_off()
{
	if (state_ == state::closed)
	{
		return;
	}
	active_.reset();
	if (!is_chunked_)
	{
		// Without chunks a plain end would look complete: reset instead.
		error_code ignored;
		socket_.set_option(asio::socket_base::linger{true, 0}, ignored);
		close();
		return;
	}
	state_ = state::finishing;
	arm_timer(close_wait);
	if (!write_under_way_)
	{
		close();
	}
}

void caller_link::read()
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
			self->on_read(error, size);
		});
}

void caller_link::on_read(const error_code& error, std::size_t size)
{
	if (state_ == state::closed)
	{
		return;
	}
	if (error)
	{
		on_gone();
		return;
	}
	buffer_.commit(size);
	if (state_ == state::finishing)
	{
		// Whatever comes after the last answer is not read as a request.
		buffer_.consume(buffer_.size());
		read();
		return;
	}
	advance();
	if (buffer_.size() < pipelined_bytes)
	{
		read();
	}
}

void caller_link::advance()
{
	bool more = true;
	while (more && buffer_.size() > 0)
	{
		switch (state_)
		{
		case state::idle:
			limits_ = host_->limits();
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

bool caller_link::read_head()
{
	const auto bytes = text_of(buffer_);
	const auto size = end_of_block(bytes);
	if (!size || *size > limits_.header_bytes)
	{
		if (bytes.size() > limits_.header_bytes)
		{
			refuse(headers_too_large, "header too large");
		}
		return false;
	}
	if (const auto fault = find_ambiguity(bytes.substr(0, *size)))
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
		take_request();
	}
	return true;
}

bool caller_link::read_body()
{
	error_code error;
	const auto used = parser_->put(buffer_.data(), error);
	buffer_.consume(used);
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
		take_request();
		return true;
	}
	return used > 0;
}

void caller_link::take_request()
{
	auto& message = parser_->get();
	request_ = {};
	request_.method = std::string{message.method_string()};
	request_.target = std::string{message.target()};
	constexpr unsigned http_11 = 11;
	request_.is_http_11 = message.version() == http_11;
	request_.keep_alive = message.keep_alive();
	for (const auto& field : message)
	{
		request_.fields.push_back({std::string{field.name_string()}, std::string{field.value()}});
	}
	request_.body = std::move(message.body());
	parser_.reset();
	keep_alive_ = request_.keep_alive;
	is_head_ = request_.method == "HEAD";
	is_chunked_ = false;
	state_ = state::answering;
	timer_.cancel();
	if (request_.target.empty() || request_.target.front() != '/')
	{
		refuse(bad_request, "target is not a path");
		return;
	}
	auto active = host_->handle(request_, shared_from_this());
	if (state_ == state::answering)
	{
		active_ = std::move(active);
	}
}

void caller_link::refuse(int status, const std::string& why)
{
	state_ = state::answering;
	keep_alive_ = false;
	send({status, {}, {{"Content-Type", "text/plain"}}, why + "\n"});
}

void caller_link::write(std::string_view bytes)
{
	pending_ += bytes;
	if (pending_.size() > most_pending)
	{
		// Posted: whoever passes bytes on must not be cancelled in the middle of it.
		asio::post(socket_.get_executor(), [self = shared_from_this()] { self->on_gone(); });
	}
	if (!write_under_way_)
	{
		write_next();
	}
}

void caller_link::write_next()
{
	write_under_way_ = true;
	writing_ = std::exchange(pending_, {});
	asio::async_write(socket_, asio::buffer(writing_),
		[self = shared_from_this()](const error_code& error, std::size_t) { self->on_written(error); });
}

void caller_link::on_written(const error_code& error)
{
	write_under_way_ = false;
	if (state_ == state::closed)
	{
		return;
	}
	if (error)
	{
		on_gone();
		return;
	}
	if (!pending_.empty())
	{
		write_next();
		return;
	}
	if (state_ == state::finishing)
	{
		// The caller reads to the end first: closing with unread bytes would reset the connection.
		error_code ignored;
		socket_.shutdown(tcp::socket::shutdown_send, ignored);
	}
}

void caller_link::finish_answer(bool may_continue)
{
	active_.reset();
	if (!may_continue)
	{
		state_ = state::finishing;
		arm_timer(close_wait);
		return;
	}
	state_ = state::idle;
	arm_timer(limits_.idle_timeout);
	// Posted, so that a run of pipelined requests does not deepen the stack.
	asio::post(socket_.get_executor(),
		[self = shared_from_this()]
		{
			if (self->state_ == state::idle)
			{
				self->advance();
				self->read();
			}
		});
}

void caller_link::arm_timer(duration span)
{
	timer_.expires_after(span);
	timer_.async_wait(
		[self = shared_from_this()](const error_code& error)
		{
			if (!error)
			{
				self->on_timer();
			}
		});
}

void caller_link::on_timer()
{
	switch (state_)
	{
	case state::reading_head:
	case state::reading_body:
		refuse(request_timeout, "request took too long to arrive");
		break;
	case state::idle:
	case state::finishing:
		close();
		break;
	default:
		break;
	}
}

void caller_link::on_gone()
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

void caller_link::close()
{
	state_ = state::closed;
	timer_.cancel();
	error_code ignored;
	socket_.close(ignored);
}
} // namespace gingerdyke::proxy
