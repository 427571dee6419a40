// SPDX-License-Identifier: MIT
// Splits a stream of server-sent events (SSE) into events.
#include <algorithm>
#include <charconv>
#include <gingerdyke/proxy/event_stream.hpp>

namespace gingerdyke::proxy
{
namespace
{
/// Maximum number of blank lines before an event. They are passed on with it.
constexpr std::size_t max_blank_lines = 1024;

/// \returns Position of the first byte of an event after the blank lines before it.
std::size_t skip_blank_lines(std::string_view bytes, std::size_t from)
{
	return std::min(bytes.find_first_not_of('\n', from), bytes.size());
}
} // namespace

event_batch event_stream::feed(std::string_view bytes)
{
	event_batch batch;
	// The empty line may be split between two parts: search from the last byte of the previous one.
	const std::size_t search = partial_.empty() ? 0 : partial_.size() - 1;
	partial_ += bytes;
	std::size_t start = 0;
	auto content = skip_blank_lines(partial_, start);
	for (auto end = partial_.find("\n\n", std::max(search, content)); end != std::string::npos;
		 end = partial_.find("\n\n", content))
	{
		auto event = partial_.substr(start, end + 2 - start);
		start = end + 2;
		if (!accept(event))
		{
			batch.is_broken = true;
			return batch;
		}
		batch.events.push_back(std::move(event));
		content = skip_blank_lines(partial_, start);
	}
	batch.is_broken = partial_.size() - start > max_event_bytes_ || content - start > max_blank_lines;
	partial_.erase(0, start);
	return batch;
}

bool event_stream::accept(std::string_view event)
{
	const auto id = event_id(event);
	if (!id)
	{
		return true;
	}
	if (last_id_ && *id != *last_id_ + 1)
	{
		return false;
	}
	last_id_ = id;
	return true;
}

std::optional<std::uint64_t> event_id(std::string_view event)
{
	while (!event.empty())
	{
		const auto end = event.find('\n');
		auto line = event.substr(0, end);
		event = end == std::string_view::npos ? std::string_view{} : event.substr(end + 1);
		if (!line.starts_with("id:"))
		{
			continue;
		}
		line.remove_prefix(3);
		while (!line.empty() && line.front() == ' ')
		{
			line.remove_prefix(1);
		}
		std::uint64_t number = 0;
		const auto read = std::from_chars(line.data(), line.data() + line.size(), number);
		if (read.ec == std::errc{})
		{
			return number;
		}
	}
	return std::nullopt;
}
} // namespace gingerdyke::proxy
