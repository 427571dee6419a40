// SPDX-License-Identifier: MIT
// A replica's own word that it leaves, whatever the registry tells of it before and after.
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
replica process(std::int64_t incarnation, bool leaving = false)
{
	auto made = make_replica("r1");
	made.incarnation = replica_incarnation{incarnation};
	made.leaving = leaving;
	return made;
}

/// Something that the registry may tell of the process 1, or a loss of the registry.
void tell_anything(replica_set& set, const random_source& random, instant now)
{
	switch (random_below(random, 6))
	{
	case 0:
		set.put(process(1), now);
		return;
	case 1:
		set.put(process(1, true), now);
		return;
	case 2:
		set.remove(replica_id{"r1"}, now);
		return;
	case 3:
		set.replace_all({process(1)}, now);
		return;
	case 4:
		set.replace_all({}, now);
		return;
	default:
		set.note_unsound(now);
		set.note_sound(now + milliseconds{100});
	}
}
} // namespace

TEST_CASE(
	"a replica that said that it leaves takes no work, whatever the registry tells", "[routing][leaving]")
{
	for (std::uint64_t seed = 1; seed <= 200; ++seed)
	{
		CAPTURE(seed);
		const random_source random = seeded_random{seed};
		replica_set set{[](const replica&, replica_change) {}};
		milliseconds passed{0};
		const auto told_at = random_below(random, 10);
		for (std::uint64_t i = 0; i < 30; ++i)
		{
			passed += milliseconds{random_below(random, 3000)};
			tell_anything(set, random, at(passed));
			if (i == told_at)
			{
				set.note_leaving(process(1), at(passed));
			}
			if (i >= told_at)
			{
				CHECK_FALSE(set.takes_work(process(1)));
			}
		}
		set.put(process(2), at(passed));
		CHECK(set.takes_work(process(2)));
	}
}

TEST_CASE("the word of a process before does not concern the one that is known", "[routing][leaving]")
{
	replica_set set{[](const replica&, replica_change) {}};
	set.put(process(2), at(milliseconds{0}));
	CHECK_FALSE(set.note_leaving(process(1), at(milliseconds{1})));
	CHECK(set.takes_work(process(2)));
}

TEST_CASE("words of replicas that are gone are forgotten in time", "[routing][leaving]")
{
	replica_set set{[](const replica&, replica_change) {}};
	CHECK(set.note_leaving(process(1), at(milliseconds{0})));
	CHECK_FALSE(set.note_leaving(process(1), at(milliseconds{1})));
	set.put(make_replica("r2"), at(minutes{6}));
	CHECK(set.note_leaving(process(1), at(minutes{6})));
}
