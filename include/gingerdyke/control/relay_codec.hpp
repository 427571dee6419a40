// SPDX-License-Identifier: MIT
// Wire format with which VMs read the registry through each other: a four-byte length, then a Thrift struct.
#pragma once

#include <gingerdyke/control/peer_report.hpp>
#include <gingerdyke/control/row_store.hpp>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace gingerdyke::control
{
/// \brief A version of a row with a large value.
struct known_row
{
	std::string key;
	row_version version;
};

/// \brief A row with a large value, as compressed by `compress_value`.
struct compressed_row
{
	std::string key;
	row_version version;

	/// Version whose value is the base; none if the value is compressed by itself. If it equals `version`,
	/// there are no bytes: the receiver has the value.
	std::optional<row_version> base;
	std::shared_ptr<const std::string> bytes;
};

/// \brief A long poll of another VM for a full table or for its changes.
struct relay_poll
{
	/// Identifies the call; the response repeats it.
	std::int64_t call_id{};
	std::string table;

	/// Version to continue from; none for the full table.
	std::optional<row_version> after;

	/// How long to wait if there are no changes.
	duration wait{};

	/// Maximum age of a usable copy; a poll that waits is answered as soon as the copy exceeds it. None if
	/// any age is acceptable.
	std::optional<duration> max_age;

	/// Report of the calling VM; none if another of its calls carries it.
	std::optional<peer_report> report;

	/// Era of `after` and `known_rows`; none if it is not known.
	std::optional<registry_era> era{};

	/// Large rows that the caller has; none if it does not decode compressed rows.
	std::optional<std::vector<known_row>> known_rows{};
};

/// \brief The response to a poll.
struct relay_response
{
	std::int64_t call_id{};
	store_result<row_batch> result{row_batch{}};

	/// The rows as packed by `pack_rows`, in place of those in `result`; null if the rows are in `result`.
	std::shared_ptr<const std::string> packed;

	/// Rows in addition to these.
	std::vector<compressed_row> compressed_rows;

	/// Whether the responding VM itself reads the registry through another VM.
	bool is_relayed{};

	/// Present if the poll carried a report.
	std::optional<peer_summary> summary;
};

/// Maximum frame size, in bytes. A full table of the designed size (1,600 replicas) takes half a megabyte.
inline constexpr std::size_t max_frame_bytes = 8U << 20U;

/// Size of the length prefix of a frame, in bytes.
inline constexpr std::size_t frame_header_bytes = 4;

/// \brief Encodes a frame, including its length prefix.
[[nodiscard]] std::string write_frame(const relay_poll& poll);

/// \copydoc write_frame
[[nodiscard]] std::string write_frame(const relay_response& response);

/// \brief Returns the frame length encoded in the first bytes; none if it exceeds the maximum.
[[nodiscard]] std::optional<std::size_t> frame_length(std::string_view first_bytes);

/// \brief Decodes a poll from a frame without its length prefix; none if malformed.
[[nodiscard]] std::optional<relay_poll> read_poll(std::string_view frame);

/// \brief Decodes a response from a frame without its length prefix; none if malformed. Its rows carry no
/// table name, as it is known from the poll.
[[nodiscard]] std::optional<relay_response> read_response(std::string_view frame);
} // namespace gingerdyke::control
