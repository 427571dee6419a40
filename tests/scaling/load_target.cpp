// SPDX-License-Identifier: MIT
// How many replicas a load needs.
#include <catch2/catch.hpp>
#include <gingerdyke/base/random.hpp>
#include <gingerdyke/scaling/load_target.hpp>

using namespace gingerdyke;
using namespace gingerdyke::scaling;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace
{
const instant start{seconds{100}};

/// Share of requests at one queue with random arrivals that wait longer than the objective, while the mean
/// wait is what the target allows.
double late_share_at_target(duration objective)
{
	const load_target target;
	const auto mean_wait = to_milliseconds(target.target_wait(objective));
	constexpr double service_ms = 100;
	// Pollaczek and Khinchine for exponential service times: mean wait = service time x load / (1 - load).
	const auto load = mean_wait / (mean_wait + service_ms);
	seeded_random random{7};
	double backlog_ms = 0;
	unsigned late = 0;
	constexpr unsigned requests = 200'000;
	for (unsigned request = 0; request < requests; ++request)
	{
		const auto gap = -std::log(1 - random_unit(std::ref(random))) * service_ms / load;
		backlog_ms = std::max(0.0, backlog_ms - gap);
		late += backlog_ms > to_milliseconds(objective) ? 1 : 0;
		backlog_ms += -std::log(1 - random_unit(std::ref(random))) * service_ms;
	}
	return static_cast<double>(late) / requests;
}
} // namespace

TEST_CASE("at the target few requests wait longer than the objective", "[scaling]")
{
	for (const auto objective : {milliseconds{1000}, milliseconds{3000}})
	{
		const auto share = late_share_at_target(objective);
		CHECK(share < 0.03);
		CHECK(share > 0.005);
	}
}

TEST_CASE("a longer wait needs more replicas at once", "[scaling]")
{
	load_target target;
	const auto at_target = target.target_wait(seconds{2});
	target.record({10, at_target, seconds{2}}, start);
	CHECK(*target.needed_now() == Approx(10).epsilon(0.01));
	target.record({10, 2 * at_target, seconds{2}}, start + seconds{1});
	CHECK(*target.needed_now() > 13);
	target.record({10, 2 * at_target, seconds{2}}, start + seconds{20});
	CHECK(*target.needed_now() == Approx(20).epsilon(0.01));
}

TEST_CASE(
	"a lower need is told only once it has been known for a while, and peaks are remembered", "[scaling]")
{
	load_target target;
	const auto at_target = target.target_wait(seconds{2});
	for (int second = 0; second <= 60; ++second)
	{
		const auto now = start + seconds{second};
		const bool is_peak = second % 11 < 5;
		target.record({10, is_peak ? at_target : at_target / 2, seconds{2}}, now);
		if (second < 15)
		{
			CHECK_FALSE(target.needed(now));
		}
		else
		{
			CHECK(*target.needed(now) == Approx(10).epsilon(0.1));
		}
	}
}

TEST_CASE("without work the need is unknown", "[scaling]")
{
	load_target target;
	for (int second = 0; second <= 60; ++second)
	{
		target.record({10, duration{0}, seconds{2}}, start + seconds{second});
	}
	CHECK_FALSE(target.needed_now());
	CHECK_FALSE(target.needed(start + seconds{60}));
}
