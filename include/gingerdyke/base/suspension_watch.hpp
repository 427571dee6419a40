// SPDX-License-Identifier: MIT
// Tells that the machine was suspended, for the log.
#pragma once

#include <chrono>
#include <gingerdyke/base/units.hpp>
#include <optional>

namespace gingerdyke
{
/// \brief Compares the clock that counts suspensions with the one that leaves them out.
class suspension_watch
{
  public:
	/// \brief Takes a reading of both clocks.
	/// \returns How long the machine was suspended since the last reading; none: it was not.
	[[nodiscard]] std::optional<duration> note(
		std::chrono::nanoseconds with_suspensions, std::chrono::nanoseconds without)
	{
		const auto slept = with_suspensions - without;
		const auto since = slept - slept_.value_or(slept);
		slept_ = slept;
		return since >= shortest ? std::optional{std::chrono::duration_cast<duration>(since)} : std::nullopt;
	}

  private:
	/// Both clocks are read one after the other, and the process may be stopped between.
	static constexpr std::chrono::nanoseconds shortest = std::chrono::milliseconds{100};

	std::optional<std::chrono::nanoseconds> slept_;
};
} // namespace gingerdyke
