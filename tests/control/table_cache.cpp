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

TEST_CASE("changes are found among many rows without reading the others", "[cache]")
{
	table_cache cache{"t"};
	std::vector<row> rows;
	rows.reserve(2000);
	for (int i = 0; i < 2000; ++i)
	{
		rows.push_back(make_row(("r" + std::to_string(i)).c_str(), i + 1));
	}
	cache.replace(rows, row_version{2000});
	cache.confirm(start, registry_time{1000}, start);
	cache.apply(
		{make_row("r7", 2001), make_row("r7", 2002), make_row("r9", 2002, "", true)}, row_version{2002});
	CHECK(keys_of(cache.read(row_version{2000}, start)) == std::vector<std::string>{"r7", "-r9"});
	CHECK(keys_of(cache.read(row_version{2002}, start)).empty());
	CHECK(cache.read(std::nullopt, start)->rows.size() == 1999);
	// Removals beyond the number that is kept drop the history.
	std::vector<row> removed;
	removed.reserve(2000);
	for (int i = 0; i < 2000; ++i)
	{
		removed.push_back(make_row(("r" + std::to_string(i)).c_str(), 3000 + i, "", true));
	}
	cache.apply(removed, row_version{5000});
	cache.apply({make_row("x", 5001), make_row("x", 5002, "", true)}, row_version{5002});
	CHECK(cache.read(row_version{2002}, start).error() == store_error::history_gone);
	CHECK(keys_of(cache.read(row_version{5002}, start)).empty());
}

TEST_CASE("rows missing from a repeated full read are reported as removed", "[cache]")
{
	table_cache cache{"t"};
	cache.replace({make_row("a", 3), make_row("b", 5)}, row_version{7});
	cache.confirm(start, registry_time{1000}, start);
	cache.replace({make_row("b", 5)}, row_version{12});
	CHECK(keys_of(cache.read(row_version{7}, start)) == std::vector<std::string>{"-a"});
}

TEST_CASE(
	"a copy of a later era takes rows of lower versions and forgets those before", "[control][restored]")
{
	table_cache cache{"t"};
	cache.replace({make_row("a", 8), make_row("b", 9)}, row_version{9}, registry_era{1});
	cache.confirm(start, registry_time{1}, start);
	cache.replace({make_row("a", 3)}, row_version{4}, registry_era{2});
	CHECK(keys_of(cache.read(std::nullopt, start)) == std::vector<std::string>{"a"});
	CHECK(cache.read(std::nullopt, start)->newest == row_version{4});
	CHECK(cache.read(std::nullopt, start)->era == registry_era{2});
	CHECK(cache.apply({make_row("a", 5, "y")}, row_version{5}).size() == 1);
	CHECK(cache.read(row_version{4}, start)->rows.size() == 1);
}
