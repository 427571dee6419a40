// SPDX-License-Identifier: MIT
// Any bytes as a replica's stream, cut at any place: the same events are passed on.
#include "cut_anywhere.hpp"
#include <cstdint>
#include <gingerdyke/proxy/event_stream.hpp>
#include <vector>

namespace
{
std::vector<std::string> events_of(std::string_view bytes, std::size_t piece)
{
	gingerdyke::proxy::event_stream stream;
	std::vector<std::string> events;
	for (std::size_t at = 0; at < bytes.size(); at += piece)
	{
		auto batch = stream.feed(bytes.substr(at, piece));
		events.insert(events.end(), batch.events.begin(), batch.events.end());
		if (batch.is_broken)
		{
			break;
		}
	}
	return events;
}
} // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size)
{
	return gingerdyke::fuzz::compare_pieces(data, size, events_of);
}
