// SPDX-License-Identifier: MIT
// Slow start over many VMs in virtual time: the limit of a cold replica holds whatever each VM knows of the
// others, and what the replica bears is used.
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

/// One VM, and what it knows of cold replicas.
struct cold_vm
{
	cold_vm() { cold.set_limits({{service_id{"s"}, {limit, seconds{3}}}}); }

	fleet_list vms;
	slow_start cold{vms, [](const replica&, cold_reason, duration) {}};
};

replica cold_replica(milliseconds left)
{
	auto made = make_replica("r1");
	made.cold_left = left;
	return made;
}

/// Requests that arrived, the earliest first; each second is judged by itself.
std::size_t most_in_a_second(std::vector<instant> sent)
{
	std::sort(sent.begin(), sent.end());
	std::size_t most = 0;
	for (std::size_t first = 0, last = 0; last < sent.size(); ++last)
	{
		while (sent[last] - sent[first] > seconds{1})
		{
			++first;
		}
		most = std::max(most, last - first + 1);
	}
	return most;
}

/// One VM of a deployment, which hears of the others with a delay or not at all.
struct member : cold_vm
{
	instant started;
	std::size_t known{};
};

/// Lets VMs come and restart at drawn moments, with lists that are behind by drawn times, and send to one
/// cold replica as often as they may.
std::vector<instant> play(std::uint64_t seed, std::size_t vms, std::size_t added)
{
	const random_source random = seeded_random{seed};
	const auto one = cold_replica(seconds{60});
	std::vector<std::unique_ptr<member>> members;
	std::size_t listed = 0;
	const auto start_vm = [&](std::size_t number, instant now)
	{
		auto made = std::make_unique<member>();
		made->started = now;
		made->cold.note_told(one, now);
		number < members.size() ? void(members[number] = std::move(made))
								: members.push_back(std::move(made));
	};
	for (std::size_t i = 0; i < vms; ++i)
	{
		start_vm(i, at(milliseconds{0}));
	}
	listed = vms;
	std::vector<instant> sent;
	for (milliseconds passed{0}; passed < seconds{40}; passed += milliseconds{10})
	{
		const auto now = at(passed);
		if (listed < vms + added && random_unit(random) < 0.01)
		{
			start_vm(listed, now);
			++listed;
		}
		if (random_unit(random) < 0.005)
		{
			start_vm(random_below(random, members.size()), now);
		}
		for (std::size_t i = 0; i < members.size(); ++i)
		{
			auto& vm = *members[i];
			// Some hear nothing for long.
			const bool hears = (i % 5 != 0 || passed < seconds{10}) && random_unit(random) < 0.02;
			if (hears)
			{
				vm.vms.set(vm_named(i), vms_up_to(listed), now);
				vm.vms.confirm(now);
			}
			if (vm.cold.takes(one, now))
			{
				vm.cold.note_sent(one, now);
				sent.push_back(now);
			}
		}
	}
	return sent;
}
} // namespace

TEST_CASE(
	"VMs that know little of each other send a cold replica no more than it bears", "[routing][slow_start]")
{
	for (std::uint64_t seed = 1; seed <= 40; ++seed)
	{
		CAPTURE(seed);
		CHECK(most_in_a_second(play(seed, 7, 3)) <= limit);
		CHECK(most_in_a_second(play(seed, 65, 12)) <= limit);
	}
}

TEST_CASE("what a cold replica bears is used, by few VMs and by many", "[routing][slow_start]")
{
	for (const std::size_t vms : {1U, 4U, 13U, 65U, 340U})
	{
		CAPTURE(vms);
		std::size_t sent = 0;
		const auto one = cold_replica(seconds{60});
		const auto now = at(seconds{10});
		for (std::size_t i = 0; i < vms; ++i)
		{
			cold_vm vm;
			auto& cold = vm.cold;
			vm.vms.set(vm_named(i), vms_up_to(vms), at(seconds{0}));
			vm.vms.confirm(now);
			cold.note_told(one, now);
			while (cold.takes(one, now))
			{
				cold.note_sent(one, now);
				++sent;
			}
		}
		CHECK(sent <= limit);
		CHECK(sent >= 0.9 * limit);
	}
}

TEST_CASE(
	"a VM without a list that is new enough, or that is new on it, has no share", "[routing][slow_start]")
{
	cold_vm vm;
	auto& cold = vm.cold;
	const auto one = cold_replica(seconds{60});
	cold.note_told(one, at(seconds{0}));
	CHECK_FALSE(cold.takes(one, at(seconds{0})));
	vm.vms.set(vm_named(0), vms_up_to(2), at(seconds{0}));
	vm.vms.confirm(at(seconds{4}));
	CHECK_FALSE(cold.takes(one, at(seconds{5})));
	CHECK(cold.takes(one, at(milliseconds{5001})));
	CHECK(cold.takes(one, at(seconds{9})));
	CHECK_FALSE(cold.takes(one, at(milliseconds{9001})));
	vm.vms.set(vm_named(0), {{vm_named(1), {}}}, at(seconds{9}));
	vm.vms.confirm(at(seconds{9}));
	CHECK_FALSE(cold.takes(one, at(seconds{9})));
}

TEST_CASE("a replica is cold for as long as it says, the longest of what is known", "[routing][slow_start]")
{
	cold_vm vm;
	auto& cold = vm.cold;
	cold.note_told(cold_replica(milliseconds{2000}), at(seconds{0}));
	cold.note_told(cold_replica(milliseconds{300}), at(milliseconds{500}));
	const auto one = make_replica("r1");
	CHECK(cold.is_cold(one, at(milliseconds{1999})));
	CHECK_FALSE(cold.is_cold(one, at(seconds{2})));
	CHECK(cold.takes(one, at(seconds{2})));
	cold.note_unknown(one, cold_reason::unreachable, at(seconds{2}));
	CHECK(cold.is_cold(one, at(milliseconds{4999})));
	CHECK(cold.time_until_warm(service_id{"s"}, at(seconds{4})) == seconds{1});
	CHECK_FALSE(cold.time_until_warm(service_id{"s"}, at(seconds{5})));
}

TEST_CASE("replicas of services without a limit are never cold", "[routing][slow_start]")
{
	const fleet_list vms;
	slow_start cold{vms, [](const replica&, cold_reason, duration) { FAIL("nothing is cold"); }};
	const auto one = cold_replica(seconds{60});
	cold.note_told(one, at(seconds{0}));
	cold.note_unknown(one, cold_reason::evacuated, at(seconds{0}));
	CHECK(cold.takes(one, at(seconds{0})));
	CHECK(cold.cold_count(at(seconds{0})) == 0);
}

TEST_CASE("a request that left later than it was chosen counts from when it left", "[routing][slow_start]")
{
	cold_vm vm;
	auto& cold = vm.cold;
	const auto one = cold_replica(seconds{60});
	vm.vms.set(vm_named(0), vms_up_to(13), at(seconds{0}));
	vm.vms.confirm(at(seconds{8}));
	cold.note_told(one, at(seconds{8}));
	cold.note_sent(one, at(seconds{8}));
	CHECK_FALSE(cold.takes(one, at(seconds{8})));
	cold.note_left(one, at(seconds{8}), at(milliseconds{8400}));
	CHECK_FALSE(cold.takes(one, at(milliseconds{9100})));
	CHECK(cold.takes(one, at(milliseconds{9500})));
}
