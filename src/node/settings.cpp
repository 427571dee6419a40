// SPDX-License-Identifier: MIT
// Settings: first the schema, then the meaning.
#include <charconv>
#include <gingerdyke/base/json_schema.hpp>
#include <gingerdyke/node/settings.hpp>

namespace gingerdyke::node
{
namespace
{
constexpr const char* schema_text = R"json({
	"type": "object", "additionalProperties": false,
	"required": ["vm", "failure_domain", "http", "peer", "peer_secret", "platform"],
	"properties": {
		"note": {"type": "string"},
		"vm": {"type": "string", "minLength": 1},
		"failure_domain": {"type": "string", "minLength": 1},
		"http": {"type": "string", "pattern": "^[0-9.]+:[0-9]+$"},
		"peer": {"type": "string", "pattern": "^[0-9.]+:[0-9]+$"},
		"peer_secret": {"type": "string", "minLength": 32},
		"platform": {
			"type": "object", "additionalProperties": false, "required": ["table_service", "vm_list"],
			"properties": {
				"table_service": {"type": "string", "pattern": "^[0-9.]+:[0-9]+$"},
				"vm_list": {"type": "string", "pattern": "^[0-9.]+:[0-9]+$"},
				"rating_service": {"type": "string", "pattern": "^[0-9.]+:[0-9]+$"},
				"calls_per_second": {"type": "number", "exclusiveMinimum": 0}
			}
		},
		"seeds": {"type": "array", "items": {
			"type": "object", "additionalProperties": false, "required": ["vm", "failure_domain", "address"],
			"properties": {
				"vm": {"type": "string", "minLength": 1},
				"failure_domain": {"type": "string", "minLength": 1},
				"address": {"type": "string", "pattern": "^[0-9.]+:[0-9]+$"}
			}}},
		"bootstrap_operator_sha256": {"type": "string", "pattern": "^[0-9a-f]{64}$"},
		"log_level": {"enum": ["trace", "debug", "info", "warn", "error"]},
		"connections": {"type": "integer", "minimum": 4, "maximum": 4096},
		"body_bytes": {"type": "integer", "minimum": 1024, "maximum": 67108864},
		"upstream_silence_ms": {"type": "integer", "minimum": 100, "maximum": 600000},
		"balancer_lag_ms": {"type": "integer", "minimum": 0, "maximum": 600000},
		"stop_limit_ms": {"type": "integer", "minimum": 0, "maximum": 3600000}
	}
})json";

constexpr unsigned default_connections = 512;
constexpr std::size_t default_body_bytes = 1U << 20U;
constexpr std::int64_t default_silence_ms = 30'000;
constexpr double default_platform_calls = 50;
constexpr std::int64_t default_balancer_lag_ms = 5'000;
constexpr std::int64_t default_stop_limit_ms = 300'000;
constexpr int highest_port = 65535;

duration milliseconds_of(const json& value, const char* key, std::int64_t otherwise)
{
	return std::chrono::milliseconds{value.value(key, otherwise)};
}

void check_endpoint(const json_source& source, const std::string& pointer, findings& into)
{
	const auto& value = source.value();
	const json::json_pointer at{pointer};
	if (!value.contains(at))
	{
		return;
	}
	const auto port = endpoint::parse(value.at(at).get<std::string>()).port;
	if (port < 1 || port > highest_port)
	{
		into.push_back({source.location_of(pointer), "the port must be from 1 to 65535"});
	}
}

void check_seeds(const json_source& source, const settings& read, findings& into)
{
	for (std::size_t i = 0; i < read.seeds.size(); ++i)
	{
		const auto& seed = read.seeds[i];
		const auto pointer = "/seeds/" + std::to_string(i);
		check_endpoint(source, pointer + "/address", into);
		if (seed.vm == read.vm &&
			(seed.failure_domain != read.failure_domain || seed.address != read.peer.str()))
		{
			into.push_back(
				{source.location_of(pointer), "names this VM with another failure domain or address"});
		}
	}
}
} // namespace

endpoint endpoint::parse(const std::string& text)
{
	const auto colon = text.rfind(':');
	if (colon == std::string::npos)
	{
		return {};
	}
	endpoint result{text.substr(0, colon), 0};
	std::from_chars(text.data() + colon + 1, text.data() + text.size(), result.port);
	return result;
}

checked<settings> read_settings(const json_source& source)
{
	findings wrong;
	json_schema{schema_text}.check(source, "", wrong);
	if (!wrong.empty())
	{
		return tl::make_unexpected(std::move(wrong));
	}
	const auto& value = source.value();
	const auto& platform = value.at("platform");
	settings result;
	result.vm = vm_id{value.at("vm").get<std::string>()};
	result.failure_domain = failure_domain_id{value.at("failure_domain").get<std::string>()};
	result.http = endpoint::parse(value.at("http").get<std::string>());
	result.peer = endpoint::parse(value.at("peer").get<std::string>());
	result.peer_secret = value.at("peer_secret").get<std::string>();
	result.table_service = endpoint::parse(platform.at("table_service").get<std::string>());
	result.vm_list = endpoint::parse(platform.at("vm_list").get<std::string>());
	result.rating_service = endpoint::parse(platform.value("rating_service", ""));
	result.platform_calls_per_second = platform.value("calls_per_second", default_platform_calls);
	for (const auto& seed : value.value("seeds", json::array()))
	{
		result.seeds.push_back({vm_id{seed.at("vm").get<std::string>()},
			failure_domain_id{seed.at("failure_domain").get<std::string>()}, membership::member_kind::entry,
			membership::member_state::live, seed.at("address").get<std::string>()});
	}
	result.bootstrap_operator_sha256 = value.value("bootstrap_operator_sha256", "");
	result.log_level = value.value("log_level", "info");
	result.connections = value.value("connections", default_connections);
	result.body_bytes = value.value("body_bytes", default_body_bytes);
	result.upstream_silence = milliseconds_of(value, "upstream_silence_ms", default_silence_ms);
	result.balancer_lag = milliseconds_of(value, "balancer_lag_ms", default_balancer_lag_ms);
	result.stop_limit = milliseconds_of(value, "stop_limit_ms", default_stop_limit_ms);

	for (const auto* pointer :
		{"/http", "/peer", "/platform/table_service", "/platform/vm_list", "/platform/rating_service"})
	{
		check_endpoint(source, pointer, wrong);
	}
	check_seeds(source, result, wrong);
	if (result.http.str() == result.peer.str())
	{
		wrong.push_back({source.location_of("/peer"), "the same address as /http"});
	}
	if (!wrong.empty())
	{
		return tl::make_unexpected(std::move(wrong));
	}
	return result;
}
} // namespace gingerdyke::node
