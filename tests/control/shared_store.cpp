// SPDX-License-Identifier: MIT
// Reads of the registry through other VMs.
#include "../support/control_world.hpp"

using namespace gingerdyke;
using namespace gingerdyke::test;

namespace
{
/// A VM of rank 2 whose two preferred sources have stale copies of the table "t".
struct stale_peers_world
{
	explicit stale_peers_world(shared_store_tuning tuning)
		: store(context, registry, sources, hooks(), std::move(tuning))
	{
		std::vector<peer> peers;
		for (auto* server : {&first_server, &second_server})
		{
			auto source_peer =
				make_peer(("peer" + std::to_string(peers.size())).c_str(), "a", free_port(context));
			source_peer.link_mbps = 10;
			REQUIRE_FALSE(server->listen(source_peer.address));
			peers.push_back(source_peer);
		}
		sources.set_peers(std::move(peers));
	}

	~stale_peers_world()
	{
		first_server.stop();
		second_server.stop();
	}

	/// Reads a table from the registry, so that the VM has a copy of it.
	void read_from_registry(const std::string& table)
	{
		back_off_sources();
		store.read_all(table, [](const store_result<row_batch>&) {});
		REQUIRE(registry.whole_reads.size() == 1);
		registry.answer_whole(row_version{9});
	}

	/// Backs off the other VMs for a moment, so that the registry is asked.
	void back_off_sources()
	{
		for (const auto* name : {"peer0", "peer1"})
		{
			sources.record_registry_loss(make_peer(name), proxy::steady_now());
		}
	}

	void follow(const std::string& table, duration wait)
	{
		store.follow(table, row_version{9}, wait, [](const store_result<row_batch>&) {});
	}

	shared_store_hooks hooks()
	{
		auto store_hooks = quiet_hooks();
		store_hooks.reader_role_changed = [this](bool reads_registry)
		{ role_changes.push_back(reads_registry); };
		store_hooks.copy_confirmed = [this](const std::string& table, instant)
		{ confirmed_tables.push_back(table); };
		return store_hooks;
	}

	proxy::asio::io_context context{1};
	table_cache copy = copy_of_one_row(std::chrono::hours{1});
	relay_server first_server{context, serving(copy)};
	relay_server second_server{context, serving(copy)};
	source_selector sources{make_peer("vm3")};
	scripted_store registry;
	std::vector<bool> role_changes;
	std::vector<std::string> confirmed_tables;
	shared_store store;
};

/// Timeouts so long that no test can pass because one expires.
shared_store_tuning untimed_tuning()
{
	shared_store_tuning tuning;
	tuning.liveness_table = "t";
	tuning.max_own_copy_age = std::chrono::hours{1};
	tuning.takeover_wait = std::chrono::hours{1};
	return tuning;
}
} // namespace

TEST_CASE("abandoning registry calls does not abandon calls to other VMs", "[relay]")
{
	proxy::asio::io_context context{1};
	auto cache = copy_of_one_row();
	relay_server server{context, serving(cache)};
	auto reader = make_peer("reader", "a", free_port(context));
	reader.link_mbps = 10;
	REQUIRE_FALSE(server.listen(reader.address));
	source_selector sources{make_peer("vm2")};
	sources.set_peers({reader});
	scripted_store registry;
	shared_store store{context, registry, sources, quiet_hooks()};
	std::optional<store_result<row_batch>> got;
	store.follow(
		"t", row_version{3}, seconds{100}, [&](store_result<row_batch> result) { got = std::move(result); });
	context.run_for(milliseconds{20});
	store.abandon();
	CHECK(registry.abandoned == 1);
	context.restart();
	context.run_for(milliseconds{20});
	CHECK_FALSE(got);
	cache.apply({make_row("b", 4)}, row_version{4});
	server.on_change("t");
	test::run_until(context, [&] { return got.has_value(); });
	CHECK(keys_of(*got) == std::vector<std::string>{"b"});
	server.stop();
}

TEST_CASE("a VM that has read a table rejects a stale full copy of it", "[relay]")
{
	// Guards against accepting a stale full table. After an outage in which the registry had discarded its
	// history, a VM read the full table again from other VMs whose copies were 6 to 11 s old, for 6 s, and
	// refused requests for a route that a configuration acknowledged 5 s before had added; 3 s are allowed.
	// The age of a copy was checked for changes only, not for full tables.
	proxy::asio::io_context context{1};
	const auto old_copy = copy_of_one_row(seconds{8});
	relay_server server{context, serving(old_copy)};
	auto reader = make_peer("reader", "a", free_port(context));
	reader.link_mbps = 10;
	REQUIRE_FALSE(server.listen(reader.address));
	source_selector sources{make_peer("vm2")};
	sources.set_peers({reader});
	scripted_store registry;
	shared_store store{context, registry, sources, quiet_hooks()};

	// The VM first reads the table from the registry.
	sources.record_unusable(reader, proxy::steady_now());
	store.read_all("t", [](const store_result<row_batch>&) {});
	REQUIRE(registry.whole_reads.size() == 1);
	registry.answer_whole(row_version{9});
	sources.record_usable(reader);

	std::optional<store_result<row_batch>> got;
	store.read_all("t", [&](store_result<row_batch> result) { got = std::move(result); });
	test::run_until(context, [&] { return got.has_value() || !registry.whole_reads.empty(); });
	CHECK_FALSE(got);
	CHECK(registry.whole_reads.size() == 1);
	server.stop();
}

TEST_CASE("a VM whose own copy is overdue asks the registry instead of other VMs", "[relay]")
{
	auto tuning = untimed_tuning();
	tuning.max_own_copy_age = duration{0};
	stale_peers_world world{tuning};
	world.read_from_registry("t");
	world.follow("t", seconds{100});
	REQUIRE(world.registry.follows.size() == 1);
	// The registry must answer at once, as a held response would come too late.
	CHECK(world.registry.follows.front().wait == duration{0});
}

TEST_CASE("a VM whose own copy is overdue respects the registry's back-off", "[relay]")
{
	auto tuning = untimed_tuning();
	tuning.max_own_copy_age = duration{0};
	stale_peers_world world{tuning};
	world.read_from_registry("t");
	world.sources.record_unusable(std::nullopt, proxy::steady_now());
	world.follow("t", seconds{100});
	CHECK(world.registry.follows.empty());
}

TEST_CASE("no wait lasts beyond the time at which the own copy becomes overdue", "[relay]")
{
	// Guards against waits that outlast the freshness of the own copy. Two sources that had lost the registry
	// each held a poll for 0.9 s and returned a copy that had become stale meanwhile, then the VM waited 0.55
	// s for another reader; the registry was asked 2.7 s after the VM's copy of the replicas' table had last
	// been the newest. A request reached a replica 3.3 s after the replica had announced that it is draining;
	// 3 s are allowed. The age of the own copy was checked between waits, but did not bound their lengths.
	auto tuning = untimed_tuning();
	tuning.max_own_copy_age = milliseconds{600};
	tuning.max_follow_sources = 1;

	stale_peers_world world{tuning};
	proxy::tcp::acceptor silent{world.context, {proxy::asio::ip::address_v4::loopback(), 0}};
	world.read_from_registry("t");
	SECTION("a source that does not respond")
	{
		auto source = make_peer("silent", "a", silent.local_endpoint().port());
		source.link_mbps = 10;
		world.sources.set_peers({source});
	}
	SECTION("a takeover by another reader") {}
	test::run_until(
		world.context, [&] { return world.sources.choose("t", proxy::steady_now()).has_value(); });
	world.follow("t", std::chrono::hours{1});
	test::run_until(world.context, [&] { return !world.registry.follows.empty(); });
	CHECK(world.registry.follows.front().wait == duration{0});
}

TEST_CASE("while the registry is lost only calls for the liveness table retry it", "[relay]")
{
	auto tuning = untimed_tuning();
	tuning.max_own_copy_age = duration{0};
	stale_peers_world world{tuning};
	world.read_from_registry("t");
	world.read_from_registry("replicas");
	world.back_off_sources();
	world.follow("replicas", seconds{100});
	CHECK(world.registry.follows.empty());
	world.follow("t", seconds{100});
	REQUIRE(world.registry.follows.size() == 1);
	CHECK(world.registry.follows.front().table == "t");
}

TEST_CASE("during the registry's back-off another VM has the full timeout to return a full table", "[relay]")
{
	auto tuning = untimed_tuning();
	tuning.max_own_copy_age = duration{0};
	tuning.max_peer_copy_age = std::chrono::hours{2};
	tuning.full_read_timeout = seconds{15};
	tuning.max_full_read_sources = 1;
	stale_peers_world world{tuning};
	world.read_from_registry("t");
	test::run_until(
		world.context, [&] { return world.sources.choose("t", proxy::steady_now()).has_value(); });
	world.sources.record_unusable(std::nullopt, proxy::steady_now());
	std::optional<store_result<row_batch>> got;
	world.store.read_all("t", [&](store_result<row_batch> result) { got = std::move(result); });
	test::run_until(world.context, [&] { return got.has_value() || !world.registry.whole_reads.empty(); });
	CHECK(world.registry.whole_reads.empty());
	CHECK(got.has_value());
}

TEST_CASE("a VM that falls back to the registry after its sources failed reports that it reads it", "[relay]")
{
	auto tuning = untimed_tuning();
	tuning.max_follow_sources = 1;
	tuning.takeover_wait = duration{0};
	stale_peers_world world{tuning};
	world.read_from_registry("t");
	test::run_until(
		world.context, [&] { return world.sources.choose("t", proxy::steady_now()).has_value(); });
	world.follow("t", seconds{100});
	test::run_until(world.context, [&] { return !world.registry.follows.empty(); });
	CHECK(world.store.reads_registry("t"));
	CHECK(world.role_changes.back());
}

TEST_CASE("a response for the liveness table confirms tables whose calls wait at the registry", "[relay]")
{
	stale_peers_world world{untimed_tuning()};
	world.read_from_registry("replicas");
	world.read_from_registry("never followed");
	world.read_from_registry("t");
	world.follow("replicas", seconds{100});
	world.follow("t", seconds{100});
	REQUIRE(world.registry.follows.size() == 2);
	row_batch none;
	none.newest = row_version{9};
	world.registry.follows.back().done(none);
	CHECK(world.confirmed_tables == std::vector<std::string>{"replicas"});
}
