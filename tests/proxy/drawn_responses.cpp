// SPDX-License-Identifier: MIT
// Replicas that answer with drawn damage to sound responses: an exception or a crash would end all
// connections of the process. The parser and the exchange behind it are the product's; the cases are the same
// in each run.
#include "../support/proxy_world.hpp"

#include <algorithm>
#include <boost/beast/http.hpp>
#include <gingerdyke/base/random.hpp>

using namespace gingerdyke;
using namespace gingerdyke::test;

namespace
{
namespace http = boost::beast::http;

constexpr unsigned case_count = 400;

std::vector<std::string> sound_plain_responses()
{
	return {
		answer_with("200 OK", "drawn"),
		answer_with("503 Service Unavailable", "", "Not-Run: 1\r\n"),
		"HTTP/1.1 200 OK\r\nRequest-Id: q1\r\nSignature: s\r\nTransfer-Encoding: "
		"chunked\r\n\r\n5\r\ndrawn\r\n0\r\n\r\n",
		"HTTP/1.1 200 OK\r\nRequest-Id: q1\r\nSignature: s\r\n\r\ndrawn",
		"HTTP/1.1 103 Early Hints\r\n\r\n" + answer_with("200 OK", "drawn"),
		answer_with("200 OK", "drawn", "Load-Limit: 10;window=1\r\nLeaving: 1\r\n"),
		"HTTP/1.1 200 OK\r\nRequest-Id: q0\r\nContent-Length: 3\r\n\r\nold" + answer_with("200 OK", "drawn"),
	};
}

std::vector<std::string> sound_streams()
{
	const std::string end = "0\r\n\r\n";
	return {stream_head() + event_chunk(1) + event_chunk(2) + end,
		stream_head("Confidence: 40\r\n") + event_chunk(1) + end,
		answer_with("429 Too Many", "", "Not-Run: 1\r\n")};
}

/// Pieces that are put into responses, the numbers among them out of all bounds.
const std::vector<std::string>& inserted_pieces()
{
	static const std::vector<std::string> pieces{"Content-Length: 100000000000\r\n", "Content-Length: -1\r\n",
		"Content-Length: 5\r\n", "Content-Length: 18446744073709551616\r\n", "Transfer-Encoding: chunked\r\n",
		"ffffffffffffffff\r\n", "7fffffff\r\n", "-5\r\n", "0\r\n", "\r\n\r\n", std::string(3, '\0'),
		"Trailer: x\r\n", "HTTP/1.1 100 Continue\r\n\r\n", "HTTP/1.0 ", "id: 99999999999999999999\n",
		"data: y\n\n", "Request-Id: q2\r\n", "Connection: close\r\n", "Keep-Alive: timeout=99999999999\r\n",
		"Load-Limit: 99999999999999999999\r\n", "Content-Encoding: gzip\r\n",
		std::string(5000, 'h') + ": x\r\n"};
	return pieces;
}

/// A sound response with up to three faults: a changed, removed or repeated range, or an inserted piece.
std::string damage(std::string bytes, const random_source& random)
{
	const auto faults = 1 + random_below(random, 3);
	for (std::uint64_t fault = 0; fault < faults && !bytes.empty(); ++fault)
	{
		const auto at = random_below(random, bytes.size());
		const auto length = std::min<std::size_t>(1 + random_below(random, 12), bytes.size() - at);
		switch (random_below(random, 5))
		{
		case 0:
			bytes[at] = static_cast<char>(random());
			break;
		case 1:
			bytes.erase(at, length);
			break;
		case 2:
			bytes.insert(at, bytes.substr(at, length));
			break;
		case 3:
			bytes.resize(at);
			break;
		default:
		{
			const auto line_end = bytes.find("\r\n", at);
			const auto& pieces = inserted_pieces();
			bytes.insert(line_end == std::string::npos ? at : line_end + 2,
				pieces[random_below(random, pieces.size())]);
			break;
		}
		}
	}
	return bytes;
}

/// Whether a caller can read the bytes as one response; if they are cut off, they must not look whole.
bool is_response(const std::string& bytes)
{
	http::response_parser<http::string_body> parser;
	parser.eager(true);
	boost::system::error_code error;
	const auto used = parser.put(boost::asio::buffer(bytes), error);
	return error == http::error::need_more || (!error && (!parser.is_done() || used == bytes.size()));
}

/// What a caller receives whose request goes to a replica that damages its responses.
std::string ask_damaged_replica(const std::string& service, const std::string& request,
	const std::vector<std::string>& responses, std::uint64_t seed)
{
	const random_source random = seeded_random{seed};
	proxy_world world;
	const scripted_replica damaged{world.context, [&](const std::string&)
		{
			const auto& sound = responses[random_below(random, responses.size())];
			return scripted_answer{damage(sound, random), true};
		}};
	world.start({{service, &damaged}});
	auto received = world.ask(request);
	REQUIRE_FALSE(damaged.requests().empty());
	return received;
}

void check_damaged_responses(
	const std::string& service, const std::string& request, const std::vector<std::string>& responses)
{
	for (std::uint64_t seed = 1; seed <= case_count; ++seed)
	{
		CAPTURE(service, seed);
		const auto received = ask_damaged_replica(service, request, responses, seed);
		CAPTURE(received);
		CHECK((received.empty() || is_response(received)));
		const bool is_success = received.starts_with("HTTP/1.1 200 ");
		CHECK((!is_success || received.find("Signature: ") != std::string::npos));
	}
}
} // namespace

TEST_CASE("damaged responses of a replica end no connection but its own", "[exchange][drawn-responses]")
{
	check_damaged_responses("plain", request_to("GET", "/safe/a"), sound_plain_responses());
}

TEST_CASE("damaged streams of a replica end no connection but its own", "[exchange][drawn-responses]")
{
	check_damaged_responses("engine", request_to("POST", "/stream/a", "{}"), sound_streams());
}
