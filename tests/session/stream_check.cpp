// SPDX-License-Identifier: MIT
// Chunks matched to their request.
#include <catch2/catch.hpp>
#include <gingerdyke/session/stream_check.hpp>

using namespace gingerdyke;
using session::chunk_verdict;

TEST_CASE("only the next chunk of the own request passes", "[stream_check]")
{
	session::stream_check check{request_id{"a"}};
	CHECK(check.on_chunk("a", 0) == chunk_verdict::pass);
	CHECK(check.on_chunk("b", 1) == chunk_verdict::foreign);
	CHECK(check.on_chunk("a", 0) == chunk_verdict::repeated);
	CHECK(check.on_chunk("a", 2) == chunk_verdict::gap);
	CHECK(check.on_chunk("a", 1) == chunk_verdict::pass);
	CHECK(check.passed() == 2);
	CHECK(check.dropped() == 2);
}
