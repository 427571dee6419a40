// SPDX-License-Identifier: MIT
// Frames with which VMs read the registry through each other: four bytes of length, then a Thrift struct.
#pragma once

#include <gingerdyke/control/peer_report.hpp>
#include <gingerdyke/control/row_store.hpp>
#include <optional>
#include <string>
#include <string_view>

namespace gingerdyke::control
{
/// \brief A call to another VM: a table, or what changed of it.
struct relay_poll
{
	/// Number by which the answer is matched.
	std::int64_t call{};
	std::string table;

	/// Version to continue from; none: the whole table.
	std::optional<row_version> after;

	/// How long to wait where there is no news.
	duration wait{};

	/// A copy that is older than this is of no use to the VM that calls: it is answered at once. None: any
	/// is.
	std::optional<duration> oldest;

	/// What the VM that calls has to tell; none where another call of it tells.
	std::optional<peer_report> report;
};

/// \brief The answer to a call.
struct relay_answer
{
	std::int64_t call{};
	store_result<row_batch> result{row_batch{}};

	/// The rows as `pack_rows` made them, in place of those in the result; null: they are there.
	std::shared_ptr<const std::string> packed;

	/// The VM that answers reads the registry through another one itself.
	bool is_relayed{};

	/// There where the call came with a report.
	std::optional<peer_summary> summary;
};

/// Largest frame, in bytes: a whole table of the size to design for (1,600 replicas) takes half a megabyte.
inline constexpr std::size_t largest_relay_frame = 8U << 20U;

/// Bytes of the length before each frame.
inline constexpr std::size_t relay_length_bytes = 4;

/// \brief Writes a frame with its length.
[[nodiscard]] std::string write_frame(const relay_poll& poll);

/// \copydoc write_frame
[[nodiscard]] std::string write_frame(const relay_answer& answer);

/// \brief Length that a frame's first bytes state; none where it is over the largest.
[[nodiscard]] std::optional<std::size_t> frame_length(std::string_view first_bytes);

/// \brief Reads a frame without its length; none where it is not one.
[[nodiscard]] std::optional<relay_poll> read_poll(std::string_view frame);

/// \brief Reads a frame without its length; none where it is not one. Its rows name no table: the call did.
[[nodiscard]] std::optional<relay_answer> read_answer(std::string_view frame);
} // namespace gingerdyke::control
