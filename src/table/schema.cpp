// SPDX-License-Identifier: MIT
// JSON schemas of the table's rows: the columns, their types and their bounds.
#include "schema.hpp"

namespace gingerdyke::table::impl
{
namespace
{
constexpr const char* schemas_text = R"json({
	"workspace": {
		"type": "object", "additionalProperties": false,
		"required": ["keys_sha256", "allowed", "default_class"],
		"properties": {
			"keys_sha256": {"type": "array", "minItems": 1, "items": {"type": "string", "pattern": "^[0-9a-f]{64}$"}},
			"allowed": {"type": "array", "items": {"type": "string", "pattern": "^[^@]+@[^@]+$"}},
			"services": {"type": "array", "items": {"type": "string"}},
			"default_class": {"type": "string"},
			"requests_per_second": {"type": "number", "minimum": 0},
			"quality_target": {"type": "number", "minimum": 0, "maximum": 1},
			"note": {"type": "string"}
		}
	},
	"operator": {
		"type": "object", "additionalProperties": false,
		"required": ["keys_sha256"],
		"properties": {
			"keys_sha256": {"type": "array", "minItems": 1, "items": {"type": "string", "pattern": "^[0-9a-f]{64}$"}},
			"note": {"type": "string"}
		}
	},
	"class": {
		"type": "object", "additionalProperties": false,
		"required": ["rank"],
		"properties": {
			"rank": {"type": "integer", "minimum": 0, "maximum": 9},
			"queue_limit_ms": {"type": "integer", "minimum": 0, "maximum": 600000},
			"note": {"type": "string"}
		}
	},
	"version": {
		"type": "object", "additionalProperties": false,
		"required": ["state", "micro_cost_per_1k_tokens"],
		"properties": {
			"state": {"enum": ["trial", "stable", "draining", "withdrawn"]},
			"trial_share": {"type": "number", "minimum": 0, "maximum": 1},
			"weight": {"type": "number", "minimum": 0, "maximum": 1000000},
			"tolerated_failures": {"type": "number", "exclusiveMinimum": 0, "maximum": 0.5},
			"micro_cost_per_1k_tokens": {"type": "integer", "minimum": 0},
			"quality_prior": {"type": "number", "minimum": 0, "maximum": 1},
			"note": {"type": "string"}
		}
	},
	"replica": {
		"type": "object", "additionalProperties": false,
		"required": ["failure_domain", "address", "versions"],
		"properties": {
			"failure_domain": {"type": "string", "minLength": 1},
			"address": {"type": "string", "pattern": "^[0-9.]+:[0-9]+$"},
			"versions": {"type": "array", "items": {"type": "string", "pattern": "^[^@]+@[^@]+$"}},
			"slots": {"type": "integer", "minimum": 1, "maximum": 100000},
			"checks_fences": {"type": "boolean"},
			"note": {"type": "string"}
		}
	},
	"service": {
		"type": "object", "additionalProperties": false,
		"required": ["endpoints"],
		"properties": {
			"endpoints": {"type": "array", "minItems": 1, "items": {
				"type": "object", "additionalProperties": false, "required": ["failure_domain", "address"],
				"properties": {
					"failure_domain": {"type": "string", "minLength": 1},
					"address": {"type": "string", "pattern": "^[0-9.]+:[0-9]+$"},
					"vm": {"type": "string"}
				}}},
			"not_repeatable": {"type": "array", "items": {
				"type": "object", "additionalProperties": false, "required": ["method", "path_prefix"],
				"properties": {
					"method": {"enum": ["GET", "POST", "PUT", "PATCH", "DELETE"]},
					"path_prefix": {"type": "string", "pattern": "^/"}
				}}},
			"micro_cost_per_call": {"type": "integer", "minimum": 0},
			"note": {"type": "string"}
		}
	},
	"cascade": {
		"type": "object", "additionalProperties": false,
		"required": ["steps"],
		"properties": {
			"steps": {"type": "array", "minItems": 1, "maxItems": 8, "items": {"type": "string", "minLength": 1}},
			"note": {"type": "string"}
		}
	},
	"settings": {
		"type": "object", "additionalProperties": false,
		"required": ["session_key"],
		"properties": {
			"session_key": {"type": "string", "minLength": 32},
			"trial_freshness_ms": {"type": "integer", "minimum": 1000, "maximum": 3600000},
			"permit_batch": {"type": "integer", "minimum": 1, "maximum": 1000},
			"note": {"type": "string"}
		}
	}
})json";
} // namespace

const std::map<std::string, json_schema, std::less<>>& row_schemas()
{
	static const auto schemas = []
	{
		std::map<std::string, json_schema, std::less<>> compiled;
		const auto texts = json::parse(schemas_text);
		for (const auto& [kind, schema] : texts.items())
		{
			compiled.emplace(kind, json_schema{schema});
		}
		return compiled;
	}();
	return schemas;
}
} // namespace gingerdyke::table::impl
