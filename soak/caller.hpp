// SPDX-License-Identifier: MIT
// A caller that sends one request after the other to one VM and keeps its connection as long as it can.
#pragma once

#include "history.hpp"

#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <gingerdyke/proxy/asio.hpp>

namespace gingerdyke::soak
{
/// \brief What a caller needs from the soak.
struct caller_hooks
{
	/// The next request; its VM and life are filled in.
	std::function<sent_request()> next;

	/// What came of it.
	std::function<void(const std::string& id, const received_answer&)> answered;
};

/// \brief One caller.
class caller : public std::enable_shared_from_this<caller>
{
  public:
	/// \param at Where the VM takes callers.
	caller(proxy::asio::io_context& context, routing::address at, caller_hooks hooks);

	void start();

	/// \brief Sends nothing more after the answer that is awaited.
	void stop() { stopping_ = true; }

  private:
	using parser = proxy::beast::http::response_parser<proxy::beast::http::string_body>;

	void connect();
	void write();
	void read();
	void finish(const proxy::error_code& error);
	void on_limit();
	void pause_then(std::function<void()> then);
	void drop();

	routing::address at_;
	caller_hooks hooks_;
	proxy::tcp::socket socket_;
	proxy::boot_timer limit_;
	proxy::boot_timer pause_;
	proxy::beast::flat_buffer buffer_;
	std::optional<parser> parser_;
	std::string bytes_;
	sent_request current_;
	bool timed_out_ = false;
	bool stopping_ = false;
};
} // namespace gingerdyke::soak
