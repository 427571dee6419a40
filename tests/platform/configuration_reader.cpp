// SPDX-License-Identifier: MIT
// Decoding of configurations with many routes, one after the other.
#include <catch2/catch.hpp>
#include <configuration_reader.hpp>
#include <gingerdyke/base/json_source.hpp>
#include <json_items.hpp>
#include <layout.hpp>

using namespace gingerdyke;

namespace
{
json configuration(int version, int routes, int first_time_limit_ms = 1500)
{
	json list = json::array();
	for (int i = 0; i < routes; ++i)
	{
		const auto number = std::to_string(i);
		list.push_back({{"name", "r" + number}, {"host", "h\"{[" + number}, {"path_prefix", "/a/"},
			{"kind", "safe"}, {"service", "x"}, {"timeout_ms", i == 0 ? first_time_limit_ms : 1500}});
	}
	return {{"version", version}, {"routes", list}, {"services", json::array({{{"name", "x"}}})}};
}

control::row row_of(const std::string& text)
{
	return {"op", "config", text, control::row_version{5}, false};
}
} // namespace

TEST_CASE("a configuration read after another one has its own routes", "[platform][large_rows]")
{
	platform::configuration_reader reader;
	for (const auto& value : {configuration(1, 3), configuration(2, 3, 900), configuration(3, 1, 900),
			 configuration(4, 0), configuration(5, 4)})
	{
		const auto read = reader.read(row_of(value.dump()));
		REQUIRE(read);
		CHECK((*read)->version().value() == value["version"].get<int>());
		REQUIRE((*read)->route_count() == value["routes"].size());
		for (const auto& route : value["routes"])
		{
			const auto* found = (*read)->find_route(route["host"].get<std::string>(), "/a/b");
			REQUIRE(found != nullptr);
			CHECK(found->time_limit == std::chrono::milliseconds{route["timeout_ms"].get<int>()});
		}
	}
}

TEST_CASE("malformed configurations are rejected and the next one is read", "[platform][large_rows]")
{
	platform::configuration_reader reader;
	REQUIRE(reader.read(row_of(configuration(1, 2).dump())));
	const auto text = configuration(2, 2).dump();
	const auto route = text.substr(text.find("[{") + 1, text.find("},{") - text.find("[{"));
	const std::string start = R"({"version":2,"services":[],"routes":)";
	const std::vector<std::string> all_broken{"", "{", "[]", text.substr(0, text.size() / 2),
		text.substr(0, text.size() - 1), text + "}", start + "[" + route + route + "]}",
		start + "[" + route + ",]}", start + R"([{"name":]}]})", start + "[3]}", start + "{}}x",
		R"({"version":2,"services":[]})", R"({"version":2,"routes":[],"services":[)"};
	for (const auto& broken : all_broken)
	{
		CAPTURE(broken);
		CHECK_FALSE(reader.read(row_of(broken)));
		CHECK_FALSE(platform::read_configuration(row_of(broken)));
	}
	CHECK(reader.read(row_of(text)));
}

TEST_CASE("a document is split at the items of an array that stands on its first level only",
	"[platform][large_rows]")
{
	const std::string text =
		R"( {"a":{"routes":[{"b":1}]},"x":"routes", "routes" : [ {"c":"]}"} , {"d":[]}] ,"e":2})";
	const auto split = platform::split_items(text, "routes");
	REQUIRE(split);
	CHECK(split->items == std::vector<std::string_view>{R"({"c":"]}"})", R"({"d":[]})"});
	CHECK(json::parse(split->rest) ==
		  json::parse(R"({"a":{"routes":[{"b":1}]},"x":"routes","routes":[],"e":2})"));
	CHECK_FALSE(platform::split_items(R"({"routes":[],"routes":[]})", "routes"));
	CHECK_FALSE(platform::split_items(R"({"routes":)", "routes"));
}
