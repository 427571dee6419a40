// SPDX-License-Identifier: MIT
// Responses in a transfer coding other than chunks. Guards against a caller that gets encoded bytes as the
// body, as the field that names the coding is one of the connection's and is dropped.
#include "../support/own_failure.hpp"

using namespace gingerdyke;
using namespace gingerdyke::test;

namespace
{
std::string line_with_unknown_coding()
{
	return GENERATE(as<std::string>{}, "Transfer-Encoding: gzip", "Transfer-Encoding: gzip, chunked",
		"Transfer-Encoding: identity", "Transfer-Encoding: chunked, gzip",
		"Transfer-Encoding: ", "Transfer-Encoding: gzip\r\nTransfer-Encoding: chunked",
		"Transfer-Encoding: xchunked", "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked");
}

/// A response whose body is "other", in chunks, as a parser reads it that ignores other codings.
std::string response_with_coding(const std::string& line, const std::string& more = {})
{
	return "HTTP/1.1 200 OK\r\nRequest-Id: q1\r\nSignature: s\r\n" + more + line +
		   "\r\n\r\n5\r\nother\r\n0\r\n\r\n";
}
} // namespace

TEST_CASE("a response in an unknown transfer coding is not passed on", "[exchange][coding]")
{
	const auto line = line_with_unknown_coding();
	CAPTURE(line);
	check_is_own_failure(answer_through_vm(response_with_coding(line)), "other");
	check_is_own_failure(answer_through_two_vms(response_with_coding(
							 line, forwarding_result_line(proxy::forwarding_outcome::answered))),
		"other");
}

TEST_CASE("a stream in an unknown transfer coding is not passed on", "[exchange][coding]")
{
	const auto line = line_with_unknown_coding();
	CAPTURE(line);
	const auto head = "HTTP/1.1 200 OK\r\nRequest-Id: q1\r\nSignature: s\r\nContent-Type: "
					  "text/event-stream\r\n" +
					  line + "\r\n\r\n";
	check_is_own_failure(answer_through_vm(head + event_chunk(1) + "0\r\n\r\n", "/stream/a"), "data");
}

TEST_CASE("a repeatable request goes on elsewhere after an unknown transfer coding", "[exchange][coding]")
{
	proxy_world world;
	unsigned request_count = 0;
	const auto script = [&](const std::string&)
	{
		const auto coded = response_with_coding("Transfer-Encoding: gzip, chunked");
		return scripted_answer{++request_count == 1 ? coded : answer_with("200 OK", "well")};
	};
	scripted_replica first{world.context, script};
	scripted_replica second{world.context, script};
	world.start({{"plain", &first}, {"plain", &second}});
	CHECK(world.ask(request_to("GET", "/safe/a")).ends_with("well"));
	CHECK(request_count == 2);
}

TEST_CASE("a response in chunks is passed on, in whatever case the coding is named", "[exchange][coding]")
{
	const auto line = GENERATE(as<std::string>{}, "Transfer-Encoding: chunked", "transfer-encoding: Chunked",
		"TRANSFER-ENCODING:  CHUNKED ");
	CAPTURE(line);
	const auto response = answer_through_vm(response_with_coding(line));
	CHECK(response.starts_with("HTTP/1.1 200 "));
	CHECK(response.ends_with("\r\n\r\nother"));
}
