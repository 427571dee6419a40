// SPDX-License-Identifier: MIT
// Responses with bytes in the names and values of fields that may not stand there. Guards against such a line
// that is passed on, and against a length or coding that one parser sees and another doesn't.
#include "../support/own_failure.hpp"

using namespace gingerdyke;
using namespace gingerdyke::test;

namespace
{
/// A response with a length and a line of its own in the head.
std::string response_with_line(const std::string& line)
{
	return answer_with("200 OK", "other", line + "\r\n");
}

/// Lines in whose name stands a blank, a control byte or a byte of no character.
std::string line_with_invalid_name()
{
	return GENERATE(as<std::string>{}, "Na me: x", "Name : x", "Name\t: x", "Na\tme: x", "Na\x01me: x",
		"Na\x7f"
		"me: x",
		std::string("Na\0me: x", 8), "Na\x80me: x", "Na\xc3\xa9me: x", "Na\xffme: x", ": x", "Name",
		"Content-Length : 2", "Content\x01-Length: 2", "Transfer-Encoding : chunked",
		"Transfer-Encoding\x01: chunked");
}

/// Lines in whose value stands a byte that may not.
std::string line_with_invalid_value()
{
	return GENERATE(as<std::string>{}, "Name: a\x01z", "Name: a\rz", "Name: a\nz",
		std::string("Name: a\0z", 9), "Name: a\x7fz");
}

/// Neither the line nor the body reaches the caller, also by way of another VM.
void check_is_withheld(const std::string& line)
{
	const auto response = answer_through_vm(response_with_line(line));
	check_is_own_failure(response, "other");
	CHECK_FALSE(contains(response, line));
	const auto result = forwarding_result_line(proxy::forwarding_outcome::answered);
	check_is_own_failure(answer_through_two_vms(response_with_line(result + line)), "other");
}
} // namespace

TEST_CASE("a response with an invalid name of a field is not passed on", "[exchange][fields]")
{
	const auto line = line_with_invalid_name();
	CAPTURE(line);
	check_is_withheld(line);
}

TEST_CASE("a response with an invalid value of a field is not passed on", "[exchange][fields]")
{
	const auto line = line_with_invalid_value();
	CAPTURE(line);
	check_is_withheld(line);
}

// RFC 9112 (5.2) lets a gateway replace a folded line's start by a blank.
TEST_CASE("a folded line is passed on as one line", "[exchange][fields]")
{
	const auto response = answer_through_vm(response_with_line("Name: a\r\n b: c"));
	CHECK(response.starts_with("HTTP/1.1 200 "));
	CHECK(contains(response, "\r\nName: a b: c\r\n"));
}

TEST_CASE("a stream with an invalid name of a field is not passed on", "[exchange][fields]")
{
	const auto line = line_with_invalid_name();
	CAPTURE(line);
	check_is_own_failure(
		answer_through_vm(stream_head(line + "\r\n") + event_chunk(1) + "0\r\n\r\n", "/stream/a"), "data");
}
