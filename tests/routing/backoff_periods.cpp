// SPDX-License-Identifier: MIT
// Back-off periods that replicas request: how long they apply, and how VMs resume sending.
#include "../support/replicas.hpp"

#include <catch2/catch.hpp>
#include <gingerdyke/routing/backoff_periods.hpp>

using namespace gingerdyke;
using namespace gingerdyke::routing;
using gingerdyke::test::at;
using gingerdyke::test::make_replica;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace
{
backoff_periods make_backoffs()
{
	backoff_tuning tuning;
	tuning.resume_spread = 0;
	return backoff_periods{[](const replica&, const std::string&, duration) {}, tuning};
}
} // namespace

TEST_CASE("the longest of overlapping back-off periods applies, and a success in between does not end it",
	"[routing][rest]")
{
	auto backoffs = make_backoffs();
	const auto target = make_replica("r1");
	backoffs.record_backoff(target, seconds{3}, "q1", at(seconds{0}));
	backoffs.record_backoff(target, seconds{1}, "q2", at(seconds{1}));
	backoffs.record_response(target, at(milliseconds{500}));
	CHECK_FALSE(backoffs.allows_request(target, at(milliseconds{2999})));
	CHECK(backoffs.allows_request(target, at(seconds{3})));
}

TEST_CASE(
	"after a back-off period one request is sent first, and others once it is answered", "[routing][rest]")
{
	auto backoffs = make_backoffs();
	const auto target = make_replica("r1");
	backoffs.record_backoff(target, seconds{3}, "q1", at(seconds{0}));
	backoffs.record_sent(target, at(seconds{3}));
	CHECK_FALSE(backoffs.allows_request(target, at(milliseconds{3100})));
	CHECK_FALSE(backoffs.is_backing_off(target, at(milliseconds{3100})));
	SECTION("answered")
	{
		backoffs.record_response(target, at(seconds{3}));
		CHECK(backoffs.allows_request(target, at(milliseconds{3100})));
		backoffs.record_sent(target, at(milliseconds{3100}));
		CHECK(backoffs.allows_request(target, at(milliseconds{3100})));
	}
	SECTION("refused again")
	{
		backoffs.record_backoff(target, seconds{3}, "q2", at(milliseconds{3100}));
		CHECK_FALSE(backoffs.allows_request(target, at(milliseconds{6000})));
		CHECK(backoffs.allows_request(target, at(milliseconds{6100})));
	}
	SECTION("without a response")
	{
		CHECK(backoffs.allows_request(target, at(seconds{5})));
	}
}

TEST_CASE("VMs resume at spread times after a back-off period, never before its end", "[routing][rest]")
{
	backoff_periods backoffs{[](const replica&, const std::string&, duration) {}};
	std::size_t resumed = 0;
	constexpr std::size_t vms = 40;
	for (std::size_t i = 0; i < vms; ++i)
	{
		const auto target = make_replica("r" + std::to_string(i));
		backoffs.record_backoff(target, seconds{3}, "q" + std::to_string(i), at(seconds{0}));
		CHECK_FALSE(backoffs.allows_request(target, at(milliseconds{2999})));
		CHECK(backoffs.allows_request(target, at(milliseconds{3300})));
		resumed += backoffs.allows_request(target, at(milliseconds{3150})) ? 1U : 0U;
	}
	CHECK(resumed > vms / 4);
	CHECK(resumed < vms - vms / 4);
}

TEST_CASE("a very long back-off period is capped, and one of zero length has no effect", "[routing][rest]")
{
	auto backoffs = make_backoffs();
	const auto target = make_replica("r1");
	backoffs.record_backoff(target, seconds{0}, "q1", at(seconds{0}));
	CHECK(backoffs.allows_request(target, at(seconds{0})));
	backoffs.record_sent(target, at(seconds{0}));
	CHECK(backoffs.allows_request(target, at(seconds{0})));
	backoffs.record_backoff(target, std::chrono::hours{100}, "q2", at(seconds{0}));
	CHECK_FALSE(backoffs.allows_request(target, at(std::chrono::minutes{9})));
	CHECK(backoffs.allows_request(target, at(std::chrono::minutes{10})));
}

TEST_CASE("a back-off period does not apply to the next process with the same replica id", "[routing][rest]")
{
	auto backoffs = make_backoffs();
	auto target = make_replica("r1");
	backoffs.record_backoff(target, seconds{3}, "q1", at(seconds{0}));
	target.incarnation = replica_incarnation{2};
	CHECK(backoffs.allows_request(target, at(seconds{1})));
}

TEST_CASE("the time until retry is that of the first replica of a service to end its back-off period",
	"[routing][rest]")
{
	auto backoffs = make_backoffs();
	backoffs.record_backoff(make_replica("r1"), seconds{3}, "q1", at(seconds{0}));
	backoffs.record_backoff(make_replica("r2"), seconds{2}, "q2", at(seconds{0}));
	CHECK(backoffs.time_until_resumed(service_id{"s"}, at(seconds{1})) == seconds{1});
	CHECK(backoffs.count(at(seconds{1})) == 2);
	CHECK_FALSE(backoffs.time_until_resumed(service_id{"s"}, at(seconds{3})));
}
