// SPDX-License-Identifier: MIT
// The lease of a duty, step by step.
#include <catch2/catch.hpp>
#include <gingerdyke/duty/lease.hpp>

using namespace gingerdyke;
using namespace gingerdyke::duty;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace
{
const instant start{seconds{100}};
const lease_holder self{vm_id{"vm-a"}, "1"};
const lease_holder other{vm_id{"vm-b"}, "1"};

lease eligible_lease(lease_tuning tuning = {})
{
	lease result{self, tuning};
	result.set_eligible(true, duration{0});
	return result;
}

/// A lease that was taken at `start` with the row's version 5.
lease held_lease(lease_tuning tuning = {})
{
	auto result = eligible_lease(tuning);
	result.observe(std::nullopt, start);
	REQUIRE(result.start_write(start));
	result.on_committed(row_version{5}, start + milliseconds{5});
	return result;
}
} // namespace

TEST_CASE("a lease that nobody had is taken with the first token", "[duty][lease]")
{
	auto lease = eligible_lease();
	CHECK_FALSE(lease.start_write(start));
	lease.observe(std::nullopt, start);
	const auto write = lease.start_write(start);
	REQUIRE(write);
	CHECK(write->record.token == epoch{1});
	CHECK(write->expected == row_version{0});
	CHECK_FALSE(lease.may_act(start));
	lease.on_committed(row_version{5}, start + milliseconds{5});
	CHECK(lease.may_act(start + milliseconds{5}));
}

TEST_CASE("a holder without news of its renewal stops before another VM can take over", "[duty][lease]")
{
	const lease_tuning tuning;
	const auto holder = held_lease();
	auto heir = eligible_lease();
	heir.observe(lease_record{other, epoch{1}, false, row_version{5}}, start);
	instant last_act = start;
	for (auto now = start + milliseconds{10}; now < start + 2 * tuning.term; now += milliseconds{10})
	{
		if (holder.may_act(now))
		{
			last_act = now;
		}
		if (heir.start_write(now))
		{
			CHECK(now >= start + tuning.term);
			CHECK(last_act + tuning.call_limit < now);
			return;
		}
	}
	FAIL("nobody took over");
}

TEST_CASE("a renewal whose response is lost does not extend the time to act", "[duty][lease]")
{
	const lease_tuning tuning;
	auto lease = held_lease();
	REQUIRE(lease.start_write(start + tuning.renewal_interval));
	lease.on_failure(start + seconds{1});
	CHECK_FALSE(lease.may_act(start + tuning.term));
	lease.observe(lease_record{self, epoch{1}, false, row_version{8}}, start + tuning.term);
	CHECK_FALSE(lease.may_act(start + tuning.term));
	const auto retry = lease.start_write(start + tuning.term);
	REQUIRE(retry);
	CHECK(retry->expected == row_version{8});
	CHECK(retry->record.token == epoch{1});
}

TEST_CASE("a holder that must stop releases the lease once no call is in flight", "[duty][lease]")
{
	auto lease = held_lease();
	lease.set_eligible(false, duration{0});
	const auto now = start + milliseconds{50};
	CHECK_FALSE(lease.may_act(now));
	CHECK_FALSE(lease.start_write(now, false));
	const auto release = lease.start_write(now + seconds{1});
	REQUIRE(release);
	CHECK(release->record.is_released);
	lease.set_eligible(true, duration{0});
	CHECK_FALSE(lease.may_act(now + seconds{1}));
}

TEST_CASE("a released lease is taken at once by a VM that has known its token for a term", "[duty][lease]")
{
	const lease_tuning tuning;
	auto heir = eligible_lease();
	heir.observe(lease_record{other, epoch{4}, false, row_version{5}}, start);
	const auto later = start + 2 * tuning.term;
	heir.observe(lease_record{other, epoch{4}, true, row_version{9}}, later);
	const auto write = heir.start_write(later);
	REQUIRE(write);
	CHECK(write->record.token == epoch{5});

	auto newcomer = eligible_lease();
	newcomer.observe(lease_record{other, epoch{4}, true, row_version{9}}, later);
	CHECK_FALSE(newcomer.start_write(later));
	CHECK(newcomer.start_write(later + tuning.term + seconds{1}));
}

TEST_CASE("a holder whose token was rejected gives the lease up", "[duty][lease]")
{
	auto lease = held_lease();
	const auto now = start + milliseconds{100};
	lease.on_token_rejected(now);
	CHECK_FALSE(lease.may_act(now));
	CHECK_FALSE(lease.start_write(now + seconds{1}));
}

TEST_CASE(
	"a renewal that was in flight when the token was rejected does not bring the lease back", "[duty][lease]")
{
	const lease_tuning tuning;
	auto lease = held_lease();
	const auto now = start + tuning.renewal_interval;
	REQUIRE(lease.start_write(now));
	lease.on_token_rejected(now);
	lease.on_committed(row_version{8}, now + milliseconds{5});
	CHECK_FALSE(lease.may_act(now + milliseconds{5}));
	const auto next = lease.start_write(now + 2 * tuning.term);
	REQUIRE(next);
	CHECK(next->record.token == epoch{2});
}

TEST_CASE("where tokens are not checked, a new holder lets earlier calls arrive first", "[duty][lease]")
{
	lease_tuning tuning;
	tuning.settling_time = seconds{1};
	const auto lease = held_lease(tuning);
	CHECK_FALSE(lease.may_act(start + milliseconds{500}));
	CHECK(lease.may_act(start + milliseconds{1010}));
}

TEST_CASE("a conflict with a later write of another row doesn't end the lease", "[duty][lease]")
{
	auto lease = held_lease();
	const auto now = start + seconds{1};
	REQUIRE(lease.start_write(now));
	// The committed write was answered with a version that belonged to another row.
	lease.on_conflict(lease_record{self, epoch{1}, false, row_version{3}}, now + milliseconds{5});
	const auto retry = lease.start_write(now + seconds{1});
	REQUIRE(retry);
	CHECK(retry->expected == row_version{3});
}
