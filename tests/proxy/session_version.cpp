// SPDX-License-Identifier: MIT
// Versions that requests go to during a shift: a session whose requests came by two routes of a service was
// on both versions at once, and the trial of a new version had no requests beside its share.
#include "../support/proxy_world.hpp"

#include <algorithm>

using namespace gingerdyke;
using namespace gingerdyke::test;
using std::chrono::seconds;

namespace
{
const service_id plain{"plain"};
constexpr duration shift_length = seconds{100};

/// A service with a replica of each version, and a shift that has reached a point of its length.
struct shifted_service
{
	/// \param elapsed Elapsed fraction of the shift, all of which this VM has followed.
	shifted_service(double elapsed, bool is_promoted)
	{
		world.start({{"plain", &old_replica}});
		const auto now = proxy::steady_now();
		std::vector<routing::replica> entries;
		for (const auto* one : {&old_replica, &new_replica})
		{
			routing::replica entry;
			entry.id = replica_id{one == &old_replica ? "old" : "new"};
			entry.service = plain;
			entry.at = one->at();
			entry.version = one == &old_replica ? "v1" : "v2";
			entries.push_back(entry);
		}
		world.gateway().set_replicas(std::move(entries), now);
		auto& versions = world.gateway().versions();
		const rollout::registry_time registry_now = now.time_since_epoch();
		versions.update_registry_time(registry_now, now);
		rollout::shift_plan plan;
		plan.service = plain;
		plan.from_version = "v1";
		plan.to_version = "v2";
		plan.started = registry_now - scaled(shift_length, elapsed);
		plan.length = shift_length;
		plan.order = rollout::row_version{1};
		plan.row = rollout::row_version{2};
		plan.promoted = is_promoted ? std::optional{plan.started} : std::nullopt;
		const auto started = now - scaled(shift_length, elapsed);
		versions.on_plan(plan, started);
		auto& vms = world.gateway().vms();
		vms.set(vm_id{"vm"}, {{vm_id{"vm"}, failure_domain_id{"a"}}}, started);
		vms.confirm(now);
	}

	/// The version that answers a request.
	std::string version_for(const std::string& path, const std::string& more)
	{
		const auto answer = world.ask(request_to("GET", path, {}, more));
		return answer.substr(std::min(answer.size(), answer.size() - 2));
	}

	proxy_world world;
	scripted_replica old_replica{
		world.context, [](const std::string&) { return scripted_answer{answer_with("200 OK", "v1")}; }};
	scripted_replica new_replica{
		world.context, [](const std::string&) { return scripted_answer{answer_with("200 OK", "v2")}; }};
};
} // namespace

TEST_CASE("a session by two routes of a service is on one version", "[exchange][shift]")
{
	constexpr double mid_ramp_up = 0.885;
	shifted_service service{mid_ramp_up, true};
	const auto share = service.world.gateway().versions().share(plain, proxy::steady_now());
	REQUIRE(share > 0.2);
	REQUIRE(share < 0.8);
	unsigned on_new = 0;
	constexpr unsigned sessions = 40;
	for (unsigned index = 0; index < sessions; ++index)
	{
		CAPTURE(index);
		const auto session = "Session: s" + std::to_string(index) + "\r\n";
		const auto version = service.version_for("/safe/a", session);
		CHECK(service.version_for("/unsafe/a", session) == version);
		on_new += version == "v2" ? 1 : 0;
	}
	CHECK(on_new > 0);
	CHECK(on_new < sessions);
}

TEST_CASE("requests without a session serve the trial of a new version beside its share", "[exchange][shift]")
{
	constexpr double mid_trial = 0.7;
	shifted_service service{mid_trial, false};
	constexpr unsigned requests = 10;
	for (unsigned index = 0; index < requests; ++index)
	{
		CHECK(service.version_for("/safe/a", {}) == "v2");
		CHECK(service.version_for("/safe/a", "Session: s1\r\n") == "v1");
	}
}
