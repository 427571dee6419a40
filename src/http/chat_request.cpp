// SPDX-License-Identifier: MIT
// Chat requests as callers send them.
#include <gingerdyke/base/crypto.hpp>
#include <gingerdyke/base/json_schema.hpp>
#include <gingerdyke/http/chat_request.hpp>

namespace gingerdyke::http
{
namespace
{
/// Fields that routing depends on are checked; the rest is the engine's affair and passed on.
constexpr const char* schema_text = R"json({
	"type": "object",
	"required": ["model", "messages"],
	"properties": {
		"model": {"type": "string", "minLength": 1, "maxLength": 256},
		"stream": {"type": "boolean"},
		"n": {"type": "integer", "minimum": 1, "maximum": 1},
		"max_tokens": {"type": "integer", "minimum": 1},
		"messages": {"type": "array", "minItems": 1, "items": {
			"type": "object", "required": ["role"],
			"properties": {
				"role": {"enum": ["system", "developer", "user", "assistant", "tool"]},
				"content": {"type": ["string", "array", "null"]}
			}}}
	}
})json";

const json_schema& schema()
{
	static const json_schema compiled{schema_text};
	return compiled;
}
} // namespace

checked<chat_request> read_chat_request(std::string_view body)
{
	auto source = json_source::parse("body", body);
	if (!source)
	{
		return tl::make_unexpected(std::move(source.error()));
	}
	findings wrong;
	schema().check(*source, "", wrong);
	if (!wrong.empty())
	{
		return tl::make_unexpected(std::move(wrong));
	}
	chat_request result;
	result.body = source->value();
	result.model = result.body.at("model").get<std::string>();
	result.streamed = result.body.value("stream", false);
	const auto first = result.body.at("messages").front().dump();
	result.prefix = stable_hash(first) | 1U;
	return result;
}
} // namespace gingerdyke::http
