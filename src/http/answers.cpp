// SPDX-License-Identifier: MIT
// Answers to callers and operators.
#include <gingerdyke/base/crypto.hpp>
#include <gingerdyke/base/http_status.hpp>
#include <gingerdyke/http/answers.hpp>

namespace gingerdyke::http
{
namespace
{
constexpr std::int64_t microseconds_per_millisecond = 1000;
constexpr std::int64_t microseconds_per_second = 1'000'000;

const char* type_of(int status)
{
	switch (status)
	{
	case http_status::unauthorized:
		return "authentication_error";
	case http_status::forbidden:
		return "permission_error";
	case http_status::not_found:
		return "not_found_error";
	case http_status::too_many_requests:
		return "rate_limit_error";
	default:
		return status >= http_status::lowest_server_error ? "server_error" : "invalid_request_error";
	}
}
} // namespace

json error_body(int status, const std::string& code, const std::string& message)
{
	return {{"error", {{"message", message}, {"type", type_of(status)}, {"param", nullptr}, {"code", code}}}};
}

void set_error(httplib::Response& response, int status, const std::string& code, const std::string& message)
{
	set_json(response, status, error_body(status, code, message));
}

void set_findings(httplib::Response& response, int status, const std::string& code, const findings& wrong)
{
	auto text = to_text(wrong);
	while (text.ends_with('\n'))
	{
		text.pop_back();
	}
	auto body = error_body(status, code, text);
	auto list = json::array();
	for (const auto& one : wrong)
	{
		list.push_back(
			{{"pointer", one.location.pointer}, {"line", one.location.line}, {"message", one.message}});
	}
	body["error"]["findings"] = std::move(list);
	response.set_header("Gingerdyke-Outcome", node::name_of(node::outcome::not_run));
	set_json(response, status, body);
}

void set_refusal(httplib::Response& response, const node::refuse_order& refusal)
{
	if (refusal.retry_after)
	{
		const auto wait = refusal.retry_after->count();
		const auto seconds = (wait + microseconds_per_second - 1) / microseconds_per_second;
		const auto milliseconds = (wait + microseconds_per_millisecond - 1) / microseconds_per_millisecond;
		response.set_header("Retry-After", std::to_string(std::max<std::int64_t>(seconds, 1)));
		response.set_header("Retry-After-Ms", std::to_string(std::max<std::int64_t>(milliseconds, 1)));
	}
	const auto status = refusal.status == 0 ? http_status::bad_request : refusal.status;
	set_error(response, status, refusal.facts.reason, refusal.message);
}

void set_facts(httplib::Response& response, const request_id& id, const node::request_facts& facts)
{
	response.set_header("Gingerdyke-Request-Id", id.str());
	response.set_header("X-Request-Id", id.str());
	response.set_header("Gingerdyke-Outcome", node::name_of(facts.ran));
	if (!facts.version.empty())
	{
		response.set_header("Gingerdyke-Version", facts.version.str());
	}
}

void set_json(httplib::Response& response, int status, const json& body)
{
	response.status = status;
	response.set_content(body.dump(-1, ' ', false, json::error_handler_t::replace), "application/json");
}

std::string bearer_digest(const httplib::Request& request)
{
	constexpr std::string_view scheme = "Bearer ";
	const auto header = request.get_header_value("Authorization");
	if (!header.starts_with(scheme) || header.size() == scheme.size())
	{
		return {};
	}
	return sha256_hex(std::string_view{header}.substr(scheme.size()));
}
} // namespace gingerdyke::http
