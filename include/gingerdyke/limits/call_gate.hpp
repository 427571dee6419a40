// SPDX-License-Identifier: MIT
// Platform calls pass one limiter: claims first, then bills, then table reads, then the rest.
#pragma once

#include <algorithm>
#include <gingerdyke/base/effect.hpp>
#include <gingerdyke/limits/token_bucket.hpp>
#include <map>
#include <utility>
#include <vector>

namespace gingerdyke::limits
{
/// \brief Holds calls back to a rate; the most urgent goes first.
class call_gate
{
  public:
	/// \param rate Calls a second that this VM may make.
	/// \param burst Calls that may go at once.
	call_gate(double rate, double burst, instant now) : bucket_(rate, burst, now) {}

	void add(call_store call)
	{
		const auto order = std::pair{call.urgency, next_++};
		waiting_.emplace(order, std::move(call));
	}

	/// \brief The calls that may go now.
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
	std::uint64_t next_ = 0;
};
} // namespace gingerdyke::limits
