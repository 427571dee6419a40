// SPDX-License-Identifier: MIT
// Encodes the rows of a table for the VMs that poll them.
#pragma once

#include <gingerdyke/control/relay_codec.hpp>
#include <gingerdyke/control/table_cache.hpp>
#include <map>

namespace gingerdyke::control
{
/// \brief Packs and compresses rows. Results are kept, as all VMs of a failure domain request the same rows
/// at about the same time.
class row_encoder
{
  public:
	/// \brief Adds the rows that a poll asks for: large ones as the difference to what the caller has, if it
	/// decodes that. An error if the copy cannot tell them.
	void add_rows(const table_cache& from, const relay_poll& poll, instant now, relay_response& to);

  private:
	struct packed_batch
	{
		std::optional<registry_era> era;

		/// Version that the rows follow; none for the full table.
		std::optional<row_version> after;

		/// Version of the table.
		row_version newest;

		/// Rows with a value of this size or more are left out.
		std::size_t max_value_bytes{};
		std::shared_ptr<const std::string> bytes;
	};

	struct compressed_value
	{
		std::optional<registry_era> era;
		row_version version;
		std::optional<row_version> base;
		std::shared_ptr<const std::string> bytes;
	};

	void add_packed_rows(const table_cache& from, const relay_poll& poll, instant now, relay_response& to);
	[[nodiscard]] compressed_row compress(
		const table_cache& from, const row& large, std::optional<row_version> base);

	/// By table.
	std::map<std::string, std::vector<packed_batch>> packed_batches_;

	/// By table and key.
	std::map<std::pair<std::string, std::string>, std::vector<compressed_value>> compressed_values_;
};
} // namespace gingerdyke::control
