// SPDX-License-Identifier: MIT
// Orders that were refused, or may be carried out late.
#include <catch2/catch.hpp>
#include <gingerdyke/scaling/order_book.hpp>

using namespace gingerdyke;
using namespace gingerdyke::scaling;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace
{
const instant start{seconds{100}};
const replica_pool pool{service_id{"s"}, failure_domain_id{"a"}, capacity_kind::spot};

replica_order order_of(unsigned replicas)
{
	return {pool, replicas};
}

/// A book in which an order was accepted at `start`.
order_book accepted(unsigned replicas)
{
	order_book book;
	book.record_sent(order_of(replicas));
	book.record_accepted(order_of(replicas), start);
	return book;
}
} // namespace

TEST_CASE("a number is ordered once, and again when it changes", "[scaling]")
{
	CHECK(order_book{}.is_due(order_of(4), 4, seconds{4}, start));
	const auto book = accepted(4);
	CHECK_FALSE(book.is_due(order_of(4), 4, seconds{4}, start + seconds{1}));
	CHECK(book.is_due(order_of(5), 4, seconds{4}, start + seconds{1}));
}

TEST_CASE("replicas that did not come are ordered again after the time they take to start", "[scaling]")
{
	const auto book = accepted(4);
	CHECK_FALSE(book.is_due(order_of(4), 1, seconds{4}, start + seconds{3}));
	CHECK(book.is_due(order_of(4), 1, seconds{4}, start + seconds{7}));
}

TEST_CASE("one order a pool is in flight", "[scaling]")
{
	auto book = accepted(4);
	book.record_sent(order_of(5));
	CHECK(book.is_in_flight(pool));
	CHECK_FALSE(book.is_due(order_of(6), 4, seconds{4}, start + seconds{1}));
}

TEST_CASE("an order without a response is repeated, and the number once more after it may have come late",
	"[scaling]")
{
	auto book = accepted(4);
	book.record_sent(order_of(9));
	book.record_unknown(order_of(9), start);
	CHECK(book.is_due(order_of(6), 4, seconds{4}, start + seconds{1}));
	book.record_sent(order_of(6));
	book.record_accepted(order_of(6), start + seconds{1});
	CHECK_FALSE(book.is_due(order_of(6), 6, seconds{4}, start + seconds{2}));
	const auto late = start + seconds{7};
	CHECK(book.is_due(order_of(6), 6, seconds{4}, late));
	book.record_sent(order_of(6));
	book.record_accepted(order_of(6), late);
	CHECK_FALSE(book.is_due(order_of(6), 6, seconds{4}, late + seconds{20}));
}

TEST_CASE("a pool without replicas is left for longer each time", "[scaling]")
{
	order_book book;
	auto now = start;
	duration last{};
	for (int refusal = 0; refusal < 6; ++refusal)
	{
		book.record_sent(order_of(4));
		book.record_exhausted(order_of(4), now);
		const auto refused_at = now;
		CHECK_FALSE(book.is_available(pool));
		while (!book.is_due(order_of(4), 0, seconds{4}, now))
		{
			now += milliseconds{100};
		}
		CHECK(now - refused_at >= last);
		last = std::min<duration>(now - refused_at, order_book_tuning{}.max_backoff);
	}
	CHECK(now < start + seconds{60});
	book.record_sent(order_of(4));
	book.record_accepted(order_of(4), now);
	CHECK(book.is_available(pool));
}
