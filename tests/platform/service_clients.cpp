// SPDX-License-Identifier: MIT
// Invalid responses of the platform's services to `serve`. Guards against one that is taken for a committed
// transaction, a list of VMs or a rating.
#include "../support/loop_thread.hpp"
#include "../support/proxy_world.hpp"
#include <future>
#include <gingerdyke/base/json_source.hpp>
#include <gingerdyke/platform/clients.hpp>
#include <gingerdyke/platform/rater.hpp>

using namespace gingerdyke;
using namespace gingerdyke::test;

namespace
{
const std::string committed = R"({"verdict":"committed","sequence":1,"results":[]})";
const std::string conflict = R"({"verdict":"conflict","sequence":1,"results":[]})";
const std::string vm_list = R"({"revision":1,"vms":[]})";

/// Header lines that make a response invalid.
std::string invalid_line()
{
	return GENERATE(as<std::string>{}, "Na me: x", "Name : x", "Na\x01me: x", "Name: a\x01z",
		"Content-Length : 2", "Transfer-Encoding: identity", "Content-Length: 9");
}

std::string response_with(const std::string& line, const std::string& body)
{
	return answer_with("200 OK", body, line.empty() ? "" : line + "\r\n");
}

node::endpoint endpoint_of(const scripted_replica& service)
{
	return {service.at().ip, service.at().port};
}
} // namespace

TEST_CASE("an invalid response of the store tells nothing of the transaction", "[platform][fields]")
{
	const auto line = GENERATE(true, false) ? std::string{} : invalid_line();
	CAPTURE(line);
	proxy::asio::io_context context{1};
	const scripted_replica service{context, [&](const std::string&) {
									   return scripted_answer{response_with(line, committed), true};
								   }};
	const loop_thread running{context};
	platform::store_client client{endpoint_of(service)};
	const auto expected = line.empty() ? store::verdict::committed : store::verdict::no_answer;
	CHECK(client.run({}).what == expected);
}

TEST_CASE("what follows an invalid response of the store is not read", "[platform][fields]")
{
	proxy::asio::io_context context{1};
	scripted_replica service{context, [count = 0](const std::string&) mutable
		{ return scripted_answer{response_with(++count == 1 ? "Na me: x" : "", committed)}; }};
	const loop_thread running{context};
	platform::store_client client{endpoint_of(service)};
	CHECK(client.run({}).what == store::verdict::no_answer);
	std::promise<void> sent;
	proxy::asio::post(context,
		[&]
		{
			service.send_more(response_with("", conflict));
			sent.set_value();
		});
	sent.get_future().wait();
	CHECK(client.run({}).what == store::verdict::committed);
}

TEST_CASE("an invalid response is no list of VMs", "[platform][fields]")
{
	const auto line = GENERATE(true, false) ? std::string{} : invalid_line();
	CAPTURE(line);
	proxy::asio::io_context context{1};
	const scripted_replica service{context, [&](const std::string&) {
									   return scripted_answer{response_with(line, vm_list), true};
								   }};
	const loop_thread running{context};
	platform::member_client client{endpoint_of(service)};
	CHECK(client.fetch().has_value() == line.empty());
}

TEST_CASE("an invalid response is no rating", "[platform][fields]")
{
	proxy::asio::io_context context{1};
	const scripted_replica service{context, [count = 0](const std::string&) mutable
		{
			return ++count == 1 ? scripted_answer{response_with("Na me: x", R"({"good":false})"), true}
								: scripted_answer{response_with({}, R"({"good":true})"), true};
		}};
	const loop_thread running{context};
	std::promise<bool> first;
	std::atomic<bool> is_rated = false;
	platform::rater rater{endpoint_of(service), [&](const node::rating_report& report)
		{
			if (!is_rated.exchange(true))
			{
				first.set_value(report.good);
			}
		}};
	rater.submit({{}, "one"});
	rater.submit({{}, "two"});
	CHECK(first.get_future().get());
}
