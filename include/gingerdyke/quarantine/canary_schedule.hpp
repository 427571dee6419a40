// SPDX-License-Identifier: MIT
// When a VM sends a single request with a quarantined combination of parts to a replica.
#pragma once

#include <algorithm>
#include <gingerdyke/base/units.hpp>
#include <gingerdyke/quarantine/content_key.hpp>
#include <map>

namespace gingerdyke::quarantine
{
/// \brief Tuning of `canary_schedule`.
struct canary_tuning
{
	/// Pause after the first canary of a combination, doubled with each further one up to the maximum. The
	/// outcome of one is known to all VMs before the next one.
	duration first_pause = std::chrono::seconds{4};
	duration max_pause = std::chrono::minutes{2};

	/// Maximum number of combinations that are remembered; the one tried longest ago is dropped first.
	std::size_t max_combinations = 256;
};

/// \brief Spaces the canaries of each combination.
class canary_schedule
{
  public:
	explicit canary_schedule(canary_tuning tuning = {}) : tuning_(tuning) {}

	/// \brief Starts a canary if the pause after the previous one has ended.
	/// \returns Whether it was started.
	[[nodiscard]] bool start(const content_key& combination, instant now)
	{
		const auto [found, is_first] = tries_.try_emplace(combination);
		auto& last = found->second;
		if (!is_first && now - last.at < last.pause)
		{
			return false;
		}
		last.pause = is_first ? tuning_.first_pause : std::min(last.pause * 2, tuning_.max_pause);
		last.at = now;
		drop_oldest();
		return true;
	}

  private:
	struct canary
	{
		instant at;
		duration pause{};
	};

	void drop_oldest()
	{
		if (tries_.size() > tuning_.max_combinations)
		{
			tries_.erase(std::min_element(tries_.begin(), tries_.end(),
				[](const auto& a, const auto& b) { return a.second.at < b.second.at; }));
		}
	}

	canary_tuning tuning_;
	std::map<content_key, canary> tries_;
};
} // namespace gingerdyke::quarantine
