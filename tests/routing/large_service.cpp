// SPDX-License-Identifier: MIT
// Choice among the replicas of a service that has thousands.
#include <catch2/catch.hpp>
#include <gingerdyke/routing/replica_selector.hpp>
#include <set>

using namespace gingerdyke;
using namespace gingerdyke::routing;
using std::chrono::seconds;

namespace
{
constexpr unsigned replica_count = 10'000;
constexpr unsigned domain_count = 5;
const instant now{seconds{50}};

/// A VM's view of a large service; counts how many replicas are examined.
struct large_service
{
	explicit large_service(std::uint64_t seed)
		: selector(replicas, failure_domain_id{"d1"}, seeded_random{seed},
			  [](const replica_id&, double, duration) {})
	{
		std::vector<replica> entries;
		for (unsigned i = 0; i < replica_count; ++i)
		{
			replica entry;
			entry.id = replica_id{"r" + std::to_string(i)};
			entry.service = service_id{"s"};
			entry.domain = failure_domain_id{"d" + std::to_string(i % domain_count)};
			entries.push_back(entry);
		}
		replicas.replace_all(std::move(entries), now);
	}

	[[nodiscard]] replica_ptr choose(std::uint64_t affinity)
	{
		examined = 0;
		selection request;
		request.service = service_id{"s"};
		request.affinity = affinity;
		request.is_engine = true;
		request.usable = [this](const replica& candidate)
		{
			++examined;
			return is_usable(candidate);
		};
		return selector.choose(request, now);
	}

	unsigned examined = 0;
	std::function<bool(const replica&)> is_usable = [](const replica&) { return true; };
	replica_set replicas{[](const replica&, replica_change) {}};
	replica_selector selector;
};
} // namespace

TEST_CASE("a choice among thousands of replicas examines few of them", "[selector][large]")
{
	large_service vm{1};
	for (std::uint64_t prompt = 0; prompt < 50; ++prompt)
	{
		REQUIRE(vm.choose(prompt));
		CHECK(vm.examined <= 300);
	}
}

TEST_CASE("all VMs prefer the same of thousands of replicas for the same prompt", "[selector][large]")
{
	large_service a{1};
	large_service b{2};
	for (std::uint64_t prompt = 1; prompt <= 50; ++prompt)
	{
		CHECK(a.choose(prompt)->id == b.choose(prompt)->id);
	}
}

TEST_CASE(
	"if the preferred one of thousands can't be used, all VMs prefer the same other one", "[selector][large]")
{
	large_service a{1};
	large_service b{2};
	const auto first = a.choose(7)->id;
	const auto without_first = [&](const replica& candidate) { return candidate.id != first; };
	a.is_usable = without_first;
	b.is_usable = without_first;
	const auto second = a.choose(7)->id;
	CHECK(second != first);
	CHECK(b.choose(7)->id == second);
}

TEST_CASE("the only usable one of thousands of replicas is found", "[selector][large]")
{
	large_service vm{1};
	vm.is_usable = [](const replica& candidate) { return candidate.id == replica_id{"r4711"}; };
	REQUIRE(vm.choose(0));
	CHECK(vm.choose(0)->id == replica_id{"r4711"});
	vm.is_usable = [](const replica&) { return false; };
	CHECK_FALSE(vm.choose(0));
}

TEST_CASE("requests without a shared prompt are spread over thousands of replicas", "[selector][large]")
{
	large_service vm{1};
	std::set<replica_id> used;
	for (int request = 0; request < 4000; ++request)
	{
		const auto chosen = vm.choose(0);
		used.insert(chosen->id);
		vm.selector.record_sent(*chosen, 1000);
	}
	CHECK(used.size() > 1500);
}
