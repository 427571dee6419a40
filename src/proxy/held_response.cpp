// SPDX-License-Identifier: MIT
// The response of a smaller model, kept until it is known whether a larger model's can be had.
#include <gingerdyke/proxy/held_response.hpp>
#include <iterator>

namespace gingerdyke::proxy
{
held_state held_response::add(std::string_view bytes, instant now)
{
	byte_count_ += bytes.size();
	if (byte_count_ > max_bytes)
	{
		state_ = held_state::full;
	}
	if (source_.is_stream)
	{
		add_events(bytes, now);
	}
	else
	{
		source_.body.append(bytes);
	}
	return state_;
}

void held_response::add_events(std::string_view bytes, instant now)
{
	auto batch = parser_.feed(bytes);
	// An interval between events that are held is no sample; those after it still are.
	static_cast<void>(source_.pace.record_events(batch.events.size(), now));
	std::move(batch.events.begin(), batch.events.end(), std::back_inserter(events_));
	if (batch.is_broken)
	{
		state_ = held_state::broken;
	}
}

held_state held_response::end()
{
	const bool is_cut = source_.is_stream && (!parser_.at_event_boundary() || events_.empty());
	state_ = is_cut ? held_state::broken : held_state::whole;
	return state_;
}
} // namespace gingerdyke::proxy
