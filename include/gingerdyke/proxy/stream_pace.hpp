// SPDX-License-Identifier: MIT
// The time between a stream's first two events, which tells an engine's pace.
#pragma once

#include <cstddef>
#include <gingerdyke/base/units.hpp>
#include <optional>

namespace gingerdyke::proxy
{
/// \brief Measures one stream. One sample a stream, early: the whole of a slow stream would be measured late,
/// or never.
class stream_pace
{
  public:
	/// \brief Notes that events came.
	/// \returns The time between the first two, where it is known by these; events that come together tell
	/// nothing.
	[[nodiscard]] std::optional<duration> note_events(std::size_t count, instant now)
	{
		if (count == 0 || is_measured_)
		{
			return std::nullopt;
		}
		if (!first_at_ && count == 1)
		{
			first_at_ = now;
			return std::nullopt;
		}
		is_measured_ = true;
		return count == 1 ? std::optional{now - *first_at_} : std::nullopt;
	}

	/// \brief Notes that the stream was given up, since nothing came for long.
	/// \returns The time since the first event, where no second one came.
	[[nodiscard]] std::optional<duration> note_abandoned(instant now)
	{
		if (is_measured_ || !first_at_)
		{
			return std::nullopt;
		}
		is_measured_ = true;
		return now - *first_at_;
	}

  private:
	std::optional<instant> first_at_;
	bool is_measured_ = false;
};
} // namespace gingerdyke::proxy
