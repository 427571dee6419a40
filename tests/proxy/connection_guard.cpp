// SPDX-License-Identifier: MIT
// An exception in the work of one connection ends that connection, and the process goes on.
#include "../support/proxy_world.hpp"

#include <gingerdyke/control/frame_link.hpp>
#include <http_connection.hpp>
#include <stdexcept>

using namespace gingerdyke;
using namespace gingerdyke::test;

namespace
{
scripted_answer answer_well(const std::string&)
{
	return {answer_with("200 OK", "well")};
}
} // namespace

TEST_CASE("an exception in a caller's request ends that caller's connection only", "[guard]")
{
	proxy::asio::io_context context{1};
	auto callbacks = std::make_shared<proxy::caller_connection_callbacks>();
	callbacks->handle =
		[](const proxy::request& incoming,
			const std::shared_ptr<proxy::response_sink>& sink) -> std::shared_ptr<proxy::active_request>
	{
		if (incoming.path() == "/bad")
		{
			throw std::runtime_error{"no such thing"};
		}
		sink->send({200, {}, {}, "well"});
		return nullptr;
	};
	callbacks->limits = [] { return routing::caller_limits{}; };
	callbacks->stopping = [] { return false; };
	proxy::listener callers{context, callbacks};
	REQUIRE_FALSE(callers.listen({"127.0.0.1", 0}));
	scripted_caller bad{context, callers.port()};
	scripted_caller good{context, callers.port()};
	bad.send(request_to("GET", "/bad"));
	test::run_until(context, [&] { return bad.ended(); });
	good.send(request_to("GET", "/good"));
	test::run_until(context, [&] { return good.has_answer(); });
	CHECK(good.received().ends_with("well"));
}

TEST_CASE("an exception in the work on a response fails that response only", "[guard]")
{
	proxy::asio::io_context context{1};
	scripted_replica replica{context, answer_well};
	auto target = std::make_shared<routing::replica>();
	target->at = replica.at();
	const auto connection = std::make_shared<proxy::upstream_connection>(
		context, target, "Request-Id", std::make_shared<limits::memory_account>());
	std::optional<proxy::upstream_fault> fault;
	proxy::upstream_callbacks callbacks;
	callbacks.connection_opened = [] {};
	callbacks.head_received = [](const proxy::response_head&) {};
	callbacks.body_received = [](std::string_view) { throw std::length_error{"too much"}; };
	callbacks.response_completed = [] {};
	callbacks.request_failed = [&](proxy::upstream_fault how) { fault = how; };
	connection->send({request_to("GET", "/a"), nullptr, "q1"}, callbacks);
	test::run_until(context, [&] { return fault.has_value(); });
	CHECK(*fault == proxy::upstream_fault::invalid_response);
}

TEST_CASE("an exception in the work on a frame ends that link only", "[guard]")
{
	proxy::asio::io_context context{1};
	proxy::tcp::acceptor acceptor{context, {proxy::asio::ip::address_v4::loopback(), 0}};
	bool has_closed = false;
	std::shared_ptr<control::frame_link> receiver;
	acceptor.async_accept(
		[&](const proxy::error_code& error, proxy::tcp::socket socket)
		{
			REQUIRE_FALSE(error);
			receiver = std::make_shared<control::frame_link>(std::move(socket),
				control::frame_link_hooks{[](std::string_view) { throw std::runtime_error{"no frame"}; },
					[&] { has_closed = true; }});
			receiver->start();
		});
	const auto sender = std::make_shared<control::frame_link>(
		proxy::tcp::socket{context}, control::frame_link_hooks{[](std::string_view) {}, [] {}});
	sender->connect(acceptor.local_endpoint());
	sender->send(std::string{"\0\0\0\1x", 5});
	test::run_until(context, [&] { return has_closed; });
	CHECK(has_closed);
	sender->close();
}

TEST_CASE("an exception in the work on the registry's answer is told to who asked", "[guard]")
{
	proxy::asio::io_context context{1};
	scripted_replica server{context, answer_well};
	const auto connection = std::make_shared<platform::http_connection>(context, server.at());
	platform::http_request message{proxy::beast::http::verb::get, "/a", 11};
	message.prepare_payload();
	std::optional<control::store_error> failure;
	connection->call(message, std::chrono::seconds{5}, 1000,
		[&](const control::store_result<platform::http_response>& result)
		{
			if (result)
			{
				throw std::runtime_error{"unreadable"};
			}
			failure = result.error();
		});
	test::run_until(context, [&] { return failure.has_value(); });
	CHECK(*failure == control::store_error::bad_response);
	connection->close();
}
