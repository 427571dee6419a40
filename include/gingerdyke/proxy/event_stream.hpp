// SPDX-License-Identifier: MIT
// Splits a stream of server-sent events (SSE) into events and checks that their ids are consecutive.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace gingerdyke::proxy
{
/// \brief Result of parsing one part of the stream.
struct event_batch
{
	/// Complete events, byte for byte as received, each with the empty line that ends it.
	std::vector<std::string> events;

	/// The stream must not be read further: an id was skipped or repeated, or an event is too large.
	bool is_broken{};
};

/// \brief Parses the events of one response, which may be continued by further attempts.
class event_stream
{
  public:
	/// \param last Id of the last event that the caller has received; none if it has received none.
	/// \param max_event_bytes Largest size of one event.
	explicit event_stream(std::optional<std::uint64_t> last = {}, std::size_t max_event_bytes = 1U << 20U)
		: last_id_(last), max_event_bytes_(max_event_bytes)
	{
	}

	/// \brief Parses a further part of the body.
	[[nodiscard]] event_batch feed(std::string_view bytes);

	/// \brief Discards an incomplete event, so that another attempt can continue the stream.
	void drop_partial() { partial_.clear(); }

	/// \brief Size of the incomplete event that is buffered.
	[[nodiscard]] std::size_t partial_size() const noexcept { return partial_.size(); }

	/// \brief Whether no incomplete event is buffered; blank lines are none.
	[[nodiscard]] bool at_event_boundary() const noexcept
	{
		return partial_.find_first_not_of('\n') == std::string::npos;
	}

	/// \brief Id of the last complete event; none before the first.
	[[nodiscard]] std::optional<std::uint64_t> last_id() const noexcept { return last_id_; }

  private:
	[[nodiscard]] bool accept(std::string_view event);

	std::optional<std::uint64_t> last_id_;
	std::size_t max_event_bytes_;
	std::string partial_;
};

/// \brief The number in an event's `id` line; none if there is no such line or it holds no number.
[[nodiscard]] std::optional<std::uint64_t> event_id(std::string_view event);
} // namespace gingerdyke::proxy
