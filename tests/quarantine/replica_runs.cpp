// SPDX-License-Identifier: MIT
// Which requests stood on a replica when it ended, and which life of it that was.
#include <catch2/catch.hpp>
#include <gingerdyke/quarantine/replica_runs.hpp>

using namespace gingerdyke;
using namespace gingerdyke::quarantine;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace
{
const request_key first{"first"};
const request_key second{"second"};
const instant start{seconds{1000}};

routing::replica replica(std::int64_t incarnation = 0)
{
	routing::replica made;
	made.id = replica_id{"r"};
	made.incarnation = routing::replica_incarnation{incarnation};
	return made;
}
} // namespace

TEST_CASE("a run that was given up a moment ago still stands on its replica, one that was answered does not",
	"[quarantine]")
{
	replica_runs runs;
	const auto given_up = runs.begin(replica(), first, start);
	const auto answered = runs.begin(replica(), second, start);
	runs.end(replica(), given_up, run_end::given_up, start);
	runs.end(replica(), answered, run_end::survived, start);
	CHECK(runs.running_at(replica(), start + milliseconds{900}) == std::vector{first});
	CHECK(runs.running_at(replica(), start + milliseconds{1100}).empty());
}

TEST_CASE("two attempts of one request on a replica are named once", "[quarantine]")
{
	replica_runs runs;
	runs.end(replica(), runs.begin(replica(), first, start), run_end::given_up, start);
	static_cast<void>(runs.begin(replica(), first, start));
	CHECK(runs.running_at(replica(), start) == std::vector{first});
}

TEST_CASE(
	"an end is told once, and a replica that takes a connection begun later has a new life", "[quarantine]")
{
	replica_runs runs;
	static_cast<void>(runs.begin(replica(), first, start));
	const auto life = runs.life_of(replica());
	CHECK(runs.note_ended(replica(), start));
	CHECK(runs.life_of(replica()) == life);
	CHECK_FALSE(runs.note_ended(replica(), start));
	// The ended process may have taken it.
	runs.note_connected(replica(), start - milliseconds{1});
	CHECK(runs.has_ended(replica()));
	runs.note_connected(replica(), start + milliseconds{1});
	CHECK_FALSE(runs.has_ended(replica()));
	CHECK(runs.life_of(replica()) != life);
	CHECK(runs.note_ended(replica(), start + milliseconds{2}));
}

TEST_CASE("what ran when a process ended does not stand beside the end of the next one", "[quarantine]")
{
	replica_runs runs;
	const auto before = runs.begin(replica(), first, start);
	CHECK(runs.note_ended(replica(), start));
	runs.end(replica(), before, run_end::given_up, start);
	static_cast<void>(runs.begin(replica(), second, start + milliseconds{1}));
	runs.note_connected(replica(), start + milliseconds{1});
	CHECK(runs.running_at(replica(), start + milliseconds{2}) == std::vector{second});
}

TEST_CASE("a run that the next process took under the old entry counts until it is over", "[quarantine]")
{
	replica_runs runs;
	const auto run = runs.begin(replica(1), first, start);
	runs.release(replica_id{"r"}, start);
	CHECK(runs.running_at(replica(1), start) == std::vector{first});
	CHECK(runs.note_ended(replica(1), start));
	runs.end(replica(1), run, run_end::given_up, start);
	runs.release(replica_id{"other"}, start);
	CHECK_FALSE(runs.has_ended(replica(1)));
	CHECK_FALSE(runs.note_ended(replica(1), start));
}

TEST_CASE("runs of a process that started again under its id are another's", "[quarantine]")
{
	replica_runs runs;
	const auto old_run = runs.begin(replica(1), first, start);
	const auto new_run = runs.begin(replica(2), second, start);
	CHECK(runs.life_of(replica(1)) != runs.life_of(replica(2)));
	runs.end(replica(1), old_run, run_end::given_up, start);
	CHECK(runs.running_at(replica(2), start) == std::vector{second});
	CHECK(runs.running_at(replica(1), start) == std::vector{first});
	CHECK(runs.note_ended(replica(1), start));
	CHECK_FALSE(runs.has_ended(replica(2)));
	CHECK(runs.running_at(replica(2), start) == std::vector{second});
	runs.end(replica(2), new_run, run_end::over, start);
	CHECK(runs.running_at(replica(2), start).empty());
}

TEST_CASE("a request's key depends on each part of its content, and on where one part ends", "[quarantine]")
{
	const request_content content{"POST", "h", "/a", "w", "body"};
	CHECK(key_of(content) == key_of({"POST", "h", "/a", "w", "body"}));
	CHECK(key_of(content).str().size() == 32);
	CHECK(key_of(content) != key_of({"PUT", "h", "/a", "w", "body"}));
	CHECK(key_of(content) != key_of({"POST", "g", "/a", "w", "body"}));
	CHECK(key_of(content) != key_of({"POST", "h", "/a?", "w", "body"}));
	CHECK(key_of(content) != key_of({"POST", "h", "/a", "v", "body"}));
	CHECK(key_of(content) != key_of({"POST", "h", "/a", "w", "bodx"}));
	CHECK(key_of({"POST", "h", "/ab", "", "c"}) != key_of({"POST", "h", "/a", "b", "c"}));
}
