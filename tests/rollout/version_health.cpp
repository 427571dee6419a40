// SPDX-License-Identifier: MIT
// The operator learns of a version that fails its requests, also after its shift.
#include <catch2/catch.hpp>
#include <gingerdyke/rollout/version_health.hpp>

using namespace gingerdyke;
using std::chrono::seconds;

namespace
{
const service_id service{"s"};

struct watched_service
{
	/// Responses within one interval.
	void see(unsigned responses, unsigned failed, const std::string& version = "v1",
		duration interval = seconds{1})
	{
		for (unsigned i = 0; i < responses; ++i)
		{
			health.record_response(service, version, i < failed, now);
		}
		now += interval;
	}

	instant now{seconds{1000}};
	std::vector<rollout::health_change> changes;
	rollout::version_health health{
		[this](const rollout::health_change& change) { changes.push_back(change); }};
};
} // namespace

TEST_CASE(
	"a version that fails requests is reported once, and once when it no longer does", "[version_health]")
{
	watched_service watched;
	for (int i = 0; i < 10; ++i)
	{
		watched.see(10, 0);
	}
	CHECK(watched.changes.empty());
	for (int i = 0; i < 10; ++i)
	{
		watched.see(10, 5);
	}
	REQUIRE(watched.changes.size() == 1);
	CHECK(watched.changes.front().is_failing);
	CHECK(watched.changes.front().version == "v1");
	for (int i = 0; i < 20; ++i)
	{
		watched.see(10, 0);
	}
	REQUIRE(watched.changes.size() == 2);
	CHECK_FALSE(watched.changes.back().is_failing);
}

// A small service's requests are spread over all VMs of a large deployment.
TEST_CASE("a version that fails requests is reported by a VM that gets few of them", "[version_health]")
{
	watched_service watched;
	for (int i = 0; i < 40; ++i)
	{
		watched.see(2, 1, "v1", seconds{20});
	}
	REQUIRE(watched.changes.size() == 1);
	CHECK(watched.changes.front().is_failing);
}

TEST_CASE("a long time without failures does not hide a version that fails now", "[version_health]")
{
	watched_service watched;
	for (int i = 0; i < 10000; ++i)
	{
		watched.see(10, 0);
	}
	for (int i = 0; i < 4; ++i)
	{
		watched.see(10, 5);
	}
	CHECK(watched.changes.size() == 1);
}

TEST_CASE("responses that break off are failures of a version", "[version_health]")
{
	watched_service watched;
	for (unsigned i = 0; i < 80; ++i)
	{
		watched.health.record_response(service, "v1", false, watched.now);
		if (i % 2 == 0)
		{
			watched.health.record_broken_response(service, "v1", watched.now);
		}
	}
	REQUIRE(watched.changes.size() == 1);
	const auto totals = watched.health.totals();
	REQUIRE(totals.size() == 1);
	CHECK(totals.front().responses == rollout::response_counts{80, 40});
}

TEST_CASE("a version that fails requests is not taken for a sound one while it has few", "[version_health]")
{
	watched_service watched;
	for (int i = 0; i < 10; ++i)
	{
		watched.see(10, 5);
	}
	REQUIRE(watched.changes.size() == 1);
	watched.see(5, 0);
	CHECK(watched.changes.size() == 1);
}

TEST_CASE("a few failures, or few responses, are not reported", "[version_health]")
{
	watched_service watched;
	watched.see(15, 15, "v1");
	for (int i = 0; i < 10; ++i)
	{
		watched.see(10, 1, "v2");
	}
	CHECK(watched.changes.empty());
}

TEST_CASE("the versions kept for a service are bounded", "[version_health]")
{
	watched_service watched;
	for (int i = 0; i < 100; ++i)
	{
		watched.see(1, 0, "v" + std::to_string(i));
	}
	const auto totals = watched.health.totals();
	CHECK(totals.size() == rollout::health_tuning{}.max_versions);
	CHECK(totals.back().version == "v99");
}
