// SPDX-License-Identifier: MIT
// Line numbers of values in parsed JSON.
#include <catch2/catch.hpp>
#include <gingerdyke/base/json_schema.hpp>

using namespace gingerdyke;

TEST_CASE("the location of a value has its line", "[json_source]")
{
	const auto source = json_source::parse("file", "{\n\"a\": {\n  \"b\": 1,\n  \"c\": [1,\n 2]\n}}");
	REQUIRE(source);
	CHECK(source->location_of("/a").line == 2);
	CHECK(source->location_of("/a/b").line == 3);
	CHECK(source->location_of("/a/c/1").line == 5);
	CHECK(source->location_of("/a/c/7").line == 4);
	CHECK(source->location_of("/a/missing/deeper").line == 2);
}

TEST_CASE("invalid JSON is reported with its line", "[json_source]")
{
	const auto source = json_source::parse("file", "{\n\"a\": 1,\n\"b\": }");
	REQUIRE_FALSE(source);
	CHECK(source.error().front().location.line == 3);
}

TEST_CASE("a duplicate key is reported", "[json_source]")
{
	const auto source = json_source::parse("file", "{\"a\": 1,\n\"a\": 2}");
	REQUIRE_FALSE(source);
	CHECK(source.error().front().location.pointer == "/a");
	CHECK(source.error().front().location.line == 2);
}

TEST_CASE("deeply nested JSON is rejected", "[json_source]")
{
	CHECK_FALSE(json_source::parse("file", std::string(100'000, '[')));
}

TEST_CASE("all findings of a schema are reported at once", "[json_source]")
{
	const auto source = json_source::parse("file", "{\n\"a\": \"x\",\n\"b\": \"y\"}");
	REQUIRE(source);
	const json_schema schema{R"({"properties": {"a": {"type": "integer"}, "b": {"type": "integer"}}})"};
	findings errors;
	schema.check(*source, "", errors);
	const auto has_finding = [&](const std::string& pointer, unsigned line)
	{
		return std::any_of(errors.begin(), errors.end(),
			[&](const finding& item)
			{ return item.location.pointer == pointer && item.location.line == line; });
	};
	CHECK(has_finding("/a", 2));
	CHECK(has_finding("/b", 3));
}
