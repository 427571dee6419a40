// SPDX-License-Identifier: MIT
// The check that fuzz targets of stream readers share.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace gingerdyke::fuzz
{
/// \brief Traps where a reader finds other events in a stream that comes in pieces than in the whole one.
/// \param events_of Reads bytes in pieces of this many.
/// \returns What a fuzz target returns.
template <typename EventsOf>
int compare_pieces(const std::uint8_t* data, std::size_t size, const EventsOf& events_of)
{
	if (size < 2)
	{
		return 0;
	}
	const std::string_view bytes{reinterpret_cast<const char*>(data) + 1, size - 1};
	if (events_of(bytes, bytes.size()) != events_of(bytes, 1 + data[0] % 16))
	{
		__builtin_trap();
	}
	return 0;
}
} // namespace gingerdyke::fuzz
