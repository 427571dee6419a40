// SPDX-License-Identifier: MIT
// Fault orders that every stand-in takes over HTTP.
#pragma once

#include <chrono>
#include <gingerdyke/base/json_source.hpp>
#include <gingerdyke/http/listener.hpp>
#include <mutex>
#include <string>
#include <thread>

namespace gingerdyke::standin
{
/// \brief The fault in force: `PUT /faults {"mode", "count", "delay_ms"}`; without a count until the next
/// order.
class faults
{
  public:
	/// \brief Adds the route for orders.
	void attach(httplib::Server& server)
	{
		server.Put("/faults",
			[this](const httplib::Request& request, httplib::Response& response)
			{
				const auto order = json::parse(request.body, nullptr, false);
				if (!order.is_object() || !order.contains("mode"))
				{
					response.status = 400;
					return;
				}
				const std::lock_guard lock{mutex_};
				mode_ = order.value("mode", "none");
				count_ = order.value("count", -1);
				delay_ = std::chrono::milliseconds{order.value("delay_ms", 0)};
			});
	}

	/// \brief The fault for the next call; `none` where there is none. A counted fault is used up.
	[[nodiscard]] std::string next()
	{
		std::chrono::milliseconds delay{};
		std::string mode;
		{
			const std::lock_guard lock{mutex_};
			mode = count_ == 0 ? "none" : mode_;
			count_ -= count_ > 0 ? 1 : 0;
			delay = mode == "slow" ? delay_ : std::chrono::milliseconds{0};
		}
		std::this_thread::sleep_for(delay);
		return mode;
	}

  private:
	std::mutex mutex_;
	std::string mode_ = "none";
	int count_ = -1;
	std::chrono::milliseconds delay_{};
};
} // namespace gingerdyke::standin
