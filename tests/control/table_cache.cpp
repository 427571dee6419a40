// SPDX-License-Identifier: MIT
// Local copies of registry tables.
#include "../support/control_world.hpp"

using namespace gingerdyke;
using namespace gingerdyke::test;

TEST_CASE("a cache returns all rows or the changes since a version, with its age", "[cache]")
{
	table_cache cache{"t"};
	CHECK(cache.read(std::nullopt, start).error() == store_error::unavailable);
	cache.replace({make_row("a", 3), make_row("b", 5)}, row_version{7});
	cache.confirm(start, registry_time{1000}, start);
	CHECK(keys_of(cache.read(std::nullopt, start)) == std::vector<std::string>{"a", "b"});
	CHECK(keys_of(cache.read(row_version{7}, start)).empty());
	cache.apply({make_row("a", 8, "", true), make_row("c", 9)}, row_version{9});
	CHECK(keys_of(cache.read(row_version{7}, start)) == std::vector<std::string>{"-a", "c"});
	CHECK(keys_of(cache.read(std::nullopt, start)) == std::vector<std::string>{"b", "c"});
	CHECK(cache.read(std::nullopt, start + milliseconds{250})->age == milliseconds{250});
	CHECK(cache.read(row_version{2}, start).error() == store_error::history_gone);
}

TEST_CASE("rows missing from a repeated full read are reported as removed", "[cache]")
{
	table_cache cache{"t"};
	cache.replace({make_row("a", 3), make_row("b", 5)}, row_version{7});
	cache.confirm(start, registry_time{1000}, start);
	cache.replace({make_row("b", 5)}, row_version{12});
	CHECK(keys_of(cache.read(row_version{7}, start)) == std::vector<std::string>{"-a"});
}
