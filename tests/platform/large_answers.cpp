// SPDX-License-Identifier: MIT
// Large answers of the registry, slow ones and ones without end.
#include "../support/control_world.hpp"
#include "../support/endless_server.hpp"
#include "../support/proxy_world.hpp"
#include "../support/slow_link.hpp"
#include <gingerdyke/control/table_follower.hpp>
#include <registry_client.hpp>
#include <standin/registry.hpp>

using namespace gingerdyke;
using namespace gingerdyke::test;

namespace
{
/// A registry behind a link, and a client of it.
struct distant_registry
{
	explicit distant_registry(double bytes_per_s) : link(context, rows.at(), bytes_per_s) {}

	void read_all()
	{
		client.read_all("op", [this](store_result<row_batch> result) { got = std::move(result); });
		test::run_until(context, [this] { return got.has_value(); });
	}

	void follow(row_version after)
	{
		client.follow("op", after, milliseconds{100},
			[this](store_result<row_batch> result) { got = std::move(result); });
		test::run_until(context, [this] { return got.has_value(); });
	}

	proxy::asio::io_context context{1};
	platform::standin::registry rows{context};
	slow_link link;
	platform::registry_client client{context, link.at()};
	std::optional<store_result<row_batch>> got;
};
} // namespace

TEST_CASE("a table is read through a link on which it takes longer than the time limit of a call",
	"[platform][large_rows]")
{
	distant_registry registry{150'000};
	registry.rows.put("op", "config", std::string(200'000, 'x'));
	SECTION("whole")
	{
		registry.read_all();
	}
	SECTION("its changes")
	{
		registry.follow(row_version{0});
	}
	REQUIRE(*registry.got);
	CHECK((*registry.got)->rows.front().value.size() > 200'000);
}

// The next page was asked for from the key of a row that filled the page alone, again and again.
TEST_CASE("a table with a row larger than a page is read to its end", "[platform][large_rows]")
{
	const auto size = GENERATE(500'000, 999'990, 1'000'000, 2'000'000, 4'000'000);
	const auto position = GENERATE(0, 1, 2);
	CAPTURE(size, position);
	distant_registry registry{1e9};
	for (int i = 0; i < 3; ++i)
	{
		const auto key = std::string(1, static_cast<char>('a' + i));
		registry.rows.put("op", key, std::string(static_cast<std::size_t>(i == position ? size : 10), 'x'));
	}
	registry.read_all();
	REQUIRE(*registry.got);
	const auto& rows = (*registry.got)->rows;
	REQUIRE(rows.size() == 3);
	CHECK(rows[static_cast<std::size_t>(position)].value.size() >= static_cast<std::size_t>(size));
	CHECK(rows.back().key == "c");
}

TEST_CASE("a table of several rows larger than a page is read to its end", "[platform][large_rows]")
{
	distant_registry registry{1e9};
	for (int i = 0; i < 4; ++i)
	{
		registry.rows.put("op", std::string(1, static_cast<char>('a' + i)), std::string(1'200'000, 'x'));
	}
	registry.read_all();
	REQUIRE(*registry.got);
	CHECK((*registry.got)->rows.size() == 4);
}

TEST_CASE("pages of a table that bring no further row are not read for ever", "[platform][large_rows]")
{
	proxy::asio::io_context context{1};
	const json page{{"rows", json::array({{{"table", "op"}, {"key", "a"}, {"ver", 3}, {"value", "eA=="}}})},
		{"ver", 3}, {"now_ms", 1.0}, {"truncated", true}};
	scripted_replica server{
		context, [&](const std::string&) { return scripted_answer{answer_with("200 OK", page.dump())}; }};
	platform::registry_client client{context, server.at()};
	std::optional<store_result<row_batch>> got;
	client.read_all("op", [&](store_result<row_batch> result) { got = std::move(result); });
	test::run_until(context, [&] { return got.has_value(); });
	REQUIRE_FALSE(*got);
	CHECK(got->error() == store_error::bad_response);
	CHECK(server.requests().size() <= 3);
}

TEST_CASE(
	"an answer of the registry that makes no progress any more is given up soon", "[platform][large_rows]")
{
	distant_registry registry{150'000};
	registry.rows.put("op", "config", std::string(200'000, 'x'));
	registry.link.stall_after(50'000);
	const auto begin = proxy::steady_now();
	registry.read_all();
	REQUIRE_FALSE(*registry.got);
	CHECK(registry.got->error() == store_error::unreachable);
	CHECK(proxy::steady_now() - begin < seconds{3});
}

TEST_CASE(
	"an answer of the registry on its way is not abandoned when another call fails", "[platform][large_rows]")
{
	distant_registry registry{150'000};
	registry.rows.put("op", "config", std::string(100'000, 'x'));
	registry.client.read_all("op", [&](store_result<row_batch> result) { registry.got = std::move(result); });
	registry.context.run_for(milliseconds{300});
	registry.client.abandon();
	test::run_until(registry.context, [&] { return registry.got.has_value(); });
	CHECK(registry.got->has_value());
}

TEST_CASE("changes larger than a VM accepts are told apart from a lost registry", "[platform][large_rows]")
{
	proxy::asio::io_context context{1};
	endless_server server{
		context, "HTTP/1.1 200 OK\r\nContent-Length: 6000000\r\n\r\n", std::string(0x1000, 'x')};
	platform::registry_client client{context, server.at()};
	std::optional<store_result<row_batch>> got;
	client.follow("op", row_version{3}, milliseconds{100},
		[&](store_result<row_batch> result) { got = std::move(result); });
	test::run_until(context, [&] { return got.has_value(); });
	REQUIRE_FALSE(*got);
	CHECK(got->error() == store_error::too_large);
}

TEST_CASE("a VM that cannot read the changes of a large row reads the full table", "[control][large_rows]")
{
	proxy::asio::io_context context{1};
	scripted_store store;
	table_follower follower{context, store, "t", seeded_random{1},
		{[](const auto&) {}, [](const auto&) {}, [](instant, registry_time) {}, [](store_error) {}, {}}};
	follower.start();
	store.answer_whole(row_version{3});
	REQUIRE(store.follows.size() == 1);
	SECTION("because they are too large")
	{
		store.follows.front().done(tl::make_unexpected(store_error::too_large));
	}
	SECTION("because several versions came at once")
	{
		row_batch batch;
		batch.rows = {make_row("large", 4, std::string(20'000, 'x').c_str()),
			make_row("large", 5, std::string(20'000, 'y').c_str())};
		batch.newest = row_version{5};
		store.follows.front().done(batch);
	}
	test::run_until(context, [&] { return !store.whole_reads.empty(); });
	CHECK(store.follows.size() == 1);
	follower.stop();
}

TEST_CASE("an answer of the registry without end is given up", "[platform][endless]")
{
	proxy::asio::io_context context{1};
	const auto start_of_answer = GENERATE(as<std::string>{}, "", "HTTP/1.1 200 OK\r\n",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "HTTP/1.1 200 OK\r\n\r\n");
	const bool has_head = start_of_answer.ends_with("\r\n\r\n");
	const bool is_chunked = start_of_answer.find("chunked") != std::string::npos;
	const auto repeated = is_chunked ? "1000\r\n" + std::string(0x1000, 'x') + "\r\n"
						  : has_head ? std::string(0x1000, 'x')
									 : "Name: " + std::string(1000, 'x') + "\r\n";
	endless_server server{
		context, start_of_answer.empty() ? std::string(1000, '\0') : start_of_answer, repeated};
	platform::registry_client client{context, server.at()};
	std::optional<store_result<row_batch>> got;
	client.read_all("op", [&](store_result<row_batch> result) { got = std::move(result); });
	test::run_until(context, [&] { return got.has_value() && server.closed() == 1; });
	CHECK_FALSE(got->has_value());
}

TEST_CASE("an answer of another VM without end is given up", "[relay][endless]")
{
	proxy::asio::io_context context{1};
	// A length of four gigabytes, or a frame of the largest accepted length that is no message.
	const auto length = GENERATE(std::string{"\xff\xff\xff\xff"}, std::string{"\x00\x7f\xff\xff", 4});
	endless_server server{context, length, std::string(0x1000, '\xff')};
	const auto client = std::make_shared<relay_client>(
		context, make_peer("other", "a", server.at().port), [](const peer_summary&) {}, no_values);
	std::optional<store_result<row_batch>> got;
	client->call({0, "t", row_version{3}, seconds{1}, {}, {}}, seconds{1},
		[&](store_result<row_batch> result) { got = std::move(result); });
	test::run_until(context, [&] { return got.has_value() && server.closed() == 1; });
	CHECK_FALSE(got->has_value());
}
