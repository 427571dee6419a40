// SPDX-License-Identifier: MIT
// Reads server-sent events from bytes that come in pieces.
#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace gingerdyke::http
{
/// \brief Collects bytes and gives out the data of whole events.
class sse_reader
{
  public:
	/// \param largest_event Bytes of one event at most.
	explicit sse_reader(std::size_t largest_event = 1U << 20U) : largest_event_(largest_event) {}

	/// \brief Adds bytes.
	/// \returns False where an event grew too large: the source can't be read on.
	[[nodiscard]] bool feed(std::string_view bytes);

	/// \brief The data of the next whole event; nothing until more bytes come.
	[[nodiscard]] std::optional<std::string> next();

  private:
	std::size_t largest_event_;
	std::string buffer_;
	std::size_t read_ = 0;
};
} // namespace gingerdyke::http
