// SPDX-License-Identifier: MIT
// Measures the interval between the first two events of a stream, as an estimate of the engine's generation
// speed.
#pragma once

#include <cstddef>
#include <gingerdyke/base/units.hpp>
#include <optional>

namespace gingerdyke::proxy
{
/// \brief Measures one stream. Each stream gives one early sample: an average over a whole slow stream would
/// be known late or never.
class stream_pace
{
  public:
	/// \brief Records the arrival of events.
	/// \returns The interval between the first two events, once it is known. Events that arrive together give
	/// no sample.
	[[nodiscard]] std::optional<duration> record_events(std::size_t count, instant now)
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

	/// \brief Records that the stream was abandoned because no event arrived in time.
	/// \returns The time since the first event if no second one has arrived.
	[[nodiscard]] std::optional<duration> record_abandoned(instant now)
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
