// SPDX-License-Identifier: MIT
// Carries out the node's orders for one request, in the thread that handles it.
#pragma once

#include <chrono>
#include <gingerdyke/base/boot_clock.hpp>
#include <gingerdyke/http/upstream.hpp>
#include <gingerdyke/metrics/registry.hpp>
#include <gingerdyke/node/host.hpp>
#include <gingerdyke/platform/rater.hpp>
#include <memory>
#include <string>
#include <vector>

namespace gingerdyke::http
{
/// \brief What all requests of a process share.
struct runner_parts
{
	node::host& node;
	client_pool& pool;
	metrics::registry& metrics;

	/// Takes answers that are to be rated.
	platform::rater& rater;
};

/// \brief A request as its handler read it.
struct running_request
{
	node::arrival arrival;

	/// Body of a chat request.
	json chat_body;

	/// Call of a plain service.
	service_call service;

	bool unrepeatable{};
};

/// \brief How a request ended.
struct request_end
{
	node::order last_word;

	/// The answer, of a chat for a whole answer or of a service; its status also of a streamed chat.
	whole_answer answer;

	/// Chunks that end a streamed answer.
	std::vector<std::string> held;

	/// Session handle of the last dispatch.
	std::string session;
};

/// \brief Called with the dispatch that the first chunk came from, and then with each chunk.
struct stream_hooks
{
	std::function<void(const node::dispatch_order&)> started;

	/// False: the caller has left.
	std::function<bool(const std::string& data)> pass;
};

/// \brief Runs one request from its arrival to its last word.
class request_runner
{
  public:
	explicit request_runner(const runner_parts& parts) : parts_(parts) {}

	/// \brief Runs a request to its end.
	/// \param hooks Where chunks go; unused for whole answers.
	[[nodiscard]] request_end run(running_request request, const stream_hooks& hooks);

  private:
	[[nodiscard]] node::attempt_report attempt(const running_request& request,
		const node::dispatch_order& order, session::stream_check& check, const stream_hooks& hooks,
		request_end& end);
	void finish(const running_request& request, const request_end& end);

	const runner_parts& parts_;
	boot_clock::time_point started_;
	std::optional<boot_clock::time_point> last_chunk_;
	metrics::request_sample sample_;
};
} // namespace gingerdyke::http
