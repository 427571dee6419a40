// SPDX-License-Identifier: MIT
// Eras of answers, from sources that tell them and from those that do not.
#include "../support/control_world.hpp"
#include <gingerdyke/control/era_tracker.hpp>
#include <gingerdyke/control/table_follower.hpp>

using namespace gingerdyke;
using namespace gingerdyke::test;

TEST_CASE("answers without an era are used until the era has changed", "[control][restored]")
{
	era_tracker eras;
	CHECK_FALSE(eras.is_earlier(std::nullopt));
	CHECK(eras.is_later(registry_era{4}));
	eras.record(registry_era{4});
	CHECK_FALSE(eras.is_earlier(std::nullopt));
	CHECK_FALSE(eras.is_later(std::nullopt));
	CHECK_FALSE(eras.is_later(registry_era{4}));
	eras.record(registry_era{5});
	CHECK(eras.is_earlier(std::nullopt));
	CHECK(eras.is_earlier(registry_era{4}));
	CHECK_FALSE(eras.is_earlier(registry_era{5}));
}

TEST_CASE(
	"a copy without an era is not read after the registry returned from an older copy", "[control][restored]")
{
	proxy::asio::io_context context{1};
	const auto copy = copy_of_one_row();
	relay_server server{context, serving(copy)};
	auto reader = make_peer("older build", "a", free_port(context));
	reader.link_mbps = 10;
	REQUIRE_FALSE(server.listen(reader.address));
	source_selector sources{make_peer("vm2")};
	sources.set_peers({reader});
	scripted_store registry;
	shared_store store{context, registry, sources, quiet_hooks()};
	sources.record_unusable(reader, proxy::steady_now());
	for (const auto era : {registry_era{1}, registry_era{2}})
	{
		store.read_all("t", [](const store_result<row_batch>&) {});
		REQUIRE(registry.whole_reads.size() == 1);
		registry.answer_whole(row_version{9}, era);
	}
	sources.record_usable(reader);
	std::optional<store_result<row_batch>> got;
	store.read_all("t", [&](store_result<row_batch> result) { got = std::move(result); });
	test::run_until(context, [&] { return got.has_value() || !registry.whole_reads.empty(); });
	CHECK_FALSE(got);
	CHECK(registry.whole_reads.size() == 1);
	server.stop();
}

TEST_CASE(
	"versions from a source without an era do not hold back a table whose era is told", "[control][restored]")
{
	proxy::asio::io_context context{1};
	scripted_store registry;
	std::vector<std::size_t> tables;
	table_follower follower{context, registry, "t", seeded_random{1},
		{[&](const std::vector<row>& rows) { tables.push_back(rows.size()); }, [](const std::vector<row>&) {},
			[](instant, registry_time) {}, [](store_error) {}, {}}};
	follower.start();
	registry.answer_whole(row_version{9});
	REQUIRE(registry.follows.size() == 1);
	row_batch changes;
	changes.newest = row_version{9};
	changes.era = registry_era{3};
	registry.follows.front().done(changes);
	REQUIRE(registry.whole_reads.size() == 1);
	registry.answer_whole(row_version{4}, registry_era{3});
	CHECK(tables.size() == 2);
	CHECK(follower.cache().era() == registry_era{3});
	follower.stop();
}
