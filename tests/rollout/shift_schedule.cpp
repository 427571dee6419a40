// SPDX-License-Identifier: MIT
// The new version's traffic share over the course of a shift.
#include <catch2/catch.hpp>
#include <gingerdyke/rollout/shift_schedule.hpp>

using namespace gingerdyke;
using namespace gingerdyke::rollout;
using std::chrono::seconds;

namespace
{
/// Promotion before the end of the trial: the ramp-up begins at the end of the trial.
constexpr double promoted_in_trial = 0;

/// Fraction of all requests that go to the new version, with constant traffic.
double exposure(const shift_schedule& schedule)
{
	constexpr int steps = 20000;
	double sum = 0;
	for (int i = 0; i < steps; ++i)
	{
		const auto elapsed = (i + 0.5) / steps;
		sum += elapsed < schedule.completes_at() ? schedule.share_at(elapsed, promoted_in_trial) : 1;
	}
	return sum / steps;
}
} // namespace

TEST_CASE("a bad version that is never detected stays within the exposure limit", "[shift-schedule]")
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

TEST_CASE("the share is 0, then small, then 1 before the shift is completed", "[shift-schedule]")
{
	for (const auto length : {8, 16, 24, 120})
	{
		CAPTURE(length);
		const shift_schedule schedule{seconds{length}, 0.15};
		CHECK(schedule.share_at(0.5, promoted_in_trial) == 0);
		CHECK(schedule.share_at(schedule.trial_starts_at(), promoted_in_trial) > 0.01);
		CHECK(schedule.share_at(schedule.trial_starts_at(), promoted_in_trial) <= 0.08);
		CHECK(schedule.share_at(schedule.completes_at(), promoted_in_trial) == 1);
		CHECK(schedule.completes_at() < 1);
		CHECK((1 - schedule.completes_at()) * length >= 0.79);
		auto last = 0.0;
		for (int i = 0; i <= 1000; ++i)
		{
			const auto share = schedule.share_at(i / 1000.0, promoted_in_trial);
			CHECK(share >= last);
			last = share;
		}
	}
}

TEST_CASE("the trial ends with a peak-load phase", "[shift-schedule]")
{
	const shift_schedule schedule{seconds{24}, 0.15};
	CHECK_FALSE(schedule.is_peak_load_phase(schedule.trial_starts_at()));
	CHECK(schedule.is_peak_load_phase(schedule.trial_ends_at() - 0.01));
	CHECK_FALSE(schedule.is_peak_load_phase(schedule.trial_ends_at()));
}

TEST_CASE("a version that is not promoted gets no more than the trial share", "[shift-schedule]")
{
	const shift_schedule schedule{seconds{24}, 0.15};
	const auto trial_share = schedule.share_at(schedule.trial_starts_at(), std::nullopt);
	CHECK(schedule.share_at(schedule.completes_at(), std::nullopt) == trial_share);
	CHECK(schedule.share_at(5, std::nullopt) == trial_share);
}

TEST_CASE(
	"after a late promotion the share grows faster, or after the regular completion time", "[shift-schedule]")
{
	const shift_schedule schedule{seconds{24}, 0.15};
	const auto late = (schedule.trial_ends_at() + schedule.completes_at()) / 2;
	CHECK(schedule.share_at(late, late) == schedule.share_at(schedule.trial_starts_at(), std::nullopt));
	CHECK(schedule.completes_at(late) == schedule.completes_at());
	CHECK(schedule.share_at(schedule.completes_at(), late) == 1);
	constexpr double too_late = 1.2;
	CHECK(schedule.completes_at(too_late) > too_late + 0.05);
	CHECK(schedule.share_at(too_late + 0.01, too_late) < 0.5);
	CHECK(schedule.share_at(schedule.completes_at(too_late), too_late) == 1);
}
