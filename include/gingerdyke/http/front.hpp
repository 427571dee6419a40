// SPDX-License-Identifier: MIT
// What callers and operators reach over HTTP; the calls are described in docs/API.md.
#pragma once

#include <atomic>
#include <gingerdyke/http/listener.hpp>
#include <gingerdyke/http/request_runner.hpp>
#include <gingerdyke/node/settings.hpp>

namespace gingerdyke::http
{
/// \brief The HTTP side of one node.
class front
{
  public:
	front(node::host& node, const node::settings& settings);
	~front();

	front(const front&) = delete;
	front& operator=(const front&) = delete;
	front(front&&) = delete;
	front& operator=(front&&) = delete;

	/// \brief Binds the address of the settings.
	/// \returns The port, or a negative number.
	[[nodiscard]] int bind();

	/// \brief Serves until `stop`.
	void run();

	/// \brief Fails `/ready`, so that the balancer sends no more requests.
	void fail_ready();

	/// \brief Refuses new requests; open ones go on.
	void refuse_new();

	void stop();

  private:
	void add_caller_routes();
	void handle_chat(const httplib::Request& request, httplib::Response& response);
	void handle_service(const httplib::Request& request, httplib::Response& response);
	void handle_models(const httplib::Request& request, httplib::Response& response);
	void handle_ready(httplib::Response& response);
	void answer_whole(running_request request, httplib::Response& response);
	void answer_streamed(running_request request, httplib::Response& response);
	[[nodiscard]] node::arrival arrival_of(const httplib::Request& request) const;
	[[nodiscard]] bool refuse_if_closed(httplib::Response& response) const;

	node::host& node_;
	const node::settings& settings_;
	listener listener_;
	client_pool pool_;
	metrics::registry metrics_;
	platform::rater rater_;
	runner_parts parts_;
	httplib::ThreadPool streams_;
	std::atomic<bool> ready_{true};
	std::atomic<bool> refusing_{false};
};
} // namespace gingerdyke::http
