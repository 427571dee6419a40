// SPDX-License-Identifier: MIT
// Reads server-sent events: `data:` lines up to an empty line; other fields and comments are passed over.
#include <gingerdyke/http/sse_reader.hpp>

namespace gingerdyke::http
{
namespace
{
constexpr std::string_view data_field = "data:";

std::string_view without_carriage_return(std::string_view line)
{
	return line.ends_with('\r') ? line.substr(0, line.size() - 1) : line;
}
} // namespace

bool sse_reader::feed(std::string_view bytes)
{
	buffer_.erase(0, read_);
	read_ = 0;
	buffer_ += bytes;
	return buffer_.size() <= largest_event_;
}

std::optional<std::string> sse_reader::next()
{
	std::string data;
	bool has_data = false;
	auto at = read_;
	while (true)
	{
		const auto end = buffer_.find('\n', at);
		if (end == std::string::npos)
		{
			return std::nullopt;
		}
		const auto line = without_carriage_return(std::string_view{buffer_}.substr(at, end - at));
		at = end + 1;
		if (line.empty())
		{
			read_ = at;
			if (has_data)
			{
				return data;
			}
			continue;
		}
		if (line.starts_with(data_field))
		{
			auto value = line.substr(data_field.size());
			value.remove_prefix(value.starts_with(' ') ? 1 : 0);
			data += has_data ? "\n" : "";
			data += value;
			has_data = true;
		}
	}
}
} // namespace gingerdyke::http
