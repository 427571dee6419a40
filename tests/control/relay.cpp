// SPDX-License-Identifier: MIT
// Relay protocol between VMs: frame encoding, polls and connections.
#include "../support/control_world.hpp"

using namespace gingerdyke;
using namespace gingerdyke::test;

TEST_CASE("frames round-trip and malformed frames are rejected", "[relay]")
{
	relay_response response;
	response.call_id = 9;
	row_batch batch;
	batch.rows = {make_row("k", 4, "v"), make_row("g", 5, "", true)};
	batch.newest = row_version{6};
	batch.at = registry_time{77};
	batch.age = milliseconds{3};
	response.result = batch;
	const auto frame = write_frame(response);
	REQUIRE(frame_length(frame) == frame.size() - frame_header_bytes);
	const auto read = read_response(std::string_view{frame}.substr(frame_header_bytes));
	REQUIRE(read);
	CHECK(read->call_id == 9);
	CHECK(keys_of(read->result) == std::vector<std::string>{"k", "-g"});
	CHECK(read->result->age == milliseconds{3});
	CHECK_FALSE(read_response("nonsense"));
	CHECK_FALSE(read_poll(std::string{"\x00\xff\x12", 3}));
	CHECK_FALSE(frame_length("\xff\xff\xff\xff"));
}

TEST_CASE("a held poll is answered by a change and fails when the server stops", "[relay]")
{
	relay_pair world;
	world.poll(row_version{3}, seconds{10});
	world.context.run_for(milliseconds{20});
	CHECK_FALSE(world.got);
	world.cache.apply({make_row("b", 4)}, row_version{4});
	world.server.on_change("t");
	world.await_answer();
	CHECK(keys_of(*world.got) == std::vector<std::string>{"b"});
	CHECK((*world.got)->rows.front().table == "t");

	world.poll(row_version{4}, seconds{10});
	world.context.restart();
	world.context.run_for(milliseconds{20});
	world.server.stop();
	world.await_answer();
	CHECK(world.got->error() == store_error::unreachable);
}

TEST_CASE("a poll is answered at once if the copy is too old for the caller", "[relay]")
{
	relay_pair world{seconds{5}};
	// If the server held the poll for its full wait, the test would time out.
	world.poll(row_version{3}, seconds{1000}, seconds{2});
	world.await_answer();
	REQUIRE(*world.got);
	CHECK((*world.got)->rows.empty());
	CHECK((*world.got)->age >= seconds{5});
}

TEST_CASE("a held poll is answered as soon as the copy is too old for the caller", "[relay]")
{
	relay_pair world{seconds{2}};
	const auto max_age = milliseconds{2300};
	world.poll(row_version{3}, seconds{1000}, max_age);
	world.await_answer();
	REQUIRE(*world.got);
	CHECK((*world.got)->age > max_age);
	// If held for the server's maximum wait of 10 s, the copy would be older.
	CHECK((*world.got)->age < seconds{10});
}

TEST_CASE("a call fails at the connect timeout, long before its response timeout", "[relay]")
{
	proxy::asio::io_context context{1};
	// The accept queue is full and never drained, so the next connection hangs as if the VM had lost power.
	proxy::tcp::acceptor full_backlog{context};
	full_backlog.open(proxy::tcp::v4());
	full_backlog.bind({proxy::asio::ip::address_v4::loopback(), 0});
	full_backlog.listen(0);
	const auto at = full_backlog.local_endpoint();
	std::vector<proxy::tcp::socket> fillers;
	constexpr int excess_connections = 4;
	for (int i = 0; i < excess_connections; ++i)
	{
		fillers.emplace_back(context);
		fillers.back().async_connect(at, [](const proxy::error_code&) {});
	}
	const auto client = std::make_shared<relay_client>(
		context, make_peer("other", "a", at.port()), [](const peer_summary&) {}, no_values);
	std::optional<store_result<row_batch>> got;
	client->call({0, "t", std::nullopt, std::chrono::hours{1}, {}, {}}, std::chrono::hours{1},
		[&](store_result<row_batch> result) { got = std::move(result); });
	test::run_until(context, [&] { return got.has_value(); });
	CHECK(got->error() == store_error::unreachable);
}

TEST_CASE("a poll from a version of another era is answered at once", "[control][restored]")
{
	for (const auto caller_era : {registry_era{1}, registry_era{3}})
	{
		relay_pair pair;
		pair.cache.replace({make_row("a", 3)}, row_version{3}, registry_era{2});
		std::optional<store_result<row_batch>> got;
		relay_poll poll{0, "t", row_version{3}, seconds{5}, std::nullopt, {}, caller_era};
		pair.client->call(
			poll, seconds{10}, [&](store_result<row_batch> result) { got = std::move(result); });
		run_until(pair.context, [&] { return got.has_value(); });
		REQUIRE_FALSE(*got);
		const bool is_caller_behind = caller_era == registry_era{1};
		CHECK(got->error() == (is_caller_behind ? store_error::history_gone : store_error::unavailable));
	}
}
