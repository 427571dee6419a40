// SPDX-License-Identifier: MIT
// What load is sent.
#include "plan.hpp"
#include <algorithm>
#include <cmath>
#include <gingerdyke/base/json_schema.hpp>
#include <gingerdyke/base/random.hpp>

namespace gingerdyke::load
{
namespace
{
constexpr const char* schema_text = R"json({
	"type": "object", "additionalProperties": false, "required": ["streams"],
	"properties": {"streams": {"type": "array", "minItems": 1, "items": {
		"type": "object", "additionalProperties": false, "required": ["workspace", "key", "kind", "target", "per_second"],
		"properties": {
			"workspace": {"type": "string"}, "key": {"type": "string"}, "class": {"type": "string"},
			"kind": {"enum": ["chat", "stream", "session", "service", "keyed"]},
			"target": {"type": "string"}, "path": {"type": "string"},
			"per_second": {"type": "number", "exclusiveMinimum": 0}, "tokens": {"type": "integer", "minimum": 1}
		}}}}
})json";

constexpr std::array kind_names{"chat", "stream", "session", "service", "keyed"};
constexpr double microseconds_per_second = 1e6;
constexpr std::uint64_t default_tokens = 20;
} // namespace

checked<std::vector<stream_plan>> read_plan(const std::string& path)
{
	const auto source = json_source::load(path);
	if (!source)
	{
		return tl::make_unexpected(source.error());
	}
	findings wrong;
	json_schema{schema_text}.check(*source, "", wrong);
	if (!wrong.empty())
	{
		return tl::make_unexpected(std::move(wrong));
	}
	std::vector<stream_plan> result;
	for (const auto& one : source->value().at("streams"))
	{
		const auto kind = one.at("kind").get<std::string>();
		const auto known = std::find(kind_names.begin(), kind_names.end(), kind);
		result.push_back({one.at("workspace"), one.at("key"), one.value("class", ""),
			static_cast<request_kind>(known - kind_names.begin()), one.at("target"), one.value("path", "/"),
			one.at("per_second"), one.value("tokens", default_tokens)});
	}
	return result;
}

std::vector<scheduled> schedule(
	const std::vector<stream_plan>& streams, std::chrono::seconds length, std::uint64_t seed)
{
	std::vector<scheduled> result;
	const random_source random = seeded_random{seed};
	const auto end = static_cast<double>(length.count());
	for (const auto& stream : streams)
	{
		std::uint64_t number = 0;
		double at = 0;
		while (true)
		{
			at -= std::log(1 - random_unit(random)) / stream.per_second;
			if (at >= end)
			{
				break;
			}
			const auto offset = static_cast<std::chrono::microseconds::rep>(at * microseconds_per_second);
			result.push_back({std::chrono::microseconds{offset}, &stream, number++});
		}
	}
	std::sort(result.begin(), result.end(), [](const auto& a, const auto& b) { return a.at < b.at; });
	return result;
}
} // namespace gingerdyke::load
