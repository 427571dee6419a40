// SPDX-License-Identifier: MIT
// Slow start over many VMs in virtual time: the limit of a cold replica is kept whatever each VM knows of
// the others, and most of the limit is used.
#include "../support/fleet.hpp"
#include "../support/replicas.hpp"

#include <algorithm>
#include <catch2/catch.hpp>
#include <gingerdyke/base/random.hpp>
#include <gingerdyke/routing/slow_start.hpp>
#include <memory>

using namespace gingerdyke;
using namespace gingerdyke::routing;
using gingerdyke::test::at;
using gingerdyke::test::make_replica;
using gingerdyke::test::vm_named;
using gingerdyke::test::vms_up_to;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace
{
constexpr double limit = 13;

/// One VM and its slow-start state.
struct cold_vm
{
	cold_vm() { cold.set_limits({{service_id{"s"}, {limit, seconds{3}}}}); }

	fleet_list vms;
	slow_start cold{vms, [](const replica&, cold_reason, duration) {}};
};

replica cold_replica(milliseconds remaining)
{
	auto created = make_replica("r1");
	created.remaining_warmup = remaining;
	return created;
}

/// Returns the largest number of requests in any span of one second.
std::size_t max_per_second(std::vector<instant> sent)
{
	std::sort(sent.begin(), sent.end());
	std::size_t max_count = 0;
	for (std::size_t first = 0, last = 0; last < sent.size(); ++last)
	{
		while (sent[last] - sent[first] > seconds{1})
		{
			++first;
		}
		max_count = std::max(max_count, last - first + 1);
	}
	return max_count;
}

/// One VM of a deployment, which gets updates of the list with a delay or not at all.
struct fleet_vm : cold_vm
{
	instant started;
	std::size_t known{};
};

/// Simulates VMs that are added and restart at random times, with lists that are outdated by random times,
/// and that send to one cold replica as often as they may.
std::vector<instant> simulate(std::uint64_t seed, std::size_t vms, std::size_t added)
{
	const random_source random = seeded_random{seed};
	const auto target = cold_replica(seconds{60});
	std::vector<std::unique_ptr<fleet_vm>> fleet;
	std::size_t listed = 0;
	const auto start_vm = [&](std::size_t number, instant now)
	{
		auto created = std::make_unique<fleet_vm>();
		created->started = now;
		created->cold.apply_entry(target, now);
		number < fleet.size() ? void(fleet[number] = std::move(created))
							  : fleet.push_back(std::move(created));
	};
	for (std::size_t i = 0; i < vms; ++i)
	{
		start_vm(i, at(milliseconds{0}));
	}
	listed = vms;
	std::vector<instant> sent;
	for (milliseconds elapsed{0}; elapsed < seconds{40}; elapsed += milliseconds{10})
	{
		const auto now = at(elapsed);
		if (listed < vms + added && random_unit(random) < 0.01)
		{
			start_vm(listed, now);
			++listed;
		}
		if (random_unit(random) < 0.005)
		{
			start_vm(random_below(random, fleet.size()), now);
		}
		for (std::size_t i = 0; i < fleet.size(); ++i)
		{
			auto& vm = *fleet[i];
			// Every fifth VM gets no updates after the first 10 s.
			const bool gets_update = (i % 5 != 0 || elapsed < seconds{10}) && random_unit(random) < 0.02;
			if (gets_update)
			{
				vm.vms.set(vm_named(i), vms_up_to(listed), now);
				vm.vms.confirm(now);
			}
			if (vm.cold.allows_request(target, now))
			{
				vm.cold.record_sent(target, now);
				sent.push_back(now);
			}
		}
	}
	return sent;
}
} // namespace

TEST_CASE("VMs with outdated lists keep to a cold replica's limit together", "[routing][slow_start]")
{
	for (std::uint64_t seed = 1; seed <= 40; ++seed)
	{
		CAPTURE(seed);
		CHECK(max_per_second(simulate(seed, 7, 3)) <= limit);
		CHECK(max_per_second(simulate(seed, 65, 12)) <= limit);
	}
}

TEST_CASE("most of a cold replica's limit is used, by few VMs and by many", "[routing][slow_start]")
{
	for (const std::size_t vms : {1U, 4U, 13U, 65U, 340U})
	{
		CAPTURE(vms);
		std::size_t sent = 0;
		const auto target = cold_replica(seconds{60});
		const auto now = at(seconds{10});
		for (std::size_t i = 0; i < vms; ++i)
		{
			cold_vm vm;
			auto& cold = vm.cold;
			vm.vms.set(vm_named(i), vms_up_to(vms), at(seconds{0}));
			vm.vms.confirm(now);
			cold.apply_entry(target, now);
			while (cold.allows_request(target, now))
			{
				cold.record_sent(target, now);
				++sent;
			}
		}
		CHECK(sent <= limit);
		CHECK(sent >= 0.9 * limit);
	}
}

TEST_CASE("a VM without a fresh list, or recently added to the list, has no share", "[routing][slow_start]")
{
	cold_vm vm;
	auto& cold = vm.cold;
	const auto target = cold_replica(seconds{60});
	cold.apply_entry(target, at(seconds{0}));
	CHECK_FALSE(cold.allows_request(target, at(seconds{0})));
	vm.vms.set(vm_named(0), vms_up_to(2), at(seconds{0}));
	vm.vms.confirm(at(seconds{4}));
	CHECK_FALSE(cold.allows_request(target, at(seconds{5})));
	CHECK(cold.allows_request(target, at(milliseconds{5001})));
	CHECK(cold.allows_request(target, at(seconds{9})));
	CHECK_FALSE(cold.allows_request(target, at(milliseconds{9001})));
	vm.vms.set(vm_named(0), {{vm_named(1), {}}}, at(seconds{9}));
	vm.vms.confirm(at(seconds{9}));
	CHECK_FALSE(cold.allows_request(target, at(seconds{9})));
}

TEST_CASE("a replica is cold until the latest known end of its warm-up", "[routing][slow_start]")
{
	cold_vm vm;
	auto& cold = vm.cold;
	cold.apply_entry(cold_replica(milliseconds{2000}), at(seconds{0}));
	cold.apply_entry(cold_replica(milliseconds{300}), at(milliseconds{500}));
	const auto target = make_replica("r1");
	CHECK(cold.is_cold(target, at(milliseconds{1999})));
	CHECK_FALSE(cold.is_cold(target, at(seconds{2})));
	CHECK(cold.allows_request(target, at(seconds{2})));
	cold.assume_cold(target, cold_reason::unreachable, at(seconds{2}));
	CHECK(cold.is_cold(target, at(milliseconds{4999})));
	CHECK(cold.time_until_warm(service_id{"s"}, at(seconds{4})) == seconds{1});
	CHECK_FALSE(cold.time_until_warm(service_id{"s"}, at(seconds{5})));
}

TEST_CASE("replicas of services without a limit are never cold", "[routing][slow_start]")
{
	const fleet_list vms;
	slow_start cold{vms, [](const replica&, cold_reason, duration) { FAIL("nothing is cold"); }};
	const auto target = cold_replica(seconds{60});
	cold.apply_entry(target, at(seconds{0}));
	cold.assume_cold(target, cold_reason::evacuated, at(seconds{0}));
	CHECK(cold.allows_request(target, at(seconds{0})));
	CHECK(cold.cold_count(at(seconds{0})) == 0);
}

TEST_CASE("a request counts from when it was actually sent", "[routing][slow_start]")
{
	cold_vm vm;
	auto& cold = vm.cold;
	const auto target = cold_replica(seconds{60});
	vm.vms.set(vm_named(0), vms_up_to(13), at(seconds{0}));
	vm.vms.confirm(at(seconds{8}));
	cold.apply_entry(target, at(seconds{8}));
	cold.record_sent(target, at(seconds{8}));
	CHECK_FALSE(cold.allows_request(target, at(seconds{8})));
	cold.update_sent_time(target, at(seconds{8}), at(milliseconds{8400}));
	CHECK_FALSE(cold.allows_request(target, at(milliseconds{9100})));
	CHECK(cold.allows_request(target, at(milliseconds{9500})));
}
