// SPDX-License-Identifier: MIT
// When a request is quarantined because replicas exited while running it, and when it is not.
#include <algorithm>
#include <catch2/catch.hpp>
#include <gingerdyke/base/random.hpp>
#include <gingerdyke/quarantine/suspect_list.hpp>
#include <optional>

using namespace gingerdyke;
using namespace gingerdyke::quarantine;
using std::chrono::minutes;
using std::chrono::seconds;

namespace
{
const content_key cause{"cause"};
const content_key bystander{"bystander"};
const instant start{seconds{1000}};

process_instance process(int number)
{
	return process_instance{number};
}

/// A suspect list, and the requests that the list reported as quarantined.
struct suspect_fixture
{
	void exit_process(int number, const std::vector<content_key>& requests,
		const std::vector<process_instance>& simultaneous = {})
	{
		list.presume(process(number), requests, start);
		list.confirm(process(number), simultaneous, start);
	}

	std::vector<suspicion> quarantined;
	suspect_list list{[this](const suspicion& suspect, double) { quarantined.push_back(suspect); }};
};

suspicion make_suspicion(const content_key& key, const std::set<process_instance>& exited)
{
	suspicion made;
	made.key = key;
	for (const auto instance : exited)
	{
		made.ended[instance] = {};
	}
	return made;
}

std::set<process_instance> exited_processes(const suspicion& from)
{
	std::set<process_instance> processes;
	for (const auto& [process, simultaneous] : from.ended)
	{
		processes.insert(process);
	}
	return processes;
}
} // namespace

TEST_CASE(
	"a request is quarantined after the third exit and not before, and released after a time", "[quarantine]")
{
	suspect_fixture fixture;
	fixture.exit_process(1, {cause, bystander});
	fixture.exit_process(2, {cause});
	CHECK(fixture.list.last_exit(cause));
	CHECK_FALSE(fixture.list.is_quarantined({cause, {}}, start));
	fixture.exit_process(3, {cause});
	CHECK(fixture.list.is_quarantined({cause, {}}, start));
	CHECK_FALSE(fixture.list.is_quarantined({bystander, {}}, start));
	REQUIRE(fixture.quarantined.size() == 1);
	CHECK(fixture.quarantined.front().key == cause);
	CHECK(fixture.list.is_quarantined({cause, {}}, start + minutes{9}));
	CHECK_FALSE(fixture.list.is_quarantined({cause, {}}, start + minutes{11}));
}

TEST_CASE("an exit counts once, however often it is reported", "[quarantine]")
{
	suspect_fixture fixture;
	for (int i = 0; i < 5; ++i)
	{
		fixture.exit_process(1, {cause});
		fixture.list.merge(make_suspicion(cause, {process(1), process(2)}), start, start);
	}
	CHECK_FALSE(fixture.list.is_quarantined({cause, {}}, start));
}

TEST_CASE("a presumed exit leaves undecided whether a request is quarantined", "[quarantine]")
{
	suspect_fixture fixture;
	fixture.exit_process(1, {cause});
	fixture.exit_process(2, {cause});
	CHECK_FALSE(fixture.list.is_undecided({cause, {}}, start));
	fixture.list.presume(process(3), {cause}, start);
	CHECK(fixture.list.is_undecided({cause, {}}, start));
	CHECK_FALSE(fixture.list.is_quarantined({cause, {}}, start));
	fixture.list.retract(process(3));
	CHECK_FALSE(fixture.list.is_undecided({cause, {}}, start));
	CHECK_FALSE(fixture.list.is_quarantined({cause, {}}, start));
	fixture.list.presume(process(5), {cause}, start);
	fixture.list.confirm(process(5), {}, start);
	CHECK_FALSE(fixture.list.is_undecided({cause, {}}, start));
	CHECK(fixture.list.is_quarantined({cause, {}}, start));
	fixture.quarantined.clear();
	CHECK(fixture.quarantined.empty());
	fixture.list.presume(process(4), {bystander}, start);
	fixture.list.retract(process(4));
	CHECK(fixture.list.size() == 1);
}

TEST_CASE("a request that was running during simultaneous unrelated exits is still served", "[quarantine]")
{
	suspect_fixture fixture;
	// The first exit is confirmed before the simultaneous exits are known.
	fixture.exit_process(1, {bystander});
	fixture.exit_process(2, {bystander}, {process(1), process(2), process(21), process(22)});
	// The request was also running during the next simultaneous exits, and is still served.
	for (int number = 3; number <= 5; ++number)
	{
		fixture.exit_process(
			number, {bystander}, {process(number), process(20 + number), process(30 + number)});
		CHECK_FALSE(fixture.list.is_quarantined({bystander, {}}, start));
	}
	// After an isolated exit the request is quarantined.
	fixture.exit_process(6, {bystander});
	CHECK(fixture.list.is_quarantined({bystander, {}}, start));
}

TEST_CASE(
	"a request that was running on all replicas that exit simultaneously is quarantined", "[quarantine]")
{
	suspect_fixture fixture;
	fixture.exit_process(1, {cause});
	fixture.exit_process(2, {cause});
	fixture.exit_process(3, {cause}, {process(1), process(2), process(3), process(4)});
	CHECK(fixture.list.is_quarantined({cause, {}}, start));
}

// Guards against counting exits as unrelated although one request caused them at several VMs: three VMs
// each send it to a different replica at the same moment. Each VM sees three exits but knows of the request
// at one replica only, so every exit had half weight and 6 exits instead of 3 were needed for quarantine.
TEST_CASE("simultaneous exits that one request caused at several VMs have full weight", "[quarantine]")
{
	const std::vector<process_instance> all{process(1), process(2), process(3)};
	suspect_fixture first_vm;
	suspect_fixture second_vm;
	suspect_fixture third_vm;
	first_vm.exit_process(1, {cause, bystander}, all);
	second_vm.exit_process(2, {cause}, all);
	third_vm.exit_process(3, {cause}, all);
	for (const auto* other_vm : {&second_vm, &third_vm})
	{
		for (const auto& reported : other_vm->list.recent_changes(1, start))
		{
			first_vm.list.merge(reported, start, start);
		}
	}
	CHECK(first_vm.list.is_quarantined({cause, {}}, start));
	CHECK_FALSE(first_vm.list.is_quarantined({bystander, {}}, start));
}

TEST_CASE("a popular request that is completed between exits is not quarantined", "[quarantine]")
{
	suspect_fixture fixture;
	for (int number = 1; number <= 8; ++number)
	{
		fixture.exit_process(number, {bystander, cause});
		fixture.list.add_completion(bystander, process(100 + number), start);
	}
	CHECK(fixture.list.is_quarantined({cause, {}}, start));
	CHECK_FALSE(fixture.list.is_quarantined({bystander, {}}, start));
}

TEST_CASE("merged reports do not depend on order and repetition", "[quarantine]")
{
	std::vector<suspicion> reports{make_suspicion(cause, {process(1)}), make_suspicion(cause, {process(2)}),
		make_suspicion(cause, {process(1), process(3)}), make_suspicion(bystander, {process(1)}),
		make_suspicion(bystander, {process(4)})};
	reports.push_back({cause, {{process(1), {process(2), process(21)}}, {process(2), {}}}, {process(9)}});
	reports.push_back({cause, {{process(1), {process(22)}}}, {}});
	reports.push_back({cause, {{process(5), {}}}, {}});
	for (std::uint64_t seed = 1; seed <= 200; ++seed)
	{
		seeded_random random{seed};
		suspect_fixture receiver;
		for (int i = 0; i < 40; ++i)
		{
			receiver.list.merge(reports[random_below(random, reports.size())], start, start);
		}
		for (const auto& report : reports)
		{
			receiver.list.merge(report, start, start);
		}
		const auto reported = receiver.list.recent_changes(1, start);
		REQUIRE(reported.size() == 2);
		const auto& first = reported.front();
		CHECK(first.key == cause);
		CHECK(exited_processes(first) == std::set{process(1), process(2), process(3), process(5)});
		CHECK(first.ended.at(process(1)) == std::set{process(2), process(21), process(22)});
		CHECK(first.ended.at(process(2)).empty());
		CHECK(first.survived == std::set{process(9)});
		CHECK(exited_processes(reported.back()) == std::set{process(1), process(4)});
	}
}

TEST_CASE("VMs that read the registry for others store all new evidence, others only several exits that they "
		  "saw themselves",
	"[quarantine]")
{
	suspect_fixture fixture;
	fixture.exit_process(1, {cause});
	CHECK(fixture.list.unstored(false, start).empty());
	CHECK(fixture.list.unstored(true, start).size() == 1);
	fixture.list.merge(make_suspicion(bystander, {process(2), process(3)}), start, start);
	CHECK(fixture.list.unstored(false, start).empty());
	fixture.exit_process(4, {cause});
	REQUIRE(fixture.list.unstored(false, start).size() == 1);
	const auto stored = fixture.list.unstored(false, start).front();
	CHECK(exited_processes(stored) == std::set{process(1), process(4)});
	fixture.list.merge_stored(stored, start, start);
	CHECK(fixture.list.unstored(false, start).empty());
	fixture.list.merge_stored(make_suspicion(cause, {process(7)}), start, start);
	CHECK(fixture.list.is_quarantined({cause, {}}, start));
	CHECK(fixture.list.unstored(false, start).empty());
}

TEST_CASE("a request that was running on one of several replicas that exited simultaneously is not stored",
	"[quarantine]")
{
	suspect_fixture fixture;
	fixture.exit_process(1, {bystander}, {process(1), process(2), process(3), process(4)});
	CHECK(fixture.list.unstored(true, start).empty());
	fixture.exit_process(5, {bystander});
	CHECK(fixture.list.unstored(true, start).size() == 1);
}

TEST_CASE("a request that was running on two of many replicas that exited simultaneously is not stored",
	"[quarantine]")
{
	// Two of at least five replicas; the test on two of four replicas is below.
	for (int exit_count = 5; exit_count <= 20; ++exit_count)
	{
		CAPTURE(exit_count);
		std::vector<process_instance> all;
		for (int number = 1; number <= exit_count; ++number)
		{
			all.push_back(process(number));
		}
		suspect_fixture fixture;
		fixture.exit_process(1, {bystander});
		fixture.exit_process(2, {bystander}, all);
		CHECK(fixture.list.unstored(true, start).empty());
		fixture.exit_process(30, {bystander});
		CHECK(fixture.list.unstored(true, start).size() == 1);
	}
}

TEST_CASE("a request that was running on two of four replicas is stored only by VMs that read the registry "
		  "for others",
	"[quarantine]")
{
	suspect_fixture fixture;
	fixture.exit_process(1, {bystander});
	fixture.exit_process(2, {bystander}, {process(1), process(2), process(3), process(4)});
	CHECK(fixture.list.unstored(false, start).empty());
	CHECK(fixture.list.unstored(true, start).size() == 1);
	CHECK_FALSE(fixture.list.is_near_quarantine(bystander, start));
}

// Guards against losing evidence that is split between failure domains: four VMs of two failure domains
// each send the request to a different replica at the same moment. Each domain knows of two exits, and of two
// more replicas that exited without running the request, as far as it knows. At half weight that was not
// enough to be stored, and four more replicas exited 1.2 s later.
TEST_CASE(
	"simultaneous exits of which two failure domains know half each are stored and merged", "[quarantine]")
{
	const std::vector<process_instance> all{process(1), process(2), process(3), process(4)};
	suspect_fixture first_domain;
	suspect_fixture second_domain;
	first_domain.exit_process(1, {cause, bystander}, all);
	first_domain.exit_process(2, {cause}, all);
	second_domain.exit_process(3, {cause}, all);
	second_domain.exit_process(4, {cause}, all);
	CHECK_FALSE(first_domain.list.is_quarantined({cause, {}}, start));
	for (const auto& stored : second_domain.list.unstored(true, start))
	{
		first_domain.list.merge_stored(stored, start, start);
	}
	CHECK(first_domain.list.is_quarantined({cause, {}}, start));
	CHECK_FALSE(first_domain.list.is_quarantined({bystander, {}}, start));
}

TEST_CASE("merged reports of more exits than are kept do not depend on order", "[quarantine]")
{
	std::vector<suspicion> reports;
	for (int number = 1; number <= 12; ++number)
	{
		reports.push_back(
			{cause, {{process(number), {process(number + 1), process(number + 2)}}}, {process(50 + number)}});
		reports.push_back({cause, {{process(number), {process(30), process(31), process(32)}}}, {}});
	}
	std::optional<suspicion> all;
	for (std::uint64_t seed = 1; seed <= 100; ++seed)
	{
		seeded_random random{seed};
		suspect_fixture receiver;
		for (auto remaining = reports; !remaining.empty();)
		{
			const auto drawn = random_below(random, remaining.size());
			receiver.list.merge(remaining[drawn], start, start);
			remaining.erase(remaining.begin() + static_cast<std::ptrdiff_t>(drawn));
		}
		const auto reported = receiver.list.recent_changes(1, start);
		REQUIRE(reported.size() == 1);
		CHECK(all.value_or(reported.front()) == reported.front());
		all = reported.front();
	}
	CHECK(all->ended.size() == suspect_tuning{}.max_processes);
	CHECK(all->ended.at(process(1)).size() == suspect_tuning{}.max_simultaneous);
}

TEST_CASE("two VMs that know more exits than are kept do not keep overwriting each other", "[quarantine]")
{
	suspect_fixture a;
	suspect_fixture b;
	for (int number = 1; number <= 10; ++number)
	{
		a.exit_process(number, {cause});
		b.exit_process(100 + number, {cause});
	}
	int writes = 0;
	for (int round = 0; round < 20; ++round)
	{
		for (auto* writer : {&a, &b})
		{
			for (const auto& evidence : writer->list.unstored(true, start))
			{
				++writes;
				a.list.merge_stored(evidence, start, start);
				b.list.merge_stored(evidence, start, start);
			}
		}
	}
	CHECK(writes <= 2);
}

TEST_CASE(
	"after a mass loss the requests with one exit that are kept and reported are limited", "[quarantine]")
{
	suspect_fixture fixture;
	constexpr int count = 3000;
	std::vector<content_key> requests;
	requests.reserve(count);
	for (int i = 0; i < count; ++i)
	{
		requests.emplace_back("r" + std::to_string(i));
	}
	fixture.exit_process(1, {cause});
	fixture.exit_process(2, {cause});
	fixture.exit_process(3, requests);
	CHECK(fixture.list.size() == suspect_tuning{}.max_suspects);
	CHECK(fixture.list.last_exit(cause));
	CHECK(fixture.list.recent_changes(1, start).size() == suspect_tuning{}.max_reported);
	CHECK(fixture.list.recent_changes(1, start).front().key == cause);
	CHECK(fixture.list.unstored(true, start).size() == 1);
	CHECK(fixture.list.recent_changes(1, start + seconds{5}).empty());
}

// Where only two replicas were left, sound requests ran beside the crashing ones at each exit and none was
// completed. Both kinds' parts had the same evidence, only requests with the parts of both were quarantined,
// and there are none.
TEST_CASE("a part whose evidence is that of a sound part is quarantined, and a canary tells them apart",
	"[quarantine]")
{
	const auto keys_with = [](const char* number, const char* part)
	{
		content_keys keys{content_key{number},
			{key_of_part(service_id{"s"}, "shared"), key_of_part(service_id{"s"}, part)}};
		keys.combination = key_of_combination(keys.parts);
		return keys;
	};
	const auto crashing = keys_with("1", "bad");
	const auto sound = keys_with("2", "fine");
	suspect_fixture fixture;
	for (int number = 1; number <= 4; ++number)
	{
		CHECK_FALSE(fixture.list.is_quarantined(keys_with("9", "bad"), start));
		auto running = crashing.all();
		const auto beside = sound.all();
		running.insert(running.end(), beside.begin(), beside.end());
		running.emplace_back("q" + std::to_string(number));
		std::erase(running, crashing.request);
		std::erase(running, sound.request);
		fixture.exit_process(number, running);
	}
	CHECK(fixture.list.verdict_on(keys_with("9", "bad"), start) == quarantine_verdict::ambiguous);
	CHECK(fixture.list.verdict_on(keys_with("9", "fine"), start) == quarantine_verdict::ambiguous);
	CHECK(fixture.list.verdict_on(keys_with("9", "other"), start) == quarantine_verdict::allowed);
	SECTION("a canary with the sound part is completed")
	{
		for (const auto& part : {sound.parts[0], sound.parts[1], sound.combination})
		{
			fixture.list.add_part_completion(part, {process(50), start}, start);
		}
	}
	SECTION("a canary with the crashing part ends its replica")
	{
		fixture.exit_process(5, {crashing.parts[0], crashing.parts[1], crashing.combination});
	}
	CHECK(fixture.list.is_quarantined(keys_with("9", "bad"), start));
	for (const auto& part : {sound.parts[0], sound.parts[1], sound.combination})
	{
		fixture.list.add_part_completion(part, {process(51), start}, start);
	}
	CHECK(fixture.list.verdict_on(keys_with("9", "bad"), start) == quarantine_verdict::quarantined);
	CHECK(fixture.list.verdict_on(keys_with("9", "fine"), start) == quarantine_verdict::allowed);
}

TEST_CASE("a part that was completed minutes ago needs more exits than one that is new", "[quarantine]")
{
	const auto known = key_of_part(service_id{"s"}, "known");
	const auto fresh = key_of_part(service_id{"s"}, "new");
	const auto later = start + minutes{2};
	suspect_fixture fixture;
	fixture.list.add_part_completion(known, {process(100), start}, start);
	for (int number = 1; number <= 4; ++number)
	{
		fixture.list.presume(process(number), {known}, later);
		fixture.list.confirm(process(number), {}, later);
	}
	CHECK_FALSE(fixture.list.is_quarantined({content_key{"1"}, {known}}, later));
	for (int number = 11; number <= 14; ++number)
	{
		fixture.list.presume(process(number), {known, fresh}, later);
		fixture.list.confirm(process(number), {}, later);
	}
	CHECK(fixture.list.is_quarantined({content_key{"1"}, {fresh}}, later));
	CHECK_FALSE(fixture.list.is_quarantined({content_key{"1"}, {known}}, later));
	for (int number = 21; number <= 24; ++number)
	{
		fixture.list.presume(process(number), {known}, later);
		fixture.list.confirm(process(number), {}, later);
	}
	// Other VMs may have seen the known part completed since.
	CHECK_FALSE(fixture.list.is_quarantined({content_key{"1"}, {known}}, later));
	CHECK(fixture.list.is_quarantined({content_key{"1"}, {known}}, later + seconds{2}));
}

TEST_CASE("completions from before the first exit do not clear a part", "[quarantine]")
{
	const auto part = key_of_part(service_id{"s"}, "part");
	suspect_fixture fixture;
	const auto exit_at = start + seconds{1};
	const auto judged_at = start + seconds{3};
	for (int number = 1; number <= 30; ++number)
	{
		fixture.list.add_part_completion(part, {process(100 + number), start}, start);
	}
	for (int number = 1; number <= 8; ++number)
	{
		fixture.list.presume(process(number), {part}, exit_at);
		fixture.list.confirm(process(number), {}, exit_at);
	}
	SECTION("nor do answers that began before and ended after it")
	{
		for (int number = 31; number <= 60; ++number)
		{
			fixture.list.add_part_completion(part, {process(100 + number), start}, exit_at + seconds{1});
		}
		CHECK(fixture.list.is_quarantined({content_key{"1"}, {part}}, judged_at));
	}
	SECTION("answers that began after it do")
	{
		for (int number = 31; number <= 34; ++number)
		{
			fixture.list.add_part_completion(
				part, {process(100 + number), exit_at + seconds{1}}, exit_at + seconds{1});
		}
		CHECK_FALSE(fixture.list.is_quarantined({content_key{"1"}, {part}}, judged_at));
	}
}

TEST_CASE(
	"parts that can't be told apart are held also where they are the only one of a prompt", "[quarantine]")
{
	const auto keys_with = [](const char* part)
	{
		content_keys keys{content_key{"1"}, {key_of_part(service_id{"s"}, part)}};
		keys.combination = key_of_combination(keys.parts);
		return keys;
	};
	suspect_fixture fixture;
	for (int number = 1; number <= 4; ++number)
	{
		std::vector<content_key> running;
		for (const auto* part : {"bad", "fine"})
		{
			const auto keys = keys_with(part);
			running.push_back(keys.parts.front());
			running.push_back(keys.combination);
		}
		fixture.exit_process(number, running);
	}
	CHECK(fixture.list.verdict_on(keys_with("bad"), start) == quarantine_verdict::ambiguous);
	CHECK(fixture.list.verdict_on(keys_with("fine"), start) == quarantine_verdict::ambiguous);
	CHECK(fixture.list.verdict_on(keys_with("other"), start) == quarantine_verdict::allowed);
}
