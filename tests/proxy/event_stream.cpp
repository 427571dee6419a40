// SPDX-License-Identifier: MIT
// Parsing of server-sent events from arbitrarily split input, and checks of their ids.
#include <catch2/catch.hpp>
#include <gingerdyke/proxy/event_stream.hpp>

using gingerdyke::proxy::event_stream;

TEST_CASE("events are parsed alike however the stream is split", "[events]")
{
	const std::string bytes = "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n";
	const auto part_size = GENERATE(range(std::size_t{1}, std::size_t{47}));
	event_stream stream;
	std::string forwarded;
	for (std::size_t at = 0; at < bytes.size(); at += part_size)
	{
		const auto batch = stream.feed(std::string_view{bytes}.substr(at, part_size));
		REQUIRE_FALSE(batch.is_broken);
		for (const auto& event : batch.events)
		{
			forwarded += event;
		}
	}
	CHECK(forwarded == bytes);
	CHECK(stream.last_id() == 3);
	CHECK(stream.at_event_boundary());
}

TEST_CASE("skipped, repeated or decreasing event ids break a stream", "[events]")
{
	const auto next = GENERATE(1, 2, 4, 0);
	event_stream stream{std::uint64_t{2}};
	CHECK(stream.feed("id: " + std::to_string(next) + "\n\n").is_broken);
	CHECK(stream.last_id() == 2);
}

TEST_CASE("a stream is not at an event boundary until an incomplete event is dropped", "[events]")
{
	event_stream stream;
	CHECK(stream.feed("id: 7\nda").events.empty());
	CHECK_FALSE(stream.at_event_boundary());
	stream.drop_partial();
	CHECK(stream.at_event_boundary());
}

TEST_CASE("blank lines are no events, and many of them break a stream", "[events]")
{
	event_stream stream;
	const auto batch = stream.feed("data: a\n\n\n\ndata: b\n\n\n\n");
	CHECK_FALSE(batch.is_broken);
	CHECK(batch.events == std::vector<std::string>{"data: a\n\n", "\n\ndata: b\n\n"});
	CHECK(stream.at_event_boundary());
	CHECK_FALSE(stream.feed(std::string(1000, '\n')).is_broken);
	CHECK(stream.feed(std::string(100, '\n')).is_broken);
}

TEST_CASE("an event above the size limit breaks a stream", "[events]")
{
	event_stream stream{{}, 16};
	CHECK(stream.feed("data: 0123456789abcdef").is_broken);
}
