// SPDX-License-Identifier: MIT
// Parsing of the statements of replicas in response headers, well-formed or malformed.
#include "../support/proxy_world.hpp"
#include <gingerdyke/proxy/replica_statements.hpp>

using namespace gingerdyke;
using namespace gingerdyke::test;

namespace
{
/// Sun, 06 Nov 1994 08:49:37 GMT.
const auto test_time = std::chrono::system_clock::from_time_t(784111777);

proxy::replica_statements parse(int status, proxy::header_fields fields)
{
	proxy::response_head head;
	head.status = status;
	head.fields = std::move(fields);
	return proxy::read_statements(head, test_names(), test_time);
}
} // namespace

TEST_CASE("a load limit is a decimal number; of several the lowest counts", "[statements]")
{
	CHECK(parse(200, {{"load-limit", "1.5"}}).load_limit == 1.5);
	CHECK(parse(200, {{"Load-Limit", "0"}}).load_limit == 0);
	CHECK(parse(200, {{"Load-Limit", "7"}, {"Load-Limit", "0.25"}}).load_limit == 0.25);
	const auto mixed = parse(200, {{"Load-Limit", "many"}, {"Load-Limit", "3"}});
	CHECK(mixed.load_limit == 3);
	CHECK(mixed.malformed_value == "many");
	CHECK_FALSE(mixed.has_malformed_limit);
	CHECK(parse(200, {{"Load-Limit", "many"}}).has_malformed_limit);
	CHECK_FALSE(parse(200, {}).load_limit);
	CHECK_FALSE(parse(503, {{"Retry-After", "soon"}}).has_malformed_limit);
}

TEST_CASE("only the value 1 states that a replica is draining", "[statements]")
{
	CHECK(parse(200, {{"Leaving", "1"}}).is_draining);
	CHECK(parse(500, {{"leaving", "1"}}).is_draining);
	CHECK_FALSE(parse(200, {{"Leaving", "0"}}).is_draining);
	CHECK_FALSE(parse(200, {{"Leaving", "yes"}}).is_draining);
}

TEST_CASE("Retry-After of a refusal is a number of seconds or a date", "[statements]")
{
	using std::chrono::milliseconds;
	CHECK(parse(503, {{"Retry-After", "3"}}).backoff == milliseconds{3000});
	CHECK(parse(503, {{"retry-after", "0.25"}}).backoff == milliseconds{250});
	CHECK(parse(503, {{"Retry-After", "1"}, {"Retry-After", "2"}}).backoff == milliseconds{2000});
	CHECK(parse(503, {{"Retry-After", "Sun, 06 Nov 1994 08:49:40 GMT"}}).backoff == milliseconds{3000});
	CHECK(parse(503, {{"Retry-After", "Sun, 06 Nov 1994 08:49:00 GMT"}}).backoff == milliseconds{0});
	CHECK(parse(503, {{"Retry-After", "1e300"}}).malformed_value == "1e300");
	CHECK(parse(503, {{"Retry-After", "99999999999999999999"}}).backoff);
	CHECK_FALSE(parse(200, {{"Retry-After", "3"}}).backoff);
	for (const auto* bad : {"-1", "nan", "soon", "", "inf"})
	{
		CHECK_FALSE(parse(503, {{"Retry-After", bad}}).backoff);
	}
}
