// SPDX-License-Identifier: MIT
// The table from its declarations.
#include <catch2/catch.hpp>
#include <gingerdyke/table/table.hpp>

using namespace gingerdyke;

namespace
{
constexpr const char* good = R"({"rows": {
	"settings/global": {"session_key": "0123456789abcdef0123456789abcdef"},
	"class/urgent": {"rank": 0},
	"version/m@1": {"state": "stable", "micro_cost_per_1k_tokens": 10},
	"version/m@2": {"state": "withdrawn", "micro_cost_per_1k_tokens": 10},
	"replica/r": {"failure_domain": "fd", "address": "127.0.0.1:1", "versions": ["m@1"]},
	"workspace/w": {"keys_sha256": ["aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa"],
		"allowed": ["m@1"], "default_class": "urgent"}
}})";

findings findings_of(const std::string& text)
{
	const auto source = json_source::parse("table.json", text);
	REQUIRE(source);
	const auto compiled = table::table::compile(*source);
	return compiled ? findings{} : compiled.error();
}

std::string with(std::string text, const std::string& from, const std::string& to)
{
	const auto at = text.find(from);
	REQUIRE(at != std::string::npos);
	return text.replace(at, from.size(), to);
}
} // namespace

TEST_CASE("a good table has its look-ups", "[table]")
{
	const auto source = json_source::parse("table.json", good);
	const auto table = table::table::compile(*source);
	REQUIRE(table);
	const auto* workspace = table->workspace_by_key(std::string(64, 'a'));
	REQUIRE(workspace != nullptr);
	CHECK(table->allows(*workspace, version_ref::parse("m@1")));
	CHECK_FALSE(table->allows(*workspace, version_ref::parse("m@2")));
	CHECK(table->replicas_of(version_ref::parse("m@1")).size() == 1);
	CHECK(table->versions_of(model_id{"m"}).size() == 2);
}

TEST_CASE("rows that don't fit together are found, all at once, with pointer and line", "[table]")
{
	auto text =
		with(good, "\"m@1\"], \"default_class\": \"urgent\"", "\"m@9\"], \"default_class\": \"slow\"");
	text = with(text, "\"versions\": [\"m@1\"]", "\"versions\": [\"x@1\"]");
	const auto wrong = findings_of(text);
	REQUIRE(wrong.size() == 3);
	CHECK(wrong[0].location.pointer == "/rows/workspace~1w/allowed/0");
	CHECK(wrong[0].location.line == 8);
	CHECK(wrong[1].location.pointer == "/rows/workspace~1w/default_class");
	CHECK(wrong[2].location.pointer == "/rows/replica~1r/versions/0");
}

TEST_CASE("a wrong row is found", "[table]")
{
	const auto [from, to] = GENERATE(Catch::Generators::table<std::string, std::string>({
		{"\"stable\"", "\"unstable\""},
		{"\"rank\": 0", "\"rank\": -1"},
		{"\"class/urgent\"", "\"klass/urgent\""},
		{"\"rank\": 0", "\"rank\": 0, \"unknown\": 1"},
		{"\"replica/r\"", "\"replica/\""},
		{"\"version/m@2\"", "\"version/m\""},
		{"{\"session_key\": \"0123456789abcdef0123456789abcdef\"}", "{\"session_key\": \"short\"}"},
		{"\"127.0.0.1:1\"", "\"somewhere\""},
		{"\"class/urgent\": {\"rank\": 0}",
			"\"class/urgent\": {\"rank\": 0}, \"cascade/m\": {\"steps\": [\"m\"]}"},
		{"\"class/urgent\": {\"rank\": 0}",
			"\"class/urgent\": {\"rank\": 0}, \"cascade/c\": {\"steps\": [\"n\"]}"},
	}));
	CHECK_FALSE(findings_of(with(good, from, to)).empty());
}

TEST_CASE("one key can't be two workspaces'", "[table]")
{
	const auto twin = with(good, "\"workspace/w\": {",
		R"("workspace/v": {"keys_sha256": ["aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa"],
		"allowed": [], "default_class": "urgent"}, "workspace/w": {)");
	CHECK(findings_of(twin).size() == 1);
}

TEST_CASE("the session key is not shown", "[table]")
{
	const auto shown = table::redacted(row_id{"settings/global"}, {{"session_key", "secret"}});
	CHECK(shown.dump().find("secret") == std::string::npos);
}
