// SPDX-License-Identifier: MIT
// JSON schema validation, based on valijson.
#include <gingerdyke/base/json_schema.hpp>
#include <string_view>
#include <valijson/adapters/nlohmann_json_adapter.hpp>
#include <valijson/schema.hpp>
#include <valijson/schema_parser.hpp>
#include <valijson/validation_results.hpp>
#include <valijson/validator.hpp>
#include <vector>

namespace gingerdyke
{
namespace
{
/// Converts a valijson error context (`<root>`, `[a]`, `[0]`) into a JSON pointer.
std::string to_pointer(const std::vector<std::string>& context)
{
	std::string pointer;
	for (const auto& element : context)
	{
		if (element.size() >= 2 && element.front() == '[')
		{
			pointer += "/" + escape_pointer_token(std::string_view{element}.substr(1, element.size() - 2));
		}
	}
	return pointer;
}
} // namespace

struct json_schema::impl
{
	valijson::Schema compiled;
};

json_schema::json_schema(const json& schema)
{
	auto implementation = std::make_shared<impl>();
	valijson::SchemaParser parser;
	const valijson::adapters::NlohmannJsonAdapter adapter{schema};
	parser.populateSchema(adapter, implementation->compiled);
	impl_ = std::move(implementation);
}

void json_schema::check(const json_source& source, const std::string& pointer, findings& output) const
{
	const auto& value_to_check = source.value().at(json::json_pointer{pointer});
	const valijson::adapters::NlohmannJsonAdapter adapter{value_to_check};
	valijson::Validator validator{valijson::Validator::kStrongTypes};
	valijson::ValidationResults results;
	if (validator.validate(impl_->compiled, adapter, &results))
	{
		return;
	}
	valijson::ValidationResults::Error error;
	while (results.popError(error))
	{
		output.push_back({source.location_of(pointer + to_pointer(error.context)), error.description});
	}
}
} // namespace gingerdyke
