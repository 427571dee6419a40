// SPDX-License-Identifier: MIT
// The time between a stream's first two events.
#include <catch2/catch.hpp>
#include <gingerdyke/proxy/stream_pace.hpp>

using namespace gingerdyke;
using proxy::stream_pace;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace
{
constexpr instant start{seconds{100}};
}

TEST_CASE("a stream's pace is known once, by its second event", "[stream-pace]")
{
	stream_pace pace;
	CHECK_FALSE(pace.note_events(1, start));
	// Half an event came.
	CHECK_FALSE(pace.note_events(0, start + milliseconds{10}));
	CHECK(pace.note_events(1, start + milliseconds{40}) == milliseconds{40});
	CHECK_FALSE(pace.note_events(1, start + milliseconds{90}));
	CHECK_FALSE(pace.note_abandoned(start + milliseconds{900}));
}

TEST_CASE("events that come together tell no pace", "[stream-pace]")
{
	stream_pace pace;
	CHECK_FALSE(pace.note_events(2, start));
	CHECK_FALSE(pace.note_events(1, start + milliseconds{40}));
	stream_pace other;
	CHECK_FALSE(other.note_events(1, start));
	CHECK_FALSE(other.note_events(3, start + milliseconds{40}));
	CHECK_FALSE(other.note_events(1, start + milliseconds{80}));
}

TEST_CASE(
	"a stream that stops after its first event is at least as slow as it was waited for", "[stream-pace]")
{
	stream_pace pace;
	CHECK_FALSE(pace.note_abandoned(start));
	CHECK_FALSE(pace.note_events(1, start));
	CHECK(pace.note_abandoned(start + seconds{2}) == seconds{2});
	CHECK_FALSE(pace.note_abandoned(start + seconds{3}));
}
