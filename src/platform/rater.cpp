// SPDX-License-Identifier: MIT
// Sends answers to the rating service in the background.
#include <chrono>
#include <gingerdyke/base/http_status.hpp>
#include <gingerdyke/platform/clients.hpp>
#include <gingerdyke/platform/rater.hpp>
#include <httplib.h>

namespace gingerdyke::platform
{
namespace
{
constexpr std::size_t most_waiting = 64;
constexpr time_t answer_seconds = 5;

/// Pause after the service refused or could not be reached: it is rate-limited.
constexpr auto refused_pause = std::chrono::seconds{1};

/// Asks for one rating; nothing where there was none.
std::optional<bool> ask(httplib::Client& client, const std::string& answer)
{
	constexpr const char* call = "/v1/ratings";
	const auto result = client.Post(call, answer, "application/json");
	if (!result || !accept_response(client, *result, call) || result->status != http_status::ok)
	{
		return std::nullopt;
	}
	const auto body = json::parse(result->body, nullptr, false);
	if (!body.is_object() || !body.contains("good") || !body["good"].is_boolean())
	{
		return std::nullopt;
	}
	return body["good"].get<bool>();
}
} // namespace

rater::rater(node::endpoint at, receiver receive) : at_(std::move(at)), receive_(std::move(receive))
{
	if (!at_.host.empty())
	{
		thread_ = std::thread{[this] { run(); }};
	}
}

rater::~rater()
{
	{
		const std::lock_guard lock{mutex_};
		stopping_ = true;
	}
	changed_.notify_all();
	if (thread_.joinable())
	{
		thread_.join();
	}
}

void rater::submit(rating_request request)
{
	const std::lock_guard lock{mutex_};
	if (thread_.joinable() && waiting_.size() < most_waiting)
	{
		waiting_.push_back(std::move(request));
		changed_.notify_all();
	}
}

void rater::run()
{
	httplib::Client client{at_.host, at_.port};
	client.set_tcp_nodelay(true);
	client.set_keep_alive(true);
	client.set_read_timeout(answer_seconds);
	std::unique_lock lock{mutex_};
	while (!stopping_)
	{
		changed_.wait(lock, [this] { return stopping_ || !waiting_.empty(); });
		if (stopping_)
		{
			return;
		}
		const auto request = std::move(waiting_.front());
		waiting_.pop_front();
		lock.unlock();
		const auto good = ask(client, request.answer);
		if (good)
		{
			receive_({request.subject, *good});
		}
		lock.lock();
		if (!good)
		{
			changed_.wait_for(lock, refused_pause, [this] { return stopping_; });
		}
	}
}
} // namespace gingerdyke::platform
