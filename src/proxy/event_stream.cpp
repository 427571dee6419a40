// SPDX-License-Identifier: MIT
// Splits a stream of server-sent events (SSE) into events.
#include <charconv>
#include <gingerdyke/proxy/event_stream.hpp>

namespace gingerdyke::proxy
{
event_batch event_stream::feed(std::string_view bytes)
{
	event_batch batch;
	// The empty line may be split between two parts: search from the last byte of the previous one.
	std::size_t search = partial_.empty() ? 0 : partial_.size() - 1;
	partial_ += bytes;
	std::size_t start = 0;
	for (auto end = partial_.find("\n\n", search); end != std::string::npos;
		 end = partial_.find("\n\n", start))
	{
		auto event = partial_.substr(start, end + 2 - start);
		start = end + 2;
		if (!accept(event))
		{
			batch.is_broken = true;
			return batch;
		}
		batch.events.push_back(std::move(event));
	}
	partial_.erase(0, start);
	batch.is_broken = partial_.size() > max_event_bytes_;
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
