// SPDX-License-Identifier: MIT
// The choice among replicas.
#include <catch2/catch.hpp>
#include <gingerdyke/routing/replica_selector.hpp>
#include <set>

using namespace gingerdyke;
using namespace gingerdyke::routing;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace
{
struct selector_world
{
	explicit selector_world(unsigned count)
	{
		std::vector<replica> entries;
		for (unsigned i = 0; i < count; ++i)
		{
			replica one;
			one.id = replica_id{"r" + std::to_string(i)};
			one.service = service_id{"s"};
			one.domain = failure_domain_id{i == 0 ? "near" : "far"};
			entries.push_back(one);
		}
		replicas.replace_all(std::move(entries), now);
	}

	[[nodiscard]] replica_ptr choose(std::uint64_t affinity = 0)
	{
		selection what;
		what.service = service_id{"s"};
		what.affinity = affinity;
		what.is_engine = affinity != 0;
		what.usable = [](const replica&) { return true; };
		return selector.choose(what, now);
	}

	[[nodiscard]] const replica& of(const replica_id& id) const { return *replicas.find(id); }

	instant now{seconds{50}};
	unsigned ejections = 0;
	replica_set replicas{[](const replica&, replica_change) {}};
	replica_selector selector{replicas, failure_domain_id{"near"}, seeded_random{3},
		[this](const replica_id&, double, duration) { ++ejections; }};
};
} // namespace

TEST_CASE("the same prompt goes to the same replica, and prompts spread over all", "[selector]")
{
	selector_world world{6};
	std::set<replica_id> used;
	for (std::uint64_t prompt = 1; prompt <= 60; ++prompt)
	{
		const auto first = world.choose(prompt)->id;
		CHECK(world.choose(prompt)->id == first);
		used.insert(first);
	}
	CHECK(used.size() == 6);
}

TEST_CASE("affinity gives way where its replica has far more work than the others", "[selector]")
{
	selector_world world{3};
	const auto favoured = world.choose(42)->id;
	world.selector.note_sent(world.of(favoured), 200000);
	const auto next = world.choose(42)->id;
	CHECK(next != favoured);
	world.selector.note_over(world.of(favoured), 200000);
	CHECK(world.choose(42)->id == favoured);
}

TEST_CASE("a prompt that has been read is no work any more", "[selector]")
{
	selector_world world{3};
	const auto favoured = world.choose(42)->id;
	world.selector.note_sent(world.of(favoured), 200000);
	REQUIRE(world.choose(42)->id != favoured);
	world.selector.note_part_done(world.of(favoured), 190000);
	CHECK(world.choose(42)->id == favoured);
	REQUIRE(world.selector.open_work().size() == 1);
	CHECK(world.selector.open_work().front().tokens == 10000);
	world.selector.note_over(world.of(favoured), 10000);
	CHECK(world.selector.open_work().empty());
}

TEST_CASE("work that other VMs have open counts, until it is old", "[selector]")
{
	selector_world world{6};
	const auto favoured = world.choose(42)->id;
	world.selector.note_elsewhere({{favoured, 200000}}, world.now);
	CHECK(world.choose(42)->id != favoured);
	world.now += seconds{3};
	CHECK(world.choose(42)->id == favoured);
	world.selector.note_elsewhere({}, world.now);
	CHECK(world.choose(42)->id == favoured);
}

TEST_CASE("affinity holds while reading the shared parts elsewhere would be more work", "[selector]")
{
	selector_world world{6};
	selection what;
	what.service = service_id{"s"};
	what.affinity = 42;
	what.shared_work = 50000;
	what.is_engine = true;
	what.usable = [](const replica&) { return true; };
	const auto favoured = world.selector.choose(what, world.now)->id;
	world.selector.note_sent(world.of(favoured), 60000);
	CHECK(world.selector.choose(what, world.now)->id == favoured);
	world.selector.note_sent(world.of(favoured), 60000);
	CHECK(world.selector.choose(what, world.now)->id != favoured);
	CHECK(world.selector.open_work().front().tokens == 120000);
}

namespace
{
/// A request of a prompt with 5,000 tokens of shared parts, for a model that takes this share of the time.
selection prompt_for(double model_weight, std::uint64_t affinity)
{
	selection what;
	what.service = service_id{"s"};
	what.affinity = affinity;
	what.model_weight = model_weight;
	what.shared_work = 5000 * model_weight;
	what.is_engine = true;
	what.usable = [](const replica&) { return true; };
	return what;
}
} // namespace

TEST_CASE("small models' prompts stay in the failure domain, the largest's go where all VMs send them",
	"[selector]")
{
	selector_world world{6};
	unsigned far = 0;
	for (std::uint64_t prompt = 1; prompt <= 40; ++prompt)
	{
		CHECK(world.selector.choose(prompt_for(0.05, prompt), world.now)->domain.str() == "near");
		const auto large = world.selector.choose(prompt_for(1, prompt), world.now);
		CHECK(world.selector.choose(prompt_for(1, prompt), world.now)->id == large->id);
		far += large->domain.str() == "far" ? 1 : 0;
	}
	CHECK(far > 20);
}

TEST_CASE(
	"small models' prompts leave the failure domain where its replicas have too much work", "[selector]")
{
	selector_world world{6};
	world.selector.note_sent(world.of(replica_id{"r0"}), 50000);
	for (std::uint64_t prompt = 1; prompt <= 40; ++prompt)
	{
		CHECK(world.selector.choose(prompt_for(0.05, prompt), world.now)->domain.str() == "far");
	}
}

TEST_CASE("work goes to the near replica until it is loaded", "[selector]")
{
	selector_world world{3};
	CHECK(world.choose()->id.str() == "r0");
	world.selector.note_sent(world.of(replica_id{"r0"}), 0);
	CHECK(world.choose()->id.str() != "r0");
}

TEST_CASE("a replica that does not answer is ejected, longer each time, and comes back", "[selector]")
{
	selector_world world{4};
	const auto bad = *world.replicas.find(replica_id{"r0"});
	world.selector.note_result(bad, replica_result::no_answer, duration{}, world.now);
	world.selector.note_result(bad, replica_result::no_answer, duration{}, world.now);
	CHECK(world.ejections == 1);
	for (int i = 0; i < 20; ++i)
	{
		CHECK(world.choose()->id != bad.id);
	}
	world.now += seconds{2};
	CHECK(world.choose()->id == bad.id);
	world.selector.note_result(bad, replica_result::no_answer, duration{}, world.now);
	world.now += seconds{2};
	CHECK(world.choose()->id != bad.id);
	world.now += seconds{2};
	CHECK(world.choose()->id == bad.id);
}

TEST_CASE("where most replicas fail all stay in use", "[selector]")
{
	selector_world world{4};
	for (const auto* id : {"r0", "r1", "r2"})
	{
		const auto bad = *world.replicas.find(replica_id{id});
		world.selector.note_result(bad, replica_result::no_answer, duration{}, world.now);
		world.selector.note_result(bad, replica_result::no_answer, duration{}, world.now);
	}
	CHECK(world.choose()->id.str() == "r0");
}

TEST_CASE("a refusal does not eject: a full replica is not a broken one", "[selector]")
{
	selector_world world{4};
	const auto full = *world.replicas.find(replica_id{"r0"});
	for (int i = 0; i < 20; ++i)
	{
		world.selector.note_result(full, replica_result::refused, duration{}, world.now);
	}
	CHECK(world.ejections == 0);
}

TEST_CASE(
	"a failure domain in which two replicas fall silent is left alone, until one answers or time passes",
	"[selector]")
{
	selector_world world{6};
	const auto fail = [&](const char* id)
	{
		world.selector.note_result(
			*world.replicas.find(replica_id{id}), replica_result::not_connected, duration{}, world.now);
	};
	fail("r1");
	// One silent replica says nothing of the others.
	std::set<replica_id> used;
	for (std::uint64_t prompt = 1; prompt <= 40; ++prompt)
	{
		used.insert(world.choose(prompt)->id);
	}
	CHECK(used.size() == 5);
	fail("r2");
	for (std::uint64_t prompt = 1; prompt <= 40; ++prompt)
	{
		CHECK(world.choose(prompt)->id.str() == "r0");
	}
	SECTION("one of its replicas answers")
	{
		world.selector.note_result(
			*world.replicas.find(replica_id{"r3"}), replica_result::answered, milliseconds{10}, world.now);
	}
	SECTION("time passes")
	{
		world.now += milliseconds{1600};
	}
	used.clear();
	for (std::uint64_t prompt = 1; prompt <= 40; ++prompt)
	{
		used.insert(world.choose(prompt)->id);
	}
	CHECK(used.size() >= 4);
}

TEST_CASE("where all failure domains are dark all replicas stay in use", "[selector]")
{
	selector_world world{3};
	for (const auto* id : {"r1", "r2"})
	{
		world.selector.note_result(
			*world.replicas.find(replica_id{id}), replica_result::no_answer, duration{}, world.now);
	}
	selection far;
	far.service = service_id{"s"};
	far.usable = [](const replica& one) { return one.domain.str() == "far"; };
	CHECK(world.selector.choose(far, world.now) != nullptr);
}
