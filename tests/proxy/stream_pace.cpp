// SPDX-License-Identifier: MIT
// The interval between a stream's first two events.
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

TEST_CASE("the event interval is reported once, with the second event", "[stream-pace]")
{
	stream_pace stream;
	CHECK_FALSE(stream.record_events(1, start));
	// An incomplete event arrived.
	CHECK_FALSE(stream.record_events(0, start + milliseconds{10}));
	CHECK(stream.record_events(1, start + milliseconds{40}) == milliseconds{40});
	CHECK_FALSE(stream.record_events(1, start + milliseconds{90}));
	CHECK_FALSE(stream.record_abandoned(start + milliseconds{900}));
}

TEST_CASE("events that arrive together give no interval", "[stream-pace]")
{
	stream_pace stream;
	CHECK_FALSE(stream.record_events(2, start));
	CHECK_FALSE(stream.record_events(1, start + milliseconds{40}));
	stream_pace other;
	CHECK_FALSE(other.record_events(1, start));
	CHECK_FALSE(other.record_events(3, start + milliseconds{40}));
	CHECK_FALSE(other.record_events(1, start + milliseconds{80}));
}

TEST_CASE("for a stream that stalls after its first event, the waiting time is reported as the interval",
	"[stream-pace]")
{
	stream_pace stream;
	CHECK_FALSE(stream.record_abandoned(start));
	CHECK_FALSE(stream.record_events(1, start));
	CHECK(stream.record_abandoned(start + seconds{2}) == seconds{2});
	CHECK_FALSE(stream.record_abandoned(start + seconds{3}));
}
