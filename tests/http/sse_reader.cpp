// SPDX-License-Identifier: MIT
// Server-sent events from bytes in pieces.
#include <catch2/catch.hpp>
#include <gingerdyke/http/sse_reader.hpp>
#include <vector>

using namespace gingerdyke;

TEST_CASE("events are the same however the bytes are cut", "[sse_reader]")
{
	const std::string text =
		": comment\ndata: one\n\nevent: x\r\ndata: two\r\ndata:three\r\n\r\n\n\ndata: left over\n";
	for (std::size_t size = 1; size <= text.size(); ++size)
	{
		http::sse_reader reader;
		std::vector<std::string> events;
		for (std::size_t at = 0; at < text.size(); at += size)
		{
			REQUIRE(reader.feed(std::string_view{text}.substr(at, size)));
			while (auto event = reader.next())
			{
				events.push_back(*event);
			}
		}
		CHECK(events == std::vector<std::string>{"one", "two\nthree"});
	}
}

TEST_CASE("an event without end is not read for ever", "[sse_reader]")
{
	http::sse_reader reader{100};
	CHECK(reader.feed(std::string(100, 'x')));
	CHECK_FALSE(reader.feed("x"));
}
