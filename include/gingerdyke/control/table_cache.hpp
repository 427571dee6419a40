// SPDX-License-Identifier: MIT
// Local copy of one registry table, from which a VM answers other VMs.
#pragma once

#include <deque>
#include <gingerdyke/control/row_store.hpp>
#include <limits>
#include <map>
#include <optional>
#include <set>

namespace gingerdyke::control
{
/// \brief The rows of one table, including tombstones of removed rows so that removals can be reported as
/// changes.
class table_cache
{
  public:
	explicit table_cache(std::string table) : table_(std::move(table)) {}

	/// \brief Replaces the copy by the full table.
	/// \param era Era of the versions; none if the source does not tell.
	void replace(const std::vector<row>& rows, row_version newest, std::optional<registry_era> era = {});

	/// \brief Applies changes.
	/// \returns The rows that changed, by version: for several changes of a row only the last one, and none
	/// that is older than the known row. The result is therefore the same for every reader, however the
	/// changes were batched.
	std::vector<row> apply(const std::vector<row>& rows, row_version newest);

	/// \brief Records that the copy was the newest at `at`, and the registry's clock at `now`.
	void confirm(instant at, registry_time registry_now, instant now);

	/// \brief Records that the copy was still the newest at `at`; has no effect before the table was read.
	void extend_confirmation(instant at);

	/// \brief Returns the full table, or the changes after a version if the history goes back that far.
	/// \param after None for the full table.
	/// \param max_value_bytes Rows with a value of this size or more are left out.
	[[nodiscard]] store_result<row_batch> read(std::optional<row_version> after, instant now,
		std::size_t max_value_bytes = std::numeric_limits<std::size_t>::max()) const;

	/// \brief Returns the rows with large values among those of `read`; valid until the next change.
	[[nodiscard]] std::vector<const row*> large_rows(std::optional<row_version> after) const;

	/// \brief Returns the value that a row had at a version, if that is the current one or one of the last
	/// large ones; null otherwise.
	[[nodiscard]] const std::string* find_value(const std::string& key, row_version version) const;

	/// \brief Returns the result of `read` without its rows.
	[[nodiscard]] store_result<row_batch> read_metadata(instant now) const;

	/// \brief Whether any row changed after a version.
	[[nodiscard]] bool has_changes_after(row_version after) const noexcept { return newest_change_ > after; }

	/// \brief Whether the table has been read.
	[[nodiscard]] bool is_loaded() const noexcept { return confirmed_at_.has_value(); }

	/// \brief Time since the copy was last known to be the newest; requires `is_loaded()`.
	[[nodiscard]] duration age(instant now) const { return now - *confirmed_at_; }

	[[nodiscard]] const std::string& table() const noexcept { return table_; }

	/// \brief Era of the versions; none if no source told it.
	[[nodiscard]] std::optional<registry_era> era() const noexcept { return era_; }

  private:
	/// Orders rows by version; rows of one transaction share theirs.
	struct by_version
	{
		bool operator()(const row* a, const row* b) const noexcept
		{
			return a->version != b->version ? a->version < b->version : a->key < b->key;
		}
	};

	void put(const row& table_row);
	void drop(const std::string& key);
	void keep_previous(const row& table_row);
	void prune_tombstones();
	void clear();

	std::string table_;
	std::map<std::string, row> rows_;

	/// The same rows by version: a VM that polls has most of them already.
	std::set<const row*, by_version> rows_by_version_;

	/// Those with large values.
	std::set<const row*, by_version> large_rows_;
	std::size_t tombstones_ = 0;

	/// Replaced large rows, the latest first: other VMs may have them, and are sent only what changed since.
	std::deque<row> previous_rows_;
	std::optional<registry_era> era_;
	row_version newest_;
	row_version newest_change_;

	/// Oldest version after which all changes are known.
	row_version history_start_;
	std::optional<instant> confirmed_at_;
	duration registry_clock_offset_{};
};
} // namespace gingerdyke::control
