// SPDX-License-Identifier: MIT
// Sends answers to the rating service in the background; a rating that can't be had is done without.
#pragma once

#include <condition_variable>
#include <deque>
#include <functional>
#include <gingerdyke/node/request.hpp>
#include <gingerdyke/node/settings.hpp>
#include <mutex>
#include <string>
#include <thread>

namespace gingerdyke::platform
{
/// \brief An answer to be rated.
struct rating_request
{
	node::rating_subject subject;
	std::string answer;
};

/// \brief One thread that asks for ratings, at a bounded rate.
class rater
{
  public:
	using receiver = std::function<void(const node::rating_report&)>;

	/// \param at The rating service; without a host nothing is sent.
	/// \param receive Called on the rater's thread with each rating.
	rater(node::endpoint at, receiver receive);
	~rater();

	rater(const rater&) = delete;
	rater& operator=(const rater&) = delete;
	rater(rater&&) = delete;
	rater& operator=(rater&&) = delete;

	/// \brief Takes an answer; drops it where too many wait.
	void submit(rating_request request);

  private:
	void run();

	node::endpoint at_;
	receiver receive_;
	std::mutex mutex_;
	std::condition_variable changed_;
	std::deque<rating_request> waiting_;
	bool stopping_ = false;
	std::thread thread_;
};
} // namespace gingerdyke::platform
