// SPDX-License-Identifier: MIT
// Any bytes as an upstream's stream, cut at any place: the same events.
#include "cut_anywhere.hpp"
#include <cstdint>
#include <gingerdyke/http/sse_reader.hpp>
#include <vector>

namespace
{
std::vector<std::string> events_of(std::string_view bytes, std::size_t piece)
{
	gingerdyke::http::sse_reader reader;
	std::vector<std::string> events;
	for (std::size_t at = 0; at < bytes.size(); at += piece)
	{
		if (!reader.feed(bytes.substr(at, piece)))
		{
			break;
		}
		while (auto event = reader.next())
		{
			events.push_back(std::move(*event));
		}
	}
	return events;
}
} // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size)
{
	return gingerdyke::fuzz::compare_pieces(data, size, events_of);
}
