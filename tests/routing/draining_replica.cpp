// SPDX-License-Identifier: MIT
// A replica's own announcement that it is draining, whatever the registry says before and after.
#include "../support/replicas.hpp"

#include <catch2/catch.hpp>
#include <gingerdyke/base/random.hpp>

using namespace gingerdyke;
using namespace gingerdyke::routing;
using gingerdyke::test::at;
using gingerdyke::test::make_replica;
using std::chrono::milliseconds;
using std::chrono::minutes;

namespace
{
replica make_process(std::int64_t incarnation, bool is_draining = false)
{
	auto created = make_replica("r1");
	created.incarnation = replica_incarnation{incarnation};
	created.is_draining = is_draining;
	return created;
}

/// Applies a random registry update about process 1, or a loss of the registry.
void apply_random_update(replica_set& set, const random_source& random, instant now)
{
	switch (random_below(random, 6))
	{
	case 0:
		set.put(make_process(1), now);
		return;
	case 1:
		set.put(make_process(1, true), now);
		return;
	case 2:
		set.remove(replica_id{"r1"}, now);
		return;
	case 3:
		set.replace_all({make_process(1)}, now);
		return;
	case 4:
		set.replace_all({}, now);
		return;
	default:
		set.mark_registry_unavailable(now);
		set.mark_registry_available(now + milliseconds{100});
	}
}
} // namespace

TEST_CASE("a replica that announced that it is draining gets no requests, whatever the registry says",
	"[routing][leaving]")
{
	for (std::uint64_t seed = 1; seed <= 200; ++seed)
	{
		CAPTURE(seed);
		const random_source random = seeded_random{seed};
		replica_set set{[](const replica&, replica_change) {}};
		milliseconds elapsed{0};
		const auto announced_at = random_below(random, 10);
		for (std::uint64_t i = 0; i < 30; ++i)
		{
			elapsed += milliseconds{random_below(random, 3000)};
			apply_random_update(set, random, at(elapsed));
			if (i == announced_at)
			{
				set.mark_draining(make_process(1), at(elapsed));
			}
			if (i >= announced_at)
			{
				CHECK_FALSE(set.accepts_requests(make_process(1)));
			}
		}
		set.put(make_process(2), at(elapsed));
		CHECK(set.accepts_requests(make_process(2)));
	}
}

TEST_CASE("an announcement of a previous process does not apply to the current one", "[routing][leaving]")
{
	replica_set set{[](const replica&, replica_change) {}};
	set.put(make_process(2), at(milliseconds{0}));
	CHECK_FALSE(set.mark_draining(make_process(1), at(milliseconds{1})));
	CHECK(set.accepts_requests(make_process(2)));
}

TEST_CASE("announcements of replicas that are gone expire", "[routing][leaving]")
{
	replica_set set{[](const replica&, replica_change) {}};
	CHECK(set.mark_draining(make_process(1), at(milliseconds{0})));
	CHECK_FALSE(set.mark_draining(make_process(1), at(milliseconds{1})));
	set.put(make_replica("r2"), at(minutes{6}));
	CHECK(set.mark_draining(make_process(1), at(minutes{6})));
}
