// SPDX-License-Identifier: MIT
// Replicas whose responses do not end, or are none, until the caller closes.
#include "../support/endless_server.hpp"
#include "../support/proxy_world.hpp"

using namespace gingerdyke;
using namespace gingerdyke::test;

namespace
{
/// Most bytes that a VM may read of a response that serves nobody; socket buffers are included.
constexpr std::uint64_t max_read_bytes = 32U << 20U;

const std::string noise(4096, '\x01');
const std::string plain_head = "HTTP/1.1 200 OK\r\nRequest-Id: q1\r\nSignature: s\r\n";
const std::string stream_type = "Content-Type: text/event-stream\r\n";

std::string chunk_of(const std::string& bytes)
{
	return proxy::write_chunk(bytes);
}

/// A replica whose responses do not end, and a sound one, of the same service.
struct endless_replica
{
	endless_replica(const std::string& first, const std::string& repeated, const std::string& service)
		: endless(world.context, first, repeated),
		  sound(world.context,
			  [service](const std::string&)
			  {
				  return scripted_answer{service == "engine" ? stream_head() + event_chunk(1) + "0\r\n\r\n"
															 : answer_with("200 OK", "well")};
			  })
	{
		// The order in which the replica without end is chosen first.
		const bool is_first = service == "engine";
		world.start_at({{service, is_first ? endless.at() : sound.at()},
			{service, is_first ? sound.at() : endless.at()}});
	}

	/// Sends a request, which goes to the endless replica first.
	std::string ask(const std::string& request)
	{
		auto answer = world.ask(request);
		REQUIRE(endless.asked() > 0);
		return answer;
	}

	proxy_world world;
	endless_server endless;
	scripted_replica sound;
};
} // namespace

TEST_CASE("a head without end fails at its replica and the request goes on elsewhere", "[exchange][endless]")
{
	const auto first = GENERATE(as<std::string>{}, "", "HTTP/1.1 200 OK\r\n", "HTTP/1.1 200 ");
	const auto repeated = first == "HTTP/1.1 200 OK\r\n" ? "Name: " + std::string(1000, 'x') + "\r\n" : noise;
	endless_replica replicas{first.empty() ? noise : first, repeated, "plain"};
	const auto answer = replicas.ask(request_to("GET", "/safe/a"));
	CHECK(answer.starts_with("HTTP/1.1 200 "));
	CHECK(answer.ends_with("well"));
	replicas.world.run_until([&] { return replicas.endless.closed() == replicas.endless.asked(); });
	CHECK(replicas.endless.sent_bytes() < max_read_bytes);
}

TEST_CASE("informational heads without end fail at their replica", "[exchange][endless]")
{
	const std::string informational = "HTTP/1.1 103 Early Hints\r\n\r\n";
	endless_replica replicas{informational, informational, "plain"};
	const auto answer = replicas.ask(request_to("GET", "/safe/a"));
	CHECK(answer.ends_with("well"));
	replicas.world.run_until([&] { return replicas.endless.closed() == replicas.endless.asked(); });
}

TEST_CASE("a late response to another request without end fails at its replica", "[exchange][endless]")
{
	const std::string stale_head = "HTTP/1.1 200 OK\r\nRequest-Id: q0\r\nTransfer-Encoding: chunked\r\n\r\n";
	endless_replica replicas{stale_head, chunk_of(std::string(65536, 'x')), "plain"};
	const auto answer = replicas.ask(request_to("GET", "/safe/a"));
	CHECK(answer.ends_with("well"));
	replicas.world.run_until([&] { return replicas.endless.closed() == replicas.endless.asked(); });
	CHECK(replicas.endless.sent_bytes() < max_read_bytes);
}

TEST_CASE("a body of unknown length without end is not kept in memory", "[exchange][endless]")
{
	endless_replica replicas{plain_head + "\r\n", std::string(65536, 'x'), "plain"};
	const auto answer = replicas.ask(request_to("GET", "/safe/a"));
	CHECK(answer.ends_with("well"));
	replicas.world.run_until([&] { return replicas.endless.closed() == replicas.endless.asked(); });
	CHECK(replicas.endless.sent_bytes() < max_read_bytes);
}

TEST_CASE("a body in chunks without end is not kept in memory", "[exchange][endless]")
{
	const auto head = plain_head + "Transfer-Encoding: chunked\r\n\r\n";
	endless_replica replicas{head, chunk_of(std::string(65536, 'x')), "plain"};
	const auto answer = replicas.ask(request_to("GET", "/safe/a"));
	CHECK(answer.ends_with("well"));
	replicas.world.run_until([&] { return replicas.endless.closed() == replicas.endless.asked(); });
	CHECK(replicas.endless.sent_bytes() < max_read_bytes);
}

// The length that a response names was reserved before a byte had come, and the process ended.
TEST_CASE("a response that names a huge length fails at its replica", "[exchange][endless]")
{
	const auto length = GENERATE(as<std::string>{}, "100000000000", "18446744073709551615");
	endless_replica replicas{
		plain_head + "Content-Length: " + length + "\r\n\r\n", std::string(65536, 'x'), "plain"};
	const auto answer = replicas.ask(request_to("GET", "/safe/a"));
	CHECK(answer.ends_with("well"));
	replicas.world.run_until([&] { return replicas.endless.closed() == replicas.endless.asked(); });
	CHECK(replicas.endless.sent_bytes() < max_read_bytes);
}

TEST_CASE("framing of chunks without end fails at its replica", "[exchange][endless]")
{
	const auto first = GENERATE(as<std::string>{}, "1;", "1\r\nx\r\n0\r\nTrailer: ");
	const auto head = plain_head + "Transfer-Encoding: chunked\r\n\r\n";
	endless_replica replicas{head + first, std::string(4096, 'x'), "plain"};
	CHECK(replicas.ask(request_to("GET", "/safe/a")).ends_with("well"));
	replicas.world.run_until([&] { return replicas.endless.closed() == replicas.endless.asked(); });
	CHECK(replicas.endless.sent_bytes() < max_read_bytes);
}

TEST_CASE("a replica whose bodies do not end is soon left alone", "[exchange][endless]")
{
	endless_replica replicas{plain_head + "\r\n", std::string(65536, 'x'), "plain"};
	constexpr int requests = 12;
	for (int i = 0; i < requests; ++i)
	{
		CHECK(replicas.ask(request_to("GET", "/safe/a")).ends_with("well"));
	}
	CHECK(replicas.endless.asked() <= 3);
}

TEST_CASE(
	"a stream without events fails at its replica and the request goes on elsewhere", "[exchange][endless]")
{
	const auto repeated = GENERATE(as<std::string>{}, std::string(65536, 'x'), ": comment\n", "data: x\n");
	const bool is_chunked = GENERATE(true, false);
	CAPTURE(repeated.substr(0, 10), is_chunked);
	const auto head = is_chunked ? stream_head() : plain_head + stream_type + "\r\n";
	endless_replica replicas{head, is_chunked ? chunk_of(repeated) : repeated, "engine"};
	const auto answer = replicas.ask(request_to("POST", "/stream/a", "b"));
	CAPTURE(answer.substr(0, 300));
	CHECK(answer.size() < 1000);
	CHECK(answer.find("id: 1") != std::string::npos);
	replicas.world.run_until([&] { return replicas.endless.closed() == replicas.endless.asked(); });
	CHECK(replicas.endless.sent_bytes() < max_read_bytes);
}

TEST_CASE("a stream of blank lines without end fails at its replica", "[exchange][endless]")
{
	endless_replica replicas{stream_head(), chunk_of("\n"), "engine"};
	CHECK(replicas.ask(request_to("POST", "/stream/a", "b")).find("id: 1") != std::string::npos);
}
