// SPDX-License-Identifier: MIT
// Each promise's mechanism is switched off in turn, at the interfaces: the checker must catch it.
#include "support/promises.hpp"
#include "support/scenario.hpp"
#include <algorithm>
#include <catch2/catch.hpp>

using namespace gingerdyke;
using namespace gingerdyke::test;

namespace
{
const std::vector<std::string> nothing_broken;

/// A mechanism, the fault that it is for, and the promise that breaks without it.
struct switched_off
{
	mutation what{};
	std::vector<planned_fault> faults;
	std::string promise;
};

std::vector<switched_off> all()
{
	return {
		{mutation::allow_everything, {}, "1 allowed"},
		{mutation::no_spread, {}, "2 withdrawn"},
		{mutation::no_sessions, {}, "3 session"},
		{mutation::no_journal, {{step::mid_stream, 1, fault_kind::kill}}, "4 billed"},
		{mutation::no_matching, {{step::dispatch, 1, fault_kind::upstream_crossed}}, "5 whole answer"},
		{mutation::no_matching, {{step::dispatch, 1, fault_kind::upstream_short}}, "5 whole answer"},
		{mutation::lost_as_not_sent,
			{{step::admit, 1, fault_kind::service_lost_answer},
				{step::admit, 9, fault_kind::service_lost_answer},
				{step::admit, 16, fault_kind::service_lost_answer}},
			"6 not run"},
		{mutation::lost_as_not_sent,
			{{step::dispatch, 1, fault_kind::service_lost_answer},
				{step::dispatch, 2, fault_kind::service_lost_answer},
				{step::dispatch, 3, fault_kind::service_lost_answer}},
			"7 at most once"},
		{mutation::claims_always_won, {}, "7 at most once"},
		{mutation::leaving_untold, {{step::admit, 1, fault_kind::upstream_leaving}}, "8 leaving"},
		{mutation::stop_without_draining, {{step::mid_stream, 1, fault_kind::planned_stop}},
			"9 planned stop"},
		{mutation::no_spread, {}, "10 change"},
		{mutation::forgetful_copy, {{step::table_applied, 1, fault_kind::kill}}, "10 change"},
		{mutation::refusals_swallowed, {{step::admit, 1, fault_kind::store_down}}, "11 one answer"},
	};
}

bool names(const std::vector<std::string>& broken, const std::string& promise)
{
	return std::any_of(broken.begin(), broken.end(),
		[&](const std::string& line) { return line.starts_with(promise + ":"); });
}
} // namespace

TEST_CASE("a mechanism that is switched off is missed", "[mutations]")
{
	for (const auto& one : all())
	{
		INFO(one.promise << ", switched off " << static_cast<int>(one.what));
		world_options options;
		CHECK(broken_promises(run_scenario(options, one.faults)) == nothing_broken);
		options.switched_off = one.what;
		CHECK(names(broken_promises(run_scenario(options, one.faults)), one.promise));
	}
}
