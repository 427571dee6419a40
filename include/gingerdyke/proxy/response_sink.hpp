// SPDX-License-Identifier: MIT
// Where an answer to a caller goes, and how a request in progress is told that its caller has left.
#pragma once

#include <functional>
#include <gingerdyke/proxy/message.hpp>
#include <memory>
#include <string>
#include <string_view>

namespace gingerdyke::proxy
{
/// \brief A whole answer.
struct response
{
	int status{};
	std::string reason;
	header_fields fields;
	std::string body;
};

/// \brief Takes one answer: either `send`, or `begin` with `pass` and then `end` or `break_off`.
class response_sink
{
  public:
	virtual ~response_sink() = default;

	/// \brief Sends a whole answer.
	virtual void send(response answer) = 0;

	/// \brief Begins an answer whose length is not known.
	virtual void send_head(int status, std::string_view reason, const header_fields& fields) = 0;

	/// \brief Passes bytes of the body on at once.
	virtual void write_body(std::string_view bytes) = 0;

	/// \brief Ends the answer as complete.
	virtual void end_stream() = 0;

	/// \brief Ends the answer so that the caller sees that it is not complete.
	virtual void abort_stream() = 0;
};

/// \brief A request being answered.
class active_request
{
  public:
	virtual ~active_request() = default;

	/// \brief The caller has left: stop all work for it.
	virtual void cancel() = 0;
};

/// \brief Answers requests: at once, or later through the sink.
using request_handler = std::function<std::shared_ptr<active_request>(request, std::shared_ptr<response_sink>)>;
} // namespace gingerdyke::proxy
