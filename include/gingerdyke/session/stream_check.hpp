// SPDX-License-Identifier: MIT
// Matches each chunk of a streamed answer to its request: nothing foreign, nothing twice, no hole.
#pragma once

#include <cstdint>
#include <gingerdyke/base/ids.hpp>
#include <string_view>

namespace gingerdyke::session
{
/// \brief What to do with a chunk.
enum class chunk_verdict
{
	/// The next one of our request: pass it on.
	pass,
	/// Ours, but passed on already: drop it.
	repeated,
	/// Another request's: drop it.
	foreign,
	/// Ours, but one before it is missing: the answer can't be passed on from this source.
	gap,
};

/// \brief Follows one request's chunks over all its attempts.
class stream_check
{
  public:
	explicit stream_check(request_id id) : id_(std::move(id)) {}

	/// \brief Judges a chunk; one that passes is counted as passed on.
	/// \param id The request that the chunk names.
	/// \param offset The chunk's position, from 0.
	[[nodiscard]] chunk_verdict on_chunk(std::string_view id, std::uint64_t offset)
	{
		if (id != id_.str())
		{
			++dropped_;
			return chunk_verdict::foreign;
		}
		if (offset < next_)
		{
			++dropped_;
			return chunk_verdict::repeated;
		}
		if (offset > next_)
		{
			return chunk_verdict::gap;
		}
		++next_;
		return chunk_verdict::pass;
	}

	/// \brief Chunks passed on so far: the next attempt resumes after them.
	[[nodiscard]] std::uint64_t passed() const noexcept { return next_; }

	/// \brief Chunks dropped so far.
	[[nodiscard]] std::uint64_t dropped() const noexcept { return dropped_; }

  private:
	request_id id_;
	std::uint64_t next_ = 0;
	std::uint64_t dropped_ = 0;
};
} // namespace gingerdyke::session
