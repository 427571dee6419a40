// SPDX-License-Identifier: MIT
// Any bytes as a frame between VMs: refused or read, and what was read is written and read again alike.
#include <cstdint>
#include <gingerdyke/control/relay_codec.hpp>

using namespace gingerdyke::control;

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size)
{
	const std::string_view bytes{reinterpret_cast<const char*>(data), size};
	(void)frame_length(bytes);
	if (const auto poll = read_poll(bytes))
	{
		const auto frame = write_frame(*poll);
		const auto again = read_poll(std::string_view{frame}.substr(frame_header_bytes));
		if (!again || again->table != poll->table || again->report.has_value() != poll->report.has_value())
		{
			__builtin_trap();
		}
	}
	if (const auto answer = read_response(bytes))
	{
		const auto frame = write_frame(*answer);
		const auto again = read_response(std::string_view{frame}.substr(frame_header_bytes));
		if (!again || again->call_id != answer->call_id ||
			again->result.has_value() != answer->result.has_value())
		{
			__builtin_trap();
		}
	}
	return 0;
}
