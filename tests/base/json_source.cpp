// SPDX-License-Identifier: MIT
// JSON text that remembers lines.
#include <catch2/catch.hpp>
#include <gingerdyke/base/json_schema.hpp>

using namespace gingerdyke;

TEST_CASE("a value's place is its line", "[json_source]")
{
	const auto source = json_source::parse("file", "{\n\"a\": {\n  \"b\": 1,\n  \"c\": [1,\n 2]\n}}");
	REQUIRE(source);
	CHECK(source->at("/a").line == 2);
	CHECK(source->at("/a/b").line == 3);
	CHECK(source->at("/a/c/1").line == 5);
	CHECK(source->at("/a/c/7").line == 4);
	CHECK(source->at("/a/missing/deeper").line == 2);
}

TEST_CASE("text that is not JSON is found with its line", "[json_source]")
{
	const auto source = json_source::parse("file", "{\n\"a\": 1,\n\"b\": }");
	REQUIRE_FALSE(source);
	CHECK(source.error().front().place.line == 3);
}

TEST_CASE("a key that stands twice is found", "[json_source]")
{
	const auto source = json_source::parse("file", "{\"a\": 1,\n\"a\": 2}");
	REQUIRE_FALSE(source);
	CHECK(source.error().front().place.pointer == "/a");
	CHECK(source.error().front().place.line == 2);
}

TEST_CASE("nesting is bounded", "[json_source]")
{
	CHECK_FALSE(json_source::parse("file", std::string(100'000, '[')));
}

TEST_CASE("all that a schema finds is reported at once", "[json_source]")
{
	const auto source = json_source::parse("file", "{\n\"a\": \"x\",\n\"b\": \"y\"}");
	REQUIRE(source);
	const json_schema schema{R"({"properties": {"a": {"type": "integer"}, "b": {"type": "integer"}}})"};
	findings wrong;
	schema.check(*source, "", wrong);
	const auto has = [&](const std::string& pointer, unsigned line)
	{
		return std::any_of(wrong.begin(), wrong.end(),
			[&](const finding& one) { return one.place.pointer == pointer && one.place.line == line; });
	};
	CHECK(has("/a", 2));
	CHECK(has("/b", 3));
}
