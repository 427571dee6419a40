// SPDX-License-Identifier: MIT
// The response of a smaller model, kept until it is known whether a larger model's can be had.
#pragma once

#include <gingerdyke/proxy/attempt.hpp>
#include <gingerdyke/proxy/event_stream.hpp>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace gingerdyke::proxy
{
/// \brief How far a held response has come.
enum class held_state
{
	/// More is to come.
	arriving,
	/// All of it has arrived.
	whole,
	/// More has arrived than may be kept.
	full,
	/// It is no valid response and can't be used.
	broken,
};

/// \brief Keeps a response whose head has arrived, with the attempt that it belongs to. Whoever holds it ends
/// the attempt.
class held_response
{
  public:
	/// Largest number of bytes that are kept.
	static constexpr std::size_t max_bytes = std::size_t{256} * 1024;

	/// \param source Attempt with the response head, before any of the body.
	/// \param parser Parser of the stream, after the events that the caller has received before.
	held_response(attempt source, event_stream parser)
		: source_(std::move(source)), parser_(std::move(parser))
	{
	}

	/// \brief Keeps a further part of the body.
	held_state add(std::string_view bytes, instant now);

	/// \brief Records that the body has ended.
	held_state end();

	/// \brief Size of what is kept.
	[[nodiscard]] std::size_t size() const noexcept { return byte_count_; }

	[[nodiscard]] bool is_whole() const noexcept { return state_ == held_state::whole; }

	[[nodiscard]] attempt& source() noexcept { return source_; }
	[[nodiscard]] const attempt& source() const noexcept { return source_; }

	/// \brief The events of a stream that are complete.
	[[nodiscard]] const std::vector<std::string>& events() const noexcept { return events_; }

	/// \brief The parser of a stream, to go on with after the events that are complete.
	[[nodiscard]] const event_stream& parser() const noexcept { return parser_; }

  private:
	void add_events(std::string_view bytes, instant now);

	attempt source_;
	event_stream parser_;
	std::vector<std::string> events_;
	std::size_t byte_count_ = 0;
	held_state state_{held_state::arriving};
};
} // namespace gingerdyke::proxy
