// SPDX-License-Identifier: MIT
// A response that breaks off is the same response, now a failure.
#include "../support/shift_vm.hpp"

using namespace gingerdyke;
using namespace gingerdyke::test;
using std::chrono::seconds;

namespace
{
const rollout::response_sample success{"route", "model", false, 1};

rollout::version_evidence evidence_of(const vm& one)
{
	const auto all = one.shift.own_evidence();
	REQUIRE(all.size() == 1);
	return all.front().seen;
}

/// A VM in the trial of a shift.
struct trial : vm
{
	trial() : vm(1)
	{
		plan = begin(*this);
		show_new_version();
		pass(scaled(plan.length, 0.6));
	}

	rollout::shift_plan plan;
};
} // namespace

TEST_CASE("a response that breaks off stays one response", "[shift]")
{
	trial one;
	const auto counted = one.shift.record_response(service, "v2", success, one.now);
	REQUIRE(counted);
	one.shift.record_broken_response(*counted, one.now);
	CHECK(evidence_of(one).all_routes().new_version.sum() == rollout::response_counts{1, 1});
}

TEST_CASE("a response that breaks off after a phase of the shift ended fails in that phase", "[shift]")
{
	vm one{1};
	const auto plan = begin(one);
	const auto before = one.shift.record_response(service, "v1", success, one.now);
	REQUIRE(before);
	one.show_new_version();
	one.pass(scaled(plan.length, 0.6));
	one.shift.record_broken_response(*before, one.now);
	const auto all = evidence_of(one).all_routes();
	CHECK(all.pre_trial == rollout::response_counts{1, 1});
	CHECK(all.old_version.sum() == rollout::response_counts{});
}

TEST_CASE("a response that broke off at once counts as one failure", "[shift]")
{
	trial one;
	auto ending = success;
	ending.kind = rollout::sample_kind::ending;
	ending.failed = true;
	CHECK_FALSE(one.shift.record_response(service, "v2", ending, one.now));
	const auto seen = evidence_of(one);
	CHECK(seen.all_routes().new_version.sum() == rollout::response_counts{1, 1});
	CHECK(seen.first_byte_by_model.empty());
}

TEST_CASE("a response of an earlier shift that breaks off does not count for the next one", "[shift]")
{
	trial one;
	const auto counted = one.shift.record_response(service, "v2", success, one.now);
	REQUIRE(counted);
	auto ended = one.plan;
	ended.state = rollout::shift_state::rolled_back;
	ended.row = rollout::row_version{20};
	one.shift.on_plan(ended, one.now);
	one.shift.record_broken_response(*counted, one.now);
	auto next = one.plan;
	next.order = rollout::row_version{30};
	next.row = rollout::row_version{31};
	one.shift.on_plan(next, one.now);
	one.shift.record_broken_response(*counted, one.now);
	CHECK(one.shift.own_evidence().empty());
}

// Both reports have the same number of observations.
TEST_CASE("a report with a further broken response replaces the one before", "[shift]")
{
	trial one;
	const auto counted = one.shift.record_response(service, "v2", success, one.now);
	const auto earlier = evidence_of(one);
	one.shift.record_broken_response(*counted, one.now);
	const auto later = evidence_of(one);
	CHECK(later.is_newer_than(earlier));
	CHECK_FALSE(earlier.is_newer_than(later));
}

TEST_CASE("a version that breaks off its responses is suspended", "[shift]")
{
	trial one;
	one.see("v1", 100, 0);
	for (unsigned i = 0; i < 20; ++i)
	{
		const auto counted = one.shift.record_response(service, "v2", success, one.now);
		if (counted && i % 2 == 0)
		{
			one.shift.record_broken_response(*counted, one.now);
		}
	}
	CHECK(one.shift.suspensions().size() == 1);
}
