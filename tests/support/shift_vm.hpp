// SPDX-License-Identifier: MIT
// One VM that follows a shift of versions, for tests of shifts: its clock, its answers, its plans.
#pragma once

#include <catch2/catch.hpp>
#include <gingerdyke/rollout/version_shift.hpp>
#include <memory>

namespace gingerdyke::test
{
/// \brief The service whose version changes.
inline const service_id service{"s"};

/// \brief One VM whose registry clock runs with its own, 7 s ahead.
struct vm
{
	explicit vm(std::uint64_t seed, const rollout::shift_tuning& tuning = {})
		: shift(
			  seeded_random{seed}, [](const rollout::shift_event&) {}, tuning)
	{
		shift.set_replicas(service, {replica_of("v1")});
		hear();
	}

	[[nodiscard]] static routing::replica_ptr replica_of(const std::string& version)
	{
		const auto made = std::make_shared<routing::replica>();
		made->service = service;
		made->version = version;
		return made;
	}

	/// The replicas of the new version are started beside the old one's.
	void show_new_version() { shift.set_replicas(service, {replica_of("v1"), replica_of("v2")}); }

	void hear() { shift.update_registry_time(now.time_since_epoch() + std::chrono::seconds{7}, now); }

	/// A VM in touch hears from the registry at least this often.
	void pass(duration span)
	{
		constexpr duration news_pause = std::chrono::milliseconds{500};
		for (const auto until = now + span; now < until;)
		{
			now = std::min(now + news_pause, until);
			hear();
		}
	}

	/// Answers of a version: failures in a fixed pattern.
	void see(const std::string& version, unsigned count, unsigned failures, double relative_latency = 1)
	{
		for (unsigned i = 0; i < count; ++i)
		{
			shift.record_response(service, version, {"route", "model", i < failures, relative_latency}, now);
		}
	}

	instant now{std::chrono::seconds{1000}};
	rollout::version_shift shift;
};

/// \brief Failures on the only route, at replicas of one group.
inline rollout::shift_evidence failures(
	const rollout::shift_plan& plan, std::uint64_t answers, std::uint64_t failed, std::size_t group = 0)
{
	rollout::shift_evidence evidence{service, plan.order, {}};
	evidence.seen.by_route["route"].new_version[rollout::cell_of(group, 0)] = {answers, failed};
	return evidence;
}

/// \brief The plan that a VM wants to write, made a row.
inline rollout::shift_plan written(vm& one, std::int64_t row)
{
	for (int i = 0; i < 100; ++i)
	{
		for (const auto& write : one.shift.due(one.now))
		{
			if (write.plan)
			{
				auto plan = *write.plan;
				plan.row = rollout::row_version{row};
				return plan;
			}
		}
		one.pass(std::chrono::milliseconds{20});
	}
	FAIL("nothing was to be written");
	return {};
}

/// \brief Orders a shift; the plan that the VM writes and follows.
inline rollout::shift_plan begin(vm& one, duration length = std::chrono::seconds{20})
{
	one.shift.on_order({service, "v2", length, rollout::row_version{10}}, one.now);
	const auto plan = written(one, 11);
	one.shift.on_plan(plan, one.now);
	return plan;
}

/// \brief Answers that show that the new version is as good as the old one; then the plan that promotes it.
inline rollout::shift_plan promote(vm& one)
{
	one.see("v1", 100, 0);
	one.see("v2", 20, 0);
	const auto plan = written(one, 12);
	REQUIRE(plan.promoted);
	CHECK(plan.state == rollout::shift_state::running);
	one.shift.on_plan(plan, one.now);
	return plan;
}

/// \brief Share of sessions that go to the new version.
inline double measured_share(vm& one)
{
	unsigned to_new = 0;
	constexpr unsigned sessions = 2000;
	for (unsigned i = 0; i < sessions; ++i)
	{
		to_new += one.shift.version_for(service, i * (~std::uint64_t{0} / sessions), one.now) == "v2" ? 1 : 0;
	}
	return to_new / static_cast<double>(sessions);
}
} // namespace gingerdyke::test
