// SPDX-License-Identifier: MIT
// Checks of responses that the HTTP library has read.
#include <gingerdyke/base/http_fields.hpp>
#include <gingerdyke/base/http_status.hpp>
#include <gingerdyke/http/response_check.hpp>

namespace gingerdyke::http
{
namespace
{
const char* find_field_fault(const std::string& name, const std::string& value)
{
	if (!http_fields::is_valid_name(name))
	{
		return "invalid name of a field";
	}
	if (http_fields::has_control_byte(value))
	{
		return "control byte in a value";
	}
	if (http_fields::is_unknown_transfer_coding(name, value))
	{
		return "transfer coding other than chunked";
	}
	return nullptr;
}
} // namespace

const char* find_response_fault(const httplib::Response& response)
{
	if (!http_status::is_final(response.status))
	{
		return "status that is not a final one";
	}
	for (const auto& [name, value] : response.headers)
	{
		if (const auto* fault = find_field_fault(name, value))
		{
			return fault;
		}
	}
	const auto lengths = response.get_header_value_count("Content-Length");
	const auto codings = response.get_header_value_count("Transfer-Encoding");
	return lengths + codings > 1 ? "more than one length or transfer coding" : nullptr;
}
} // namespace gingerdyke::http
