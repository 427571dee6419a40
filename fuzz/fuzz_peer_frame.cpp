// SPDX-License-Identifier: MIT
// Any bytes as a peer's frame: refused or read, never more.
#include <cstdint>
#include <gingerdyke/peer/codec.hpp>

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size)
{
	const std::string_view bytes{reinterpret_cast<const char*>(data), size};
	(void)gingerdyke::peer::frame_length(bytes);
	const auto read = gingerdyke::peer::decode_body(bytes);
	if (read)
	{
		// What was read can be written and read again.
		const auto frame = gingerdyke::peer::encode(*read, "secret");
		const auto again = gingerdyke::peer::decode(
			std::string_view{frame}.substr(gingerdyke::peer::length_bytes), "secret");
		if (!again || again->body.index() != read->body.index())
		{
			__builtin_trap();
		}
	}
	return 0;
}
