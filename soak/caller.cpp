// SPDX-License-Identifier: MIT
// A caller that sends one request after the other to one VM.
#include "caller.hpp"

#include <boost/beast/http/read.hpp>
#include <names.hpp>
#include <standin/deployment.hpp>

namespace gingerdyke::soak
{
namespace
{
using proxy::error_code;

/// A caller's own limit, above that of the routes.
constexpr std::chrono::seconds limit{4};

/// Between two requests, and before a lost connection is made anew.
constexpr std::chrono::milliseconds rest{8};
constexpr std::chrono::milliseconds reconnect_rest{60};

std::string prompt_segments(const std::vector<std::string>& parts)
{
	std::string segments;
	for (const auto& part : parts)
	{
		segments += (segments.empty() ? "" : ",") + part + ":100";
	}
	return segments;
}

std::string request_bytes(const sent_request& what)
{
	const auto names = platform::header_names();
	const bool has_body = what.kind != request_kind::repeatable;
	std::string bytes = (has_body ? "POST " : "GET ") + what.path +
						" HTTP/1.1\r\nHost: " + platform::standin::host_name + "\r\n" + names.request_id +
						": " + what.id + "\r\n" + "Authorization: " + names.key_scheme + " " + what.key +
						"\r\n" + names.deadline_ms + ": 3500\r\n";
	if (!what.parts.empty())
	{
		bytes += names.prompt_segments + ": " + prompt_segments(what.parts) + "\r\n";
	}
	return bytes + (has_body ? "Content-Length: 4\r\n\r\nbody" : "\r\n");
}
} // namespace

caller::caller(proxy::asio::io_context& context, routing::address at, caller_hooks hooks)
	: at_(std::move(at)), hooks_(std::move(hooks)), socket_(context), limit_(context), pause_(context)
{
}

void caller::start()
{
	if (stopping_)
	{
		return;
	}
	socket_.is_open() ? write() : connect();
}

void caller::connect()
{
	buffer_.clear();
	socket_.async_connect({proxy::asio::ip::make_address_v4(at_.ip), at_.port},
		[self = shared_from_this()](const error_code& error)
		{
			if (error)
			{
				self->drop();
				self->pause_then([self] { self->start(); });
				return;
			}
			self->write();
		});
}

void caller::write()
{
	current_ = hooks_.next();
	bytes_ = request_bytes(current_);
	timed_out_ = false;
	limit_.expires_after(limit);
	limit_.async_wait(
		[self = shared_from_this()](const error_code& error)
		{
			if (!error)
			{
				self->on_limit();
			}
		});
	proxy::asio::async_write(socket_, proxy::asio::buffer(bytes_),
		[self = shared_from_this()](const error_code&, std::size_t)
		{
			// A failed write shows in the read.
			self->read();
		});
}

void caller::read()
{
	parser_.emplace();
	proxy::beast::http::async_read(socket_, buffer_, *parser_,
		[self = shared_from_this()](const error_code& error, std::size_t) { self->finish(error); });
}

void caller::on_limit()
{
	timed_out_ = true;
	drop();
}

void caller::finish(const error_code& error)
{
	limit_.cancel();
	received_answer answer;
	answer.is_whole = !error && parser_->is_done();
	answer.timed_out = timed_out_;
	answer.at = proxy::steady_now();
	if (parser_->is_header_done())
	{
		answer.status = static_cast<int>(parser_->get().result_int());
		answer.body = parser_->get().body();
	}
	hooks_.answered(current_.id, answer);
	if (error || !parser_->get().keep_alive())
	{
		drop();
	}
	pause_then([self = shared_from_this()] { self->start(); });
}

void caller::pause_then(std::function<void()> then)
{
	pause_.expires_after(socket_.is_open() ? rest : reconnect_rest);
	pause_.async_wait(
		[self = shared_from_this(), then = std::move(then)](const error_code& error)
		{
			if (!error)
			{
				then();
			}
		});
}

void caller::drop()
{
	error_code ignored;
	socket_.close(ignored);
}
} // namespace gingerdyke::soak
