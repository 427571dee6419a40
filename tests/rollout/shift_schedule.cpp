// SPDX-License-Identifier: MIT
// The share of a new version over a shift's time.
#include <catch2/catch.hpp>
#include <gingerdyke/rollout/shift_schedule.hpp>

using namespace gingerdyke;
using namespace gingerdyke::rollout;
using std::chrono::seconds;

namespace
{
/// Shown to be good before the trial's end: growth begins there.
constexpr double promoted_in_trial = 0;

/// Part of all requests that go to the new version, with traffic that is the same throughout.
double exposure(const shift_schedule& schedule)
{
	constexpr int steps = 20000;
	double sum = 0;
	for (int i = 0; i < steps; ++i)
	{
		const auto part = (i + 0.5) / steps;
		sum += part < schedule.complete_at() ? schedule.share_at(part, promoted_in_trial) : 1;
	}
	return sum / steps;
}
} // namespace

TEST_CASE("a version that never shows that it is bad stays within the exposure limit", "[shift-schedule]")
{
	for (const auto length : {8, 12, 16, 20, 24, 40, 120, 3600})
	{
		for (const auto limit : {0.12, 0.15, 0.2, 0.3})
		{
			CAPTURE(length, limit);
			CHECK(exposure({seconds{length}, limit}) < limit);
		}
	}
}

TEST_CASE(
	"the share is nothing, then small, then everything before the shift is completed", "[shift-schedule]")
{
	for (const auto length : {8, 16, 24, 120})
	{
		CAPTURE(length);
		const shift_schedule schedule{seconds{length}, 0.15};
		CHECK(schedule.share_at(0.5, promoted_in_trial) == 0);
		CHECK(schedule.share_at(schedule.trial_at(), promoted_in_trial) > 0.01);
		CHECK(schedule.share_at(schedule.trial_at(), promoted_in_trial) <= 0.08);
		CHECK(schedule.share_at(schedule.complete_at(), promoted_in_trial) == 1);
		CHECK(schedule.complete_at() < 1);
		CHECK((1 - schedule.complete_at()) * length >= 0.79);
		auto last = 0.0;
		for (int i = 0; i <= 1000; ++i)
		{
			const auto share = schedule.share_at(i / 1000.0, promoted_in_trial);
			CHECK(share >= last);
			last = share;
		}
	}
}

TEST_CASE("the trial ends with the load of a peak", "[shift-schedule]")
{
	const shift_schedule schedule{seconds{24}, 0.15};
	CHECK_FALSE(schedule.is_at_peak(schedule.trial_at()));
	CHECK(schedule.is_at_peak(schedule.trial_ends_at() - 0.01));
	CHECK_FALSE(schedule.is_at_peak(schedule.trial_ends_at()));
}

TEST_CASE("a version that is not shown to be good gets no more than a trial's share", "[shift-schedule]")
{
	const shift_schedule schedule{seconds{24}, 0.15};
	const auto trial_share = schedule.share_at(schedule.trial_at(), std::nullopt);
	CHECK(schedule.share_at(schedule.complete_at(), std::nullopt) == trial_share);
	CHECK(schedule.share_at(5, std::nullopt) == trial_share);
}

TEST_CASE("a version that is promoted late grows faster, or later where the time is over", "[shift-schedule]")
{
	const shift_schedule schedule{seconds{24}, 0.15};
	const auto late = (schedule.trial_ends_at() + schedule.complete_at()) / 2;
	CHECK(schedule.share_at(late, late) == schedule.share_at(schedule.trial_at(), std::nullopt));
	CHECK(schedule.complete_at(late) == schedule.complete_at());
	CHECK(schedule.share_at(schedule.complete_at(), late) == 1);
	constexpr double too_late = 1.2;
	CHECK(schedule.complete_at(too_late) > too_late + 0.05);
	CHECK(schedule.share_at(too_late + 0.01, too_late) < 0.5);
	CHECK(schedule.share_at(schedule.complete_at(too_late), too_late) == 1);
}
