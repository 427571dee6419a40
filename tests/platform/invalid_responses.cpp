// SPDX-License-Identifier: MIT
// Invalid, cut and interim responses of the registry. Guards against a response that is taken for the
// one to the call after it, as the connection was used again behind a status that is not final.
#include "../support/endless_server.hpp"
#include "../support/proxy_world.hpp"
#include "../support/upload_server.hpp"
#include <gingerdyke/base/json_source.hpp>
#include <registry_client.hpp>

using namespace gingerdyke;
using namespace gingerdyke::test;
using control::row_batch;
using control::store_error;
using control::store_result;
using std::chrono::milliseconds;

namespace
{
std::string page_with(const std::string& key)
{
	const json row{{"table", "op"}, {"key", key}, {"ver", 3}, {"value", "eA=="}};
	return json{{"rows", json::array({row})}, {"ver", 3}, {"now_ms", 1.0}, {"truncated", false}}.dump();
}

/// A registry that answers what a test says, and a client of it.
struct scripted_registry
{
	explicit scripted_registry(scripted_replica::script script) : server(context, std::move(script)) {}

	[[nodiscard]] store_result<row_batch> read()
	{
		std::optional<store_result<row_batch>> got;
		client.read_all("op", [&](store_result<row_batch> result) { got = std::move(result); });
		test::run_until(context, [&] { return got.has_value(); });
		return *got;
	}

	proxy::asio::io_context context{1};
	scripted_replica server;
	platform::registry_client client{context, server.at()};
};

/// A registry whose first response has a status and no body.
scripted_replica::script first_answer(const std::string& status)
{
	return [status, is_first = true](const std::string&) mutable
	{
		const auto bare = "HTTP/1.1 " + status + "\r\nContent-Length: 0\r\n\r\n";
		return scripted_answer{
			std::exchange(is_first, false) ? bare : answer_with("200 OK", page_with("new"))};
	};
}
} // namespace

TEST_CASE("what follows an invalid status is not read as the next response", "[platform][status]")
{
	const auto status =
		GENERATE(as<std::string>{}, "000 ", "099 Broken", "101 Switching Protocols", "600 Broken");
	CAPTURE(status);
	scripted_registry registry{first_answer(status)};
	const auto first = registry.read();
	REQUIRE_FALSE(first);
	CHECK(first.error() == store_error::bad_response);
	registry.server.send_more(answer_with("200 OK", page_with("old")));
	const auto second = registry.read();
	REQUIRE(second);
	CHECK(second->rows.front().key == "new");
	CHECK(registry.server.accepted() == 2);
}

TEST_CASE("interim responses of the registry are skipped", "[platform][status]")
{
	const bool is_one_segment = GENERATE(true, false);
	const std::string interim = "HTTP/1.1 103 Early Hints\r\n\r\n";
	const auto last = answer_with("200 OK", page_with("new"));
	scripted_registry registry{[&](const std::string&)
		{ return scripted_answer{is_one_segment ? interim + interim + last : interim}; }};
	std::optional<store_result<row_batch>> got;
	registry.client.read_all("op", [&](store_result<row_batch> result) { got = std::move(result); });
	test::run_until(registry.context, [&] { return !registry.server.requests().empty(); });
	if (!is_one_segment)
	{
		registry.server.send_more(last);
	}
	test::run_until(registry.context, [&] { return got.has_value(); });
	REQUIRE(*got);
	CHECK((*got)->rows.front().key == "new");
}

TEST_CASE("interim responses of the registry without end fail the call", "[platform][endless]")
{
	constexpr std::uint64_t max_read_bytes = 8U << 20U;
	proxy::asio::io_context context{1};
	const std::string interim = "HTTP/1.1 103 Early Hints\r\n\r\n";
	endless_server server{context, interim, interim};
	platform::registry_client client{context, server.at()};
	std::optional<store_result<row_batch>> got;
	client.read_all("op", [&](store_result<row_batch> result) { got = std::move(result); });
	test::run_until(context, [&] { return got.has_value(); });
	REQUIRE_FALSE(*got);
	CHECK(got->error() == store_error::bad_response);
	CHECK(server.sent_bytes() < max_read_bytes);
}

// Guards against a page that nobody asked for, which comes behind a complete one and is read as newer rows.
TEST_CASE("bytes on an idle connection are not read as the next response", "[platform]")
{
	scripted_registry registry{[count = 0](const std::string&) mutable
		{ return scripted_answer{answer_with("200 OK", page_with(++count == 1 ? "first" : "second"))}; }};
	REQUIRE(registry.read());
	registry.server.send_more(answer_with("200 OK", page_with("unrequested")));
	const auto second = registry.read();
	REQUIRE(second);
	CHECK(second->rows.front().key == "second");
	CHECK(registry.server.accepted() == 2);
}

TEST_CASE("an idle connection to the registry is used again", "[platform]")
{
	scripted_registry registry{
		[](const std::string&) { return scripted_answer{answer_with("200 OK", page_with("a"))}; }};
	REQUIRE(registry.read());
	REQUIRE(registry.read());
	CHECK(registry.server.accepted() == 1);
}

TEST_CASE("a response of the registry in an unknown transfer coding is not read", "[platform][coding]")
{
	const auto coding = GENERATE(as<std::string>{}, "gzip", "gzip, chunked", "identity");
	CAPTURE(coding);
	const auto body =
		coding == "gzip, chunked" ? proxy::write_chunk(page_with("a")) + "0\r\n\r\n" : page_with("a");
	scripted_registry registry{[&](const std::string&) {
		return scripted_answer{"HTTP/1.1 200 OK\r\nTransfer-Encoding: " + coding + "\r\n\r\n" + body, true};
	}};
	const auto got = registry.read();
	REQUIRE_FALSE(got);
	CHECK(got.error() == store_error::bad_response);
}

TEST_CASE("a response of the registry with an invalid name of a field is not read", "[platform][fields]")
{
	const auto line = GENERATE(as<std::string>{}, "Na me: x", "Name : x", "Na\x01me: x", "Na\x80me: x");
	CAPTURE(line);
	scripted_registry registry{[&](const std::string&)
		{ return scripted_answer{answer_with("200 OK", page_with("a"), line + "\r\n")}; }};
	CHECK_FALSE(registry.read());
}

TEST_CASE("a response of the registry that is reset is not read", "[platform][upload]")
{
	constexpr std::size_t value_bytes = std::size_t{12} << 20U;
	proxy::asio::io_context context{1};
	upload_server server{context,
		[](const std::string&) { return std::string{"HTTP/1.1 200 OK\r\n\r\n{\"ver\": 7}"}; },
		upload_ending::reset, value_bytes};
	platform::registry_client client{context, server.at()};
	control::row_change change;
	change.puts.push_back({"op", "a", std::string(value_bytes, 'x')});
	std::optional<store_result<control::change_result>> got;
	client.change(change, [&](store_result<control::change_result> result) { got = std::move(result); });
	test::run_until(context, [&] { return got.has_value(); });
	REQUIRE(server.answered() == 1);
	CHECK_FALSE(*got);
}
