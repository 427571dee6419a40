// SPDX-License-Identifier: MIT
// Interface through which a response is written to a caller, and through which a request in progress is
// cancelled.
#pragma once

#include <functional>
#include <gingerdyke/proxy/message.hpp>
#include <memory>
#include <string>
#include <string_view>

namespace gingerdyke::proxy
{
/// \brief A complete response, with its whole body.
struct response
{
	int status{};
	std::string reason;
	header_fields fields;
	std::string body;
};

/// \brief Writes one response: either `send`, or `send_head`, any number of `write_body`, and then
/// `end_stream` or `abort_stream`.
class response_sink
{
  public:
	virtual ~response_sink() = default;

	/// \brief Sends a complete response.
	virtual void send(response complete_response) = 0;

	/// \brief Sends the head of a response whose length is not known in advance.
	virtual void send_head(int status, std::string_view reason, const header_fields& fields) = 0;

	/// \brief Writes a part of the body without buffering it.
	virtual void write_body(std::string_view bytes) = 0;

	/// \brief Whether the caller has not taken so much of what was written that no more should be.
	[[nodiscard]] virtual bool is_backlogged() const { return false; }

	/// \brief Calls a hook once the caller has taken what was written. A later hook replaces it.
	virtual void when_drained(const std::function<void()>& /*hook*/) {}

	/// \brief Ends the response as complete.
	virtual void end_stream() = 0;

	/// \brief Ends the response in such a way that the caller can tell that it is truncated.
	virtual void abort_stream() = 0;
};

/// \brief A request in progress.
class active_request
{
  public:
	virtual ~active_request() = default;

	/// \brief Called when the caller has disconnected: stops all work on the request.
	virtual void cancel() = 0;
};

/// \brief Handles a request. The response is written to the sink, during the call or later.
using request_handler =
	std::function<std::shared_ptr<active_request>(request, std::shared_ptr<response_sink>)>;
} // namespace gingerdyke::proxy
