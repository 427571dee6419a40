// SPDX-License-Identifier: MIT
// When the usage of a window is stored and sent.
#include <catch2/catch.hpp>
#include <gingerdyke/usage/report_schedule.hpp>

using namespace gingerdyke;
using namespace gingerdyke::usage;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace
{
const workspace_counts counts{{workspace_id{"alpha"}, 3}};

/// Windows of 5 s, due 10 s after their end and made 7.5 s after it.
report_schedule schedule()
{
	return report_schedule{{}};
}

usage_report report_of(std::int64_t window)
{
	return {window_index{window}, counts};
}
} // namespace

TEST_CASE(
	"a window is stored after the time to collect it, and then sent until it is acknowledged", "[usage]")
{
	auto reports = schedule();
	reports.on_stored(report_of(19));
	reports.on_acknowledged(window_index{19});
	// Window 20 ends at 105 s.
	CHECK_FALSE(reports.to_store(seconds{112}));
	CHECK(reports.to_store(seconds{113}) == window_index{20});
	CHECK_FALSE(reports.to_send(seconds{113}));
	reports.on_stored(report_of(20));
	CHECK_FALSE(reports.to_store(seconds{113}));
	REQUIRE(reports.to_send(seconds{113}));
	CHECK(reports.to_send(seconds{113})->counts == counts);
	reports.on_acknowledged(window_index{20});
	CHECK_FALSE(reports.to_send(seconds{114}));
	CHECK(reports.next_store_at(seconds{114}) == milliseconds{117'500});
}

TEST_CASE("a new holder sends the stored report again before it makes the next one", "[usage]")
{
	auto reports = schedule();
	reports.on_stored(report_of(20));
	CHECK(reports.to_send(seconds{114})->window == window_index{20});
	CHECK_FALSE(reports.to_store(seconds{114}));
}

TEST_CASE(
	"a report that nobody wants any more is dropped, and windows missed in an outage are left out", "[usage]")
{
	auto reports = schedule();
	reports.on_stored(report_of(20));
	CHECK_FALSE(reports.to_send(seconds{116}));
	// At 153 s the windows up to 27, which ended by 140 s, are due no more.
	CHECK(reports.to_store(seconds{153}) == window_index{28});
}

TEST_CASE("an older report than the stored one changes nothing", "[usage]")
{
	auto reports = schedule();
	reports.on_stored(report_of(20));
	reports.on_stored({window_index{19}, {}});
	CHECK(reports.to_send(seconds{112})->window == window_index{20});
}
