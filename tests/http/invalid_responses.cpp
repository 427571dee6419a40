// SPDX-License-Identifier: MIT
// Responses of upstreams that are none, or cut. Guards against such a response that counts as the whole
// answer to a request.
#include "../support/loop_thread.hpp"
#include "../support/proxy_world.hpp"
#include "../support/upload_server.hpp"
#include <gingerdyke/http/upstream.hpp>

using namespace gingerdyke;
using namespace gingerdyke::test;
using node::attempt_end;

namespace
{
/// Limit on the silence of an upstream; only a response without an end waits for it.
constexpr duration silence = std::chrono::seconds{2};

const std::string chat_answer = R"({"id":"q1","usage":{"completion_tokens":1},"choices":[]})";

/// Fields by which an engine matches its response to the request.
const std::string match = "Engine-Request-Id: q1\r\nEngine-Version: m@v1\r\n";

std::string response_with(const std::string& status, const std::string& body, const std::string& more = {})
{
	return "HTTP/1.1 " + status + "\r\n" + match + more + "Content-Length: " + std::to_string(body.size()) +
		   "\r\n\r\n" + body;
}

/// Calls an upstream at an address.
struct calling_node
{
	explicit calling_node(const routing::address& at)
	{
		order.address = at.str();
		order.version = version_ref{model_id{"m"}, "v1"};
	}

	attempt_end call_service(const std::string& body = "b")
	{
		const http::service_call call{request_id{"q1"}, "POST", "/a", "text/plain", body, false};
		return http::run_service(pool, call, order, answer).end;
	}

	attempt_end call_engine() { return http::run_whole(pool, {id, request, order, false}, answer).end; }

	attempt_end call_engine_streamed()
	{
		session::stream_check check{id};
		std::vector<std::string> held;
		const http::chat_hooks hooks{[](const std::string&) { return true; }, [](tokens) {}};
		return http::run_streamed(pool, {id, request, order, false}, check, hooks, held).end;
	}

	request_id id{"q1"};
	json request = json::object();
	node::dispatch_order order;
	http::client_pool pool{silence};
	http::whole_answer answer;
};

/// An upstream that answers each call with the same bytes, and is called in each way.
void check_is_no_answer(const std::string& bytes)
{
	proxy::asio::io_context context{1};
	const scripted_replica upstream{context, [&](const std::string&) {
										return scripted_answer{bytes, true};
									}};
	calling_node node{upstream.at()};
	const loop_thread running{context};
	CHECK(node.call_service() != attempt_end::complete);
	CHECK(node.call_engine() != attempt_end::complete);
	CHECK(node.call_engine_streamed() != attempt_end::complete);
}
} // namespace

TEST_CASE("a sound response of an upstream is an answer", "[http]")
{
	proxy::asio::io_context context{1};
	const scripted_replica upstream{context, [&](const std::string&)
		{ return scripted_answer{"HTTP/1.1 100 Continue\r\n\r\n" + response_with("200 OK", chat_answer)}; }};
	calling_node node{upstream.at()};
	const loop_thread running{context};
	CHECK(node.call_service() == attempt_end::complete);
	CHECK(node.answer.status == 200);
	CHECK(node.answer.body == chat_answer);
	CHECK(node.call_engine() == attempt_end::complete);
}

TEST_CASE("a response of an upstream with an invalid status is no answer", "[http][status]")
{
	const auto status = GENERATE(
		as<std::string>{}, "000 ", "099 Broken", "101 Switching Protocols", "600 Broken", "999 Broken");
	CAPTURE(status);
	check_is_no_answer(response_with(status, chat_answer));
}

TEST_CASE("a response of an upstream with an invalid name of a field is no answer", "[http][fields]")
{
	const auto line = GENERATE(as<std::string>{}, "Na me: x", "Name : x", "Na\x01me: x", "Na\x80me: x",
		"Content-Length : 2", "Transfer-Encoding : chunked", "Content\x01-Length: 2");
	CAPTURE(line);
	check_is_no_answer(response_with("200 OK", chat_answer, line + "\r\n"));
}

TEST_CASE("a response of an upstream with a control byte in a value is no answer", "[http][fields]")
{
	const auto line = GENERATE(as<std::string>{}, "Name: a\x01z", "Name: a\x7fz", "Name: a\rz",
		std::string("Name: a\0z", 9), "Content-Type: a\x01z");
	CAPTURE(line);
	check_is_no_answer(response_with("200 OK", chat_answer, line + "\r\n"));
}

TEST_CASE("a response of an upstream whose body has two ends is no answer", "[http][fields]")
{
	const std::string chunked = "Transfer-Encoding: chunked\r\n";
	const auto chunks = proxy::write_chunk(chat_answer) + "0\r\n\r\n";
	const auto length = "Content-Length: " + std::to_string(chat_answer.size()) + "\r\n";
	const auto head = "HTTP/1.1 200 OK\r\n" + match;
	SECTION("two lengths")
	{
		check_is_no_answer(head + length + "Content-Length: 2\r\n\r\n" + chat_answer);
	}
	SECTION("a length and chunks")
	{
		check_is_no_answer(head + length + chunked + "\r\n" + chunks);
	}
}

TEST_CASE("a response of an upstream in an unknown transfer coding is no answer", "[http][coding]")
{
	const auto coding = GENERATE(as<std::string>{}, "gzip", "identity", "gzip, chunked");
	CAPTURE(coding);
	check_is_no_answer(
		"HTTP/1.1 200 OK\r\n" + match + "Transfer-Encoding: " + coding + "\r\n\r\n" + chat_answer);
}

TEST_CASE("a response of an upstream that is reset during the upload is no answer", "[http][upload]")
{
	constexpr std::size_t upload_bytes = std::size_t{16} << 20U;
	proxy::asio::io_context context{1};
	const upload_server upstream{context,
		[](const std::string&) { return "HTTP/1.1 200 OK\r\n" + match + "\r\n" + chat_answer; },
		upload_ending::reset, upload_bytes};
	calling_node node{upstream.at()};
	const loop_thread running{context};
	CHECK(node.call_service(std::string(upload_bytes, 'u')) == attempt_end::lost);
}
