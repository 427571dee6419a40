// SPDX-License-Identifier: MIT
// Header fields, their validation and filtering, and serialization of messages.
#include <algorithm>
#include <array>
#include <charconv>
#include <gingerdyke/proxy/message.hpp>
#include <ostream>

#include <boost/beast/http/status.hpp>

namespace gingerdyke::proxy
{
namespace
{
constexpr std::string_view line_end = "\r\n";

/// Hop-by-hop fields, and the field that frames the body.
constexpr std::array<std::string_view, 10> hop_by_hop_fields{"Connection", "Keep-Alive", "Proxy-Connection",
	"Proxy-Authenticate", "Proxy-Authorization", "TE", "Trailer", "Transfer-Encoding", "Upgrade",
	"Content-Length"};

bool is_hop_by_hop(std::string_view name) noexcept
{
	return std::any_of(hop_by_hop_fields.begin(), hop_by_hop_fields.end(),
		[name](std::string_view listed) { return equals_ignore_case(listed, name); });
}

void append_fields(std::string& out, const header_fields& fields)
{
	for (const auto& [name, value] : fields)
	{
		out += name;
		out += ": ";
		out += value;
		out += line_end;
	}
}

/// What is wrong with one line of a header block, without its line end. The first line is the request line.
std::optional<std::string> find_line_fault(std::string_view line, bool is_first)
{
	if (http_fields::has_control_byte(line))
	{
		return "control byte in the header";
	}
	if (is_first)
	{
		return std::nullopt;
	}
	if (line.front() == ' ' || line.front() == '\t')
	{
		return "folded header line";
	}
	const auto colon = line.find(':');
	if (colon == std::string_view::npos || colon == 0)
	{
		return "header line without a name";
	}
	if (line.substr(0, colon).find_first_of(" \t") != std::string_view::npos)
	{
		return "blank in a header name";
	}
	return std::nullopt;
}

/// Counts of the fields that determine the length and the target host of a message.
struct framing_fields
{
	unsigned lengths{};
	unsigned encodings{};
	unsigned hosts{};
	bool is_plain_chunked{true};
};

void count_framing_fields(std::string_view line, framing_fields& counts)
{
	const auto colon = line.find(':');
	const auto name = line.substr(0, colon);
	if (equals_ignore_case(name, "Content-Length"))
	{
		++counts.lengths;
	}
	if (equals_ignore_case(name, "Host"))
	{
		++counts.hosts;
	}
	if (equals_ignore_case(name, "Transfer-Encoding"))
	{
		++counts.encodings;
		counts.is_plain_chunked = !http_fields::is_unknown_transfer_coding(name, line.substr(colon + 1));
	}
}

std::optional<std::string> find_framing_fault(const framing_fields& count)
{
	if (count.lengths > 1)
	{
		return "two lengths";
	}
	if (count.lengths + count.encodings > 1)
	{
		return "length and transfer encoding";
	}
	if (!count.is_plain_chunked)
	{
		return "transfer encoding other than chunked";
	}
	if (count.hosts != 1)
	{
		return "not exactly one host";
	}
	return std::nullopt;
}
} // namespace

const std::string* find_field(const header_fields& fields, std::string_view name) noexcept
{
	const auto found = std::find_if(fields.begin(), fields.end(),
		[name](const header_field& field) { return equals_ignore_case(field.name, name); });
	return found == fields.end() ? nullptr : &found->value;
}

bool has_unknown_transfer_coding(const header_fields& fields) noexcept
{
	return std::any_of(fields.begin(), fields.end(),
		[](const header_field& field)
		{ return http_fields::is_unknown_transfer_coding(field.name, field.value); });
}

bool has_token(std::string_view list, std::string_view token) noexcept
{
	while (!list.empty())
	{
		const auto comma = list.find(',');
		if (equals_ignore_case(http_fields::trim(list.substr(0, comma)), token))
		{
			return true;
		}
		list = comma == std::string_view::npos ? std::string_view{} : list.substr(comma + 1);
	}
	return false;
}

header_fields without_hop_by_hop_fields(const header_fields& fields)
{
	std::string connection_listed;
	for (const auto& [name, value] : fields)
	{
		if (equals_ignore_case(name, "Connection"))
		{
			connection_listed += value + ",";
		}
	}
	header_fields forwarded;
	for (const auto& field : fields)
	{
		if (!is_hop_by_hop(field.name) && !has_token(connection_listed, field.name))
		{
			forwarded.push_back(field);
		}
	}
	return forwarded;
}

std::string_view request::path() const noexcept
{
	const std::string_view whole = target;
	return whole.substr(0, whole.find('?'));
}

std::optional<std::string> find_header_fault(std::string_view block)
{
	framing_fields count;
	bool is_first = true;
	while (!block.empty())
	{
		const auto end = block.find('\n');
		if (end == std::string_view::npos || end == 0 || block[end - 1] != '\r')
		{
			return "line that does not end with carriage return and line feed";
		}
		const auto line = block.substr(0, end - 1);
		block.remove_prefix(end + 1);
		if (line.empty())
		{
			break;
		}
		if (auto fault = find_line_fault(line, is_first))
		{
			return fault;
		}
		if (!is_first)
		{
			count_framing_fields(line, count);
		}
		is_first = false;
	}
	return find_framing_fault(count);
}

std::string write_request_head(const request& outgoing, std::size_t body_size, const header_fields& fields)
{
	constexpr std::size_t usual_bytes = 512;
	std::string out;
	out.reserve(usual_bytes);
	out += outgoing.method + " " + outgoing.target + " HTTP/1.1\r\n";
	append_fields(out, fields);
	const bool may_be_empty =
		outgoing.method == "GET" || outgoing.method == "HEAD" || outgoing.method == "DELETE";
	if (body_size > 0 || !may_be_empty)
	{
		out += "Content-Length: " + std::to_string(body_size) + "\r\n";
	}
	out += line_end;
	return out;
}

std::string write_head(
	int status, std::string_view reason, const header_fields& fields, const header_fields& framing)
{
	std::string out = "HTTP/1.1 " + std::to_string(status) + " ";
	out += reason;
	out += line_end;
	append_fields(out, fields);
	append_fields(out, framing);
	out += line_end;
	return out;
}

std::string write_chunk(std::string_view bytes)
{
	constexpr int hexadecimal = 16;
	std::array<char, 16> size{};
	const auto written = std::to_chars(size.data(), size.data() + size.size(), bytes.size(), hexadecimal);
	std::string out{size.data(), written.ptr};
	out += line_end;
	out += bytes;
	out += line_end;
	return out;
}

std::string_view reason_phrase(int status) noexcept
{
	const auto text = boost::beast::http::obsolete_reason(static_cast<boost::beast::http::status>(status));
	return {text.data(), text.size()};
}
} // namespace gingerdyke::proxy
