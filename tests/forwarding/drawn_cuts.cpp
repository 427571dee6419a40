// SPDX-License-Identifier: MIT
// Drawn partitions between some VMs of a fleet and all replicas, judged by first attempts.
#include "../support/partitioned_fleet.hpp"
#include <array>

using namespace gingerdyke;
using namespace gingerdyke::test;
using platform::standin::once_prefix;
using platform::standin::repeatable_prefix;
using platform::standin::stream_prefix;
using soak::link_fault;

namespace
{
constexpr std::size_t vm_count = 5;
constexpr std::array faults{link_fault::refused, link_fault::refused_new, link_fault::unanswered};
constexpr std::array prefixes{once_prefix, repeatable_prefix, stream_prefix};

/// First attempts at some VMs.
struct attempt_count
{
	std::size_t sent{};
	std::size_t served{};

	[[nodiscard]] double share() const { return static_cast<double>(served) / static_cast<double>(sent); }
};

/// Sends requests of all kinds to all VMs at the same time and counts those at VMs that are cut, or not.
void ask_all(
	partitioned_fleet& fleet, const std::vector<bool>& is_cut, attempt_count& cut, attempt_count& others)
{
	std::vector<std::unique_ptr<scripted_caller>> callers;
	for (std::size_t vm = 0; vm < is_cut.size(); ++vm)
	{
		for (const auto* prefix : prefixes)
		{
			callers.push_back(fleet.begin(vm, prefix));
		}
	}
	fleet.run_until(
		[&] {
			return std::all_of(callers.begin(), callers.end(), [](const auto& one) { return one->ended(); });
		});
	for (std::size_t i = 0; i < callers.size(); ++i)
	{
		auto& counted = is_cut[i / prefixes.size()] ? cut : others;
		++counted.sent;
		counted.served += callers[i]->received().starts_with("HTTP/1.1 200 ") ? 1 : 0;
	}
}

/// How often each request that must not be repeated ran.
std::size_t repeated_runs(const partitioned_fleet& fleet)
{
	std::map<std::string, std::size_t> runs;
	for (const auto& run : fleet.runs())
	{
		runs[run.request_id] += run.path.starts_with(once_prefix) ? 1 : 0;
	}
	return static_cast<std::size_t>(
		std::count_if(runs.begin(), runs.end(), [](const auto& entry) { return entry.second > 1; }));
}
} // namespace

TEST_CASE("VMs that are cut from all replicas serve like the others, whichever they are", "[forwarding]")
{
	constexpr int rounds = 8;
	constexpr int rounds_until_known = 2;
	for (const std::uint64_t seed : {1U, 2U, 3U, 4U})
	{
		const random_source random = seeded_random{seed};
		partitioned_fleet fleet{vm_count};
		std::vector<bool> is_cut(vm_count, false);
		const auto cut_count = 1 + random_below(random, vm_count - 1);
		for (std::size_t i = 0; i < cut_count; ++i)
		{
			is_cut[random_below(random, vm_count)] = true;
		}
		attempt_count ignored;
		ask_all(fleet, is_cut, ignored, ignored);
		for (std::size_t vm = 0; vm < vm_count; ++vm)
		{
			fleet.set_links(
				vm, is_cut[vm] ? faults.at(random_below(random, faults.size())) : link_fault::none);
		}
		attempt_count cut;
		attempt_count others;
		for (int round = 0; round < rounds; ++round)
		{
			const bool is_counted = round >= rounds_until_known;
			ask_all(fleet, is_cut, is_counted ? cut : ignored, is_counted ? others : ignored);
		}
		INFO("seed " << seed << ", cut " << cut.served << " of " << cut.sent << ", others " << others.served
					 << " of " << others.sent);
		CHECK(cut.share() >= others.share() * 2 / 3);
		CHECK(others.share() == 1);
		CHECK(repeated_runs(fleet) == 0);
		for (std::size_t vm = 0; vm < vm_count; ++vm)
		{
			fleet.set_links(vm, link_fault::none);
		}
		fleet.run_for(std::chrono::milliseconds{2600});
		for (std::size_t vm = 0; vm < vm_count; ++vm)
		{
			CHECK(fleet.gateway(vm).paths().lost_count() == 0);
		}
	}
}

TEST_CASE("requests are refused at once as not run if all VMs are cut", "[forwarding]")
{
	partitioned_fleet fleet{3};
	attempt_count ignored;
	const std::vector<bool> is_cut(3, true);
	for (std::size_t vm = 0; vm < 3; ++vm)
	{
		fleet.set_links(vm, link_fault::refused);
	}
	ask_all(fleet, is_cut, ignored, ignored);
	ask_all(fleet, is_cut, ignored, ignored);
	const auto runs = fleet.run_count();
	for (std::size_t vm = 0; vm < 3; ++vm)
	{
		const auto answer = fleet.ask_for_text(vm, once_prefix);
		CHECK(answer.starts_with("HTTP/1.1 503 "));
		CHECK(answer.find("Retry-After: ") != std::string::npos);
	}
	CHECK(fleet.run_count() == runs);
}

TEST_CASE("a VM that shuts down is not asked to forward requests if another one can", "[forwarding]")
{
	partitioned_fleet fleet{3};
	fleet.set_links(0, link_fault::refused);
	static_cast<void>(fleet.ask(0, repeatable_prefix));
	fleet.gateway(1).record_shutdown({proxy::steady_now(), proxy::steady_now() + std::chrono::seconds{8}});
	for (int i = 0; i < 4; ++i)
	{
		for (const auto* prefix : prefixes)
		{
			CHECK(fleet.ask(0, prefix) == 200);
		}
	}
}

TEST_CASE("a VM that is cut from one service only goes on with the others by itself", "[forwarding]")
{
	partitioned_fleet fleet{2};
	fleet.set_links(0, platform::standin::plain_service, link_fault::refused);
	for (int i = 0; i < 3; ++i)
	{
		static_cast<void>(fleet.ask(0, repeatable_prefix));
	}
	CHECK(fleet.ask(0, repeatable_prefix) == 200);
	CHECK(fleet.ask(0, stream_prefix) == 200);
	CHECK(fleet.gateway(0).paths().lost_count() == 2);
	CHECK_FALSE(fleet.gateway(0).paths().is_isolated());
}

TEST_CASE("a caller that leaves is known at the replica through the forwarding VM", "[forwarding]")
{
	partitioned_fleet fleet{2};
	fleet.set_links(0, link_fault::refused);
	REQUIRE(fleet.ask(0, stream_prefix) != 0);
	auto caller = fleet.begin(0, stream_prefix);
	fleet.run_until([&] { return fleet.gateway(1).forwarded_count() == 1; });
	caller->leave();
	fleet.run_until([&] { return fleet.gateway(1).forwarded_count() == 0; });
	for (const auto* replica : fleet.replicas_of(platform::standin::engine_service))
	{
		CHECK(fleet.gateway(1).selector().requests_in_progress(
				  *fleet.gateway(1).replicas().find(replica_id{replica->id()})) == 0);
	}
}

TEST_CASE("a request that a VM could not forward does not count in its retry budget", "[forwarding]")
{
	partitioned_fleet fleet{2};
	for (std::size_t vm = 0; vm < 2; ++vm)
	{
		fleet.set_links(vm, link_fault::refused);
	}
	auto& budget = fleet.gateway(1).budget(service_id{platform::standin::plain_service});
	const auto before = budget.available(proxy::steady_now());
	for (int i = 0; i < 4; ++i)
	{
		CHECK(fleet.ask(0, repeatable_prefix) != 200);
	}
	CHECK(budget.available(proxy::steady_now()) == before);
}

TEST_CASE("a VM whose failure domain is cut asks none of its VMs once they have reported it", "[forwarding]")
{
	constexpr std::size_t vms = 6;
	partitioned_fleet fleet{vms};
	const service_id service{platform::standin::plain_service};
	const std::vector<bool> is_cut{true, false, true, false, true, false};
	for (std::size_t vm = 0; vm < vms; vm += 2)
	{
		fleet.set_links(vm, link_fault::refused);
	}
	attempt_count ignored;
	ask_all(fleet, is_cut, ignored, ignored);
	ask_all(fleet, is_cut, ignored, ignored);
	const std::vector other_domain{vm_id{"vm1"}, vm_id{"vm3"}, vm_id{"vm5"}};
	const auto asks_own_domain = [&]
	{ return fleet.gateway(0).peers().choose(service, other_domain, proxy::steady_now()).has_value(); };
	fleet.run_until([&] { return !asks_own_domain(); });
	attempt_count cut;
	attempt_count others;
	ask_all(fleet, is_cut, cut, others);
	CHECK(cut.share() == 1);
	CHECK(others.share() == 1);
	for (std::size_t vm = 0; vm < vms; vm += 2)
	{
		fleet.set_links(vm, link_fault::none);
	}
	fleet.run_until(asks_own_domain);
}
