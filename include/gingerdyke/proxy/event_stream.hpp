// SPDX-License-Identifier: MIT
// Cuts a stream of server-sent events into whole events and checks that their ids rise without a hole.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace gingerdyke::proxy
{
/// \brief What a piece of the stream brought.
struct event_batch
{
	/// Whole events, each with the empty line that ends it, byte by byte as they came.
	std::vector<std::string> events;

	/// The stream is not to be read on: an id is missing, repeated or no number, or an event grew too large.
	bool is_broken{};
};

/// \brief Follows one answer's events over all attempts that make it.
class event_stream
{
  public:
	/// \param last Id of the last event that the caller has; none: it has none.
	/// \param max_event_bytes Bytes of one event at most.
	explicit event_stream(std::optional<std::uint64_t> last = {}, std::size_t max_event_bytes = 1U << 20U)
		: last_id_(last), max_event_bytes_(max_event_bytes)
	{
	}

	/// \brief Adds bytes of the body.
	[[nodiscard]] event_batch feed(std::string_view bytes);

	/// \brief Drops half an event; for going on with another attempt.
	void drop_partial() { partial_.clear(); }

	/// \brief True where the stream stands between two events.
	[[nodiscard]] bool at_event_boundary() const noexcept { return partial_.empty(); }

	/// \brief Id of the last whole event; none before the first.
	[[nodiscard]] std::optional<std::uint64_t> last_id() const noexcept { return last_id_; }

  private:
	[[nodiscard]] bool accept(std::string_view event);

	std::optional<std::uint64_t> last_id_;
	std::size_t max_event_bytes_;
	std::string partial_;
};

/// \brief The number in an event's `id` line; none where it has none.
[[nodiscard]] std::optional<std::uint64_t> event_id(std::string_view event);
} // namespace gingerdyke::proxy
