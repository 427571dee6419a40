// SPDX-License-Identifier: MIT
// Sends one request as a caller behind the platform's balancer would, and checks the answer against it.
#pragma once

#include "plan.hpp"
#include <atomic>
#include <gingerdyke/http/upstream.hpp>
#include <map>
#include <mutex>
#include <string>
#include <vector>

namespace gingerdyke::load
{
/// \brief What became of a request.
enum class result_kind
{
	/// The whole answer to this very request.
	whole,
	/// Refused, and said not to have run.
	refused,
	/// Said to be unknown.
	unknown,
	/// The connection broke before the answer was whole, as when an entry VM is killed.
	broken,
	/// Not the answer to this request, or a cut one presented as whole.
	wrong,
};

/// \brief One sent request.
struct sent_request
{
	const stream_plan* stream{};
	std::string id;
	result_kind kind{result_kind::broken};
	int status{};
	std::chrono::microseconds latency{};
	std::chrono::microseconds first_chunk{};

	/// What a service was asked to do, of a keyed call.
	std::string call;

	/// Tries, the first among them: a broken keyed call is repeated with its key at another node.
	unsigned tries{1};
};

/// \brief Sends requests to the nodes in turn, passing over those that can't be connected to.
class caller
{
  public:
	caller(std::vector<std::string> nodes, std::uint64_t seed);

	/// \param start When the load began; latency counts from the scheduled time.
	[[nodiscard]] sent_request send(const scheduled& what, std::chrono::steady_clock::time_point start);

  private:
	struct raw_answer
	{
		bool connected{};
		bool complete{};
		int status{};
		httplib::Headers headers;
		std::string body;
	};

	[[nodiscard]] raw_answer call(const httplib::Request& request,
		std::chrono::steady_clock::time_point began, std::chrono::microseconds& first_chunk);
	[[nodiscard]] httplib::Request request_of(const scheduled& what, std::string& expected);
	[[nodiscard]] static result_kind judge(
		const scheduled& what, const raw_answer& answer, const std::string& expected);

	std::vector<std::string> nodes_;
	std::atomic<std::size_t> next_{0};
	std::uint64_t seed_;
	http::client_pool pool_;
	std::mutex mutex_;
	std::map<const stream_plan*, std::string> sessions_;
};
} // namespace gingerdyke::load
