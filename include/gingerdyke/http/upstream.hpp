// SPDX-License-Identifier: MIT
// Calls to upstreams: one attempt each, reported as exactly as can be told from outside.
#pragma once

#include <functional>
#include <gingerdyke/base/json_source.hpp>
#include <gingerdyke/node/request.hpp>
#include <gingerdyke/session/stream_check.hpp>
#include <httplib.h>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace gingerdyke::http
{
/// \brief Kept-alive connections to upstreams.
class client_pool
{
  public:
	/// \param silence Longest silence of an upstream in the middle of an answer.
	explicit client_pool(duration silence) : silence_(silence) {}

	using client_ptr = std::unique_ptr<httplib::Client>;

	/// \brief A connection to an address.
	/// \param fresh A new one: a kept one may turn out closed only after the request was sent.
	[[nodiscard]] client_ptr take(const std::string& address, bool fresh);

	/// \brief Keeps a connection for later.
	void give_back(const std::string& address, client_ptr client);

  private:
	duration silence_;
	std::mutex mutex_;
	std::map<std::string, std::vector<client_ptr>> idle_;
};

/// \brief A whole answer.
struct whole_answer
{
	int status{};
	std::string content_type;
	std::string body;
};

/// \brief What an attempt at a chat engine is made of.
struct chat_attempt
{
	const request_id& id;
	const json& body;
	const node::dispatch_order& order;

	/// No second copy of the request may come to be, so no kept connection is used.
	bool unrepeatable{};
};

/// \brief What the attempt tells while it runs.
struct chat_hooks
{
	/// Passes a chunk on; false: the caller has left.
	std::function<bool(const std::string& data)> pass;

	/// Called with the number of tokens so far, about once a second.
	std::function<void(tokens)> progress;
};

/// \brief Runs one streamed attempt. The end of the answer, from the chunk that finishes it, is held back.
/// \param held Receives the chunks that finish the answer.
[[nodiscard]] node::attempt_report run_streamed(client_pool& pool, const chat_attempt& attempt,
	session::stream_check& check, const chat_hooks& hooks, std::vector<std::string>& held);

/// \brief Runs one attempt for a whole answer.
[[nodiscard]] node::attempt_report run_whole(
	client_pool& pool, const chat_attempt& attempt, whole_answer& answer);

/// \brief What is passed through to a plain service.
struct service_call
{
	request_id id;
	std::string method;
	std::string path;
	std::string content_type;
	std::string body;
	bool unrepeatable{};
};

/// \brief Runs one call of a plain service.
[[nodiscard]] node::attempt_report run_service(
	client_pool& pool, const service_call& call, const node::dispatch_order& order, whole_answer& answer);
} // namespace gingerdyke::http
