// SPDX-License-Identifier: MIT
// Rows with large values, such as the configuration of thousands of routes, between VMs.
#include "../support/control_world.hpp"
#include "../support/slow_link.hpp"
#include <gingerdyke/base/random.hpp>
#include <gingerdyke/control/value_compression.hpp>

using namespace gingerdyke;
using namespace gingerdyke::test;

namespace
{
/// Link of 10 Mbit/s.
constexpr double small_link_bytes_per_s = 1.25e6;

/// Content that does not compress.
std::string random_bytes(std::size_t size, std::uint64_t seed)
{
	auto draw = seeded_random{seed};
	std::string bytes;
	bytes.reserve(size);
	while (bytes.size() < size)
	{
		bytes.push_back(static_cast<char>(draw() & 0xffU));
	}
	return bytes;
}

std::string random_word(random_source& draw)
{
	constexpr std::size_t length = 8;
	std::string word;
	for (std::size_t i = 0; i < length; ++i)
	{
		word.push_back(static_cast<char>('a' + draw() % 26));
	}
	return word;
}

/// A configuration as operators write it.
std::string configuration(int version, int routes, int first_time_limit_ms = 1500)
{
	random_source draw = seeded_random{7};
	auto text = R"({"version":)" + std::to_string(version) + R"(,"routes":[)";
	for (int i = 0; i < routes; ++i)
	{
		const auto time_limit_ms = i == 0 ? first_time_limit_ms : 1500;
		text += R"({"name":")" + random_word(draw) + R"(","host":")" + random_word(draw) +
				R"(.example","path_prefix":"/)" + random_word(draw) +
				R"(/","kind":"safe","service":"records","timeout_ms":)" + std::to_string(time_limit_ms) +
				R"(,"target_latency_ms":150,"max_attempts":3,"priority":2,"public":false,"sticky":false},)";
	}
	return text + "{}]}";
}

row make_large_row(std::int64_t version, std::string value)
{
	return {"t", "large", std::move(value), row_version{version}, false};
}

/// A VM that answers from its copy through a link of limited bandwidth, and another one that reads through
/// it.
struct linked_pair
{
	explicit linked_pair(double bytes_per_s = small_link_bytes_per_s)
	{
		REQUIRE_FALSE(server.listen(server_address));
		link = std::make_unique<slow_link>(context, server_address, bytes_per_s);
		auto source = make_peer("source", "a", link->at().port);
		source.link_mbps = 10;
		sources.set_peers({source});
		for (auto* copy : {&table, &other_table})
		{
			copy->replace({make_row("a", 3)}, row_version{3});
			copy->confirm(proxy::steady_now(), registry_time{1}, proxy::steady_now());
		}
		own_copy.replace({make_row("a", 3)}, row_version{3});
		own_copy.confirm(proxy::steady_now(), registry_time{1}, proxy::steady_now());
	}

	~linked_pair() { server.stop(); }

	relay_server_hooks serving_both()
	{
		auto hooks = serving(table);
		hooks.find_table = [this](const std::string& name) -> const table_cache*
		{
			if (name == "other")
			{
				return &other_table;
			}
			return name == "t" ? &table : nullptr;
		};
		return hooks;
	}

	shared_store_hooks store_hooks()
	{
		auto hooks = quiet_hooks();
		hooks.find_copy = [this](const std::string& name) { return name == "t" ? &own_copy : nullptr; };
		return hooks;
	}

	/// Changes the large row; the other VM is told.
	void change(std::int64_t version, std::string value)
	{
		table.apply({make_large_row(version, std::move(value))}, row_version{version});
		table.confirm(proxy::steady_now(), registry_time{1}, proxy::steady_now());
		server.on_change("t");
	}

	/// Reads changes; the result comes to `got`.
	void follow(std::int64_t after)
	{
		got.reset();
		store.follow("t", row_version{after}, seconds{1},
			[this](store_result<row_batch> result) { got = std::move(result); });
	}

	/// Reads the changes after a version into the own copy.
	/// \returns The bytes that crossed the link.
	std::uint64_t follow_and_apply(std::int64_t after)
	{
		const auto passed_before = link->passed_bytes();
		follow(after);
		await_result();
		REQUIRE(*got);
		own_copy.apply((*got)->rows, (*got)->newest);
		return link->passed_bytes() - passed_before;
	}

	void await_result()
	{
		test::run_until(context, [this] { return got.has_value() || asks_registry(); });
	}

	[[nodiscard]] bool asks_registry() const
	{
		return !registry.follows.empty() || !registry.whole_reads.empty();
	}

	proxy::asio::io_context context{1};
	table_cache table{"t"};
	table_cache other_table{"other"};
	table_cache own_copy{"t"};
	routing::address server_address{"127.0.0.1", free_port(context)};
	relay_server server{context, serving_both()};
	std::unique_ptr<slow_link> link;
	source_selector sources{make_peer("self")};
	scripted_store registry;
	shared_store store{context, registry, sources, store_hooks()};
	std::optional<store_result<row_batch>> got;
};
} // namespace

TEST_CASE("a large row arrives through a link on which it takes longer than the time limit of a poll",
	"[relay][large_rows]")
{
	constexpr std::size_t value_bytes = 300'000;
	linked_pair pair{value_bytes};
	pair.change(4, random_bytes(value_bytes, 1));
	pair.follow(3);
	pair.await_result();
	CHECK_FALSE(pair.asks_registry());
	REQUIRE(pair.got);
	CHECK(keys_of(*pair.got) == std::vector<std::string>{"large"});
	CHECK((*pair.got)->rows.front().value == random_bytes(value_bytes, 1));
}

TEST_CASE("a transfer that makes no progress any more is given up soon", "[relay][large_rows]")
{
	linked_pair pair;
	pair.link->stall_after(100'000);
	pair.change(4, random_bytes(300'000, 1));
	const auto begin = proxy::steady_now();
	pair.follow(3);
	pair.await_result();
	CHECK(pair.asks_registry());
	CHECK(proxy::steady_now() - begin < seconds{2});
}

TEST_CASE("a changed time limit of 5,600 routes costs less than two kilobytes a VM", "[relay][large_rows]")
{
	linked_pair pair;
	pair.change(4, configuration(4, 5600));
	pair.follow_and_apply(3);
	pair.change(5, configuration(5, 5600, 1700));
	CHECK(pair.follow_and_apply(4) < 2000);
	CHECK(pair.own_copy.large_rows(std::nullopt).front()->value == configuration(5, 5600, 1700));
}

TEST_CASE("versions of a large row that follow each other fast are skipped", "[relay][large_rows]")
{
	linked_pair pair;
	pair.change(4, configuration(4, 4200));
	pair.follow_and_apply(3);
	for (int version = 5; version < 12; ++version)
	{
		pair.change(version, configuration(version, 4200, 1000 + version));
	}
	CHECK(pair.follow_and_apply(4) < 2000);
	CHECK(pair.own_copy.large_rows(std::nullopt).front()->value == configuration(11, 4200, 1011));
}

TEST_CASE(
	"a VM that has a large row reads a full table without receiving the row again", "[relay][large_rows]")
{
	linked_pair pair;
	pair.change(4, configuration(4, 5600));
	pair.follow_and_apply(3);
	const auto passed_before = pair.link->passed_bytes();
	pair.store.read_all("t", [&](store_result<row_batch> result) { pair.got = std::move(result); });
	pair.got.reset();
	pair.await_result();
	REQUIRE(pair.got);
	REQUIRE(*pair.got);
	pair.own_copy.replace((*pair.got)->rows, (*pair.got)->newest);
	CHECK(pair.link->passed_bytes() - passed_before < 2000);
	CHECK(pair.own_copy.large_rows(std::nullopt).front()->value == configuration(4, 5600));
}

TEST_CASE("news of one table does not wait behind a large row of another", "[relay][large_rows]")
{
	linked_pair pair;
	pair.change(4, random_bytes(2'000'000, 1));
	pair.follow(3);
	pair.context.run_for(milliseconds{200});
	std::optional<store_result<row_batch>> other;
	pair.store.follow("other", row_version{3}, milliseconds{100},
		[&](store_result<row_batch> result) { other = std::move(result); });
	test::run_until(pair.context, [&] { return other.has_value(); });
	CHECK(other->has_value());
	CHECK_FALSE(pair.got);
	pair.await_result();
	CHECK_FALSE(pair.asks_registry());
}

TEST_CASE("a caller of an older build receives large rows packed", "[relay][large_rows]")
{
	linked_pair pair;
	pair.change(4, configuration(4, 5600));
	const auto client = std::make_shared<relay_client>(
		pair.context, make_peer("server", "a", pair.link->at().port), [](const peer_summary&) {}, no_values);
	std::optional<store_result<row_batch>> got;
	client->call({0, "t", row_version{3}, seconds{1}, {}, {}}, seconds{1},
		[&](store_result<row_batch> result) { got = std::move(result); });
	test::run_until(pair.context, [&] { return got.has_value(); });
	REQUIRE(*got);
	CHECK((*got)->rows.front().value == configuration(4, 5600));
	CHECK(pair.link->passed_bytes() * 4 < configuration(4, 5600).size());
	client->abandon();
}

TEST_CASE("a value of another era is not taken as the base of a large row", "[relay][large_rows][restored]")
{
	// The registry returned from an older copy and gave version 4 out again.
	linked_pair pair;
	pair.change(4, configuration(4, 1400));
	pair.follow_and_apply(3);
	pair.table.replace({make_large_row(4, configuration(4, 2800))}, row_version{4}, registry_era{2});
	pair.table.confirm(proxy::steady_now(), registry_time{1}, proxy::steady_now());
	for (int read = 0; read < 2; ++read)
	{
		pair.got.reset();
		pair.store.read_all("t", [&](store_result<row_batch> result) { pair.got = std::move(result); });
		pair.await_result();
		REQUIRE(pair.got);
		REQUIRE(*pair.got);
		CHECK((*pair.got)->rows.front().value == configuration(4, 2800));
	}
}

TEST_CASE("a large row that cannot be decompressed is asked for whole", "[relay][large_rows]")
{
	// The own copy holds another value under the same version.
	linked_pair pair;
	pair.change(4, configuration(4, 1400));
	pair.own_copy.apply({make_large_row(4, configuration(4, 4200))}, row_version{4});
	pair.change(5, configuration(5, 2800));
	pair.follow(4);
	pair.await_result();
	pair.sources.record_usable(make_peer("source"));
	pair.registry.follows.clear();
	pair.follow(4);
	pair.await_result();
	REQUIRE(pair.got);
	REQUIRE(*pair.got);
	CHECK((*pair.got)->rows.front().value == configuration(5, 2800));
}

TEST_CASE("compressed values round-trip and malformed ones are rejected", "[packing][large_rows]")
{
	const auto base = configuration(4, 4200);
	const auto value = configuration(5, 5600);
	CHECK(decompress_value(compress_value(value, {}), {}) == value);
	CHECK(decompress_value(compress_value(value, base), base) == value);
	CHECK_FALSE(decompress_value(compress_value(value, base), configuration(4, 1400)));
	CHECK_FALSE(decompress_value(compress_value(value, base), {}));
	CHECK_FALSE(decompress_value("", {}));
	CHECK_FALSE(decompress_value("not compressed", {}));
	const auto whole = compress_value(value, {});
	CHECK_FALSE(decompress_value(whole.substr(0, whole.size() / 2), {}));
}
