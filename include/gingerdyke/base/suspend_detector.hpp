// SPDX-License-Identifier: MIT
// Detects that the machine was suspended, so that it can be logged.
#pragma once

#include <chrono>
#include <gingerdyke/base/units.hpp>
#include <optional>

namespace gingerdyke
{
/// \brief Compares CLOCK_BOOTTIME, which advances during a suspend, with CLOCK_MONOTONIC, which does not.
class suspend_detector
{
  public:
	/// \brief Compares a new reading of both clocks with the previous one.
	/// \returns How long the machine was suspended since the previous reading, or nothing if it was not.
	[[nodiscard]] std::optional<duration> update(
		std::chrono::nanoseconds boot_time, std::chrono::nanoseconds monotonic_time)
	{
		const auto total_suspended = boot_time - monotonic_time;
		const auto newly_suspended = total_suspended - total_suspended_.value_or(total_suspended);
		total_suspended_ = total_suspended;
		return newly_suspended >= min_suspension
				   ? std::optional{std::chrono::duration_cast<duration>(newly_suspended)}
				   : std::nullopt;
	}

  private:
	/// Shorter differences are ignored: the clocks are read one after the other, and the process may be
	/// preempted in between.
	static constexpr std::chrono::nanoseconds min_suspension = std::chrono::milliseconds{100};

	std::optional<std::chrono::nanoseconds> total_suspended_;
};
} // namespace gingerdyke
