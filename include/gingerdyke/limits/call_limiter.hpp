// SPDX-License-Identifier: MIT
// Rate limiter for calls to the platform: claims first, then bills, then table reads, then all others.
#pragma once

#include <algorithm>
#include <gingerdyke/base/effect.hpp>
#include <gingerdyke/limits/token_bucket.hpp>
#include <map>
#include <utility>
#include <vector>

namespace gingerdyke::limits
{
/// \brief Queues calls and releases them at a limited rate, the most urgent first.
class call_limiter
{
  public:
	/// \param rate Calls per second that this VM may make.
	/// \param burst Calls that may be released at once.
	call_limiter(double rate, double burst, instant now) : bucket_(rate, burst, now) {}

	void add(call_store call)
	{
		const auto order = std::pair{call.urgency, next_sequence_++};
		waiting_.emplace(order, std::move(call));
	}

	/// \brief Removes and returns the calls that may be made now.
	[[nodiscard]] std::vector<call_store> take(instant now)
	{
		std::vector<call_store> result;
		while (!waiting_.empty() && bucket_.take(1.0, now))
		{
			result.push_back(std::move(waiting_.begin()->second));
			waiting_.erase(waiting_.begin());
		}
		return result;
	}

	[[nodiscard]] std::size_t waiting() const noexcept { return waiting_.size(); }

  private:
	token_bucket bucket_;
	std::map<std::pair<store::priority, std::uint64_t>, call_store> waiting_;
	std::uint64_t next_sequence_ = 0;
};
} // namespace gingerdyke::limits
