// SPDX-License-Identifier: MIT
// What replicas say of themselves in the heads of their answers, well formed or not.
#include "../support/proxy_world.hpp"
#include <gingerdyke/proxy/replica_statements.hpp>

using namespace gingerdyke;
using namespace gingerdyke::test;

namespace
{
/// Sun, 06 Nov 1994 08:49:37 GMT.
const auto some_day = std::chrono::system_clock::from_time_t(784111777);

proxy::replica_statements read(int status, proxy::header_fields fields)
{
	proxy::response_head head;
	head.status = status;
	head.fields = std::move(fields);
	return proxy::read_statements(head, test_names(), some_day);
}
} // namespace

TEST_CASE("a limit is a decimal number, of several the lowest", "[statements]")
{
	CHECK(read(200, {{"load-limit", "1.5"}}).load_limit == 1.5);
	CHECK(read(200, {{"Load-Limit", "0"}}).load_limit == 0);
	CHECK(read(200, {{"Load-Limit", "7"}, {"Load-Limit", "0.25"}}).load_limit == 0.25);
	const auto mixed = read(200, {{"Load-Limit", "many"}, {"Load-Limit", "3"}});
	CHECK(mixed.load_limit == 3);
	CHECK(mixed.unreadable == "many");
	CHECK_FALSE(mixed.has_unreadable_limit);
	CHECK(read(200, {{"Load-Limit", "many"}}).has_unreadable_limit);
	CHECK_FALSE(read(200, {}).load_limit);
	CHECK_FALSE(read(503, {{"Retry-After", "soon"}}).has_unreadable_limit);
}

TEST_CASE("only 1 says that a replica leaves", "[statements]")
{
	CHECK(read(200, {{"Leaving", "1"}}).is_draining);
	CHECK(read(500, {{"leaving", "1"}}).is_draining);
	CHECK_FALSE(read(200, {{"Leaving", "0"}}).is_draining);
	CHECK_FALSE(read(200, {{"Leaving", "yes"}}).is_draining);
}

TEST_CASE("a refusal's Retry-After is a time in seconds or a date", "[statements]")
{
	using std::chrono::milliseconds;
	CHECK(read(503, {{"Retry-After", "3"}}).backoff == milliseconds{3000});
	CHECK(read(503, {{"retry-after", "0.25"}}).backoff == milliseconds{250});
	CHECK(read(503, {{"Retry-After", "1"}, {"Retry-After", "2"}}).backoff == milliseconds{2000});
	CHECK(read(503, {{"Retry-After", "Sun, 06 Nov 1994 08:49:40 GMT"}}).backoff == milliseconds{3000});
	CHECK(read(503, {{"Retry-After", "Sun, 06 Nov 1994 08:49:00 GMT"}}).backoff == milliseconds{0});
	CHECK(read(503, {{"Retry-After", "1e300"}}).unreadable == "1e300");
	CHECK(read(503, {{"Retry-After", "99999999999999999999"}}).backoff);
	CHECK_FALSE(read(200, {{"Retry-After", "3"}}).backoff);
	for (const auto* bad : {"-1", "nan", "soon", "", "inf"})
	{
		CHECK_FALSE(read(503, {{"Retry-After", bad}}).backoff);
	}
}
