// SPDX-License-Identifier: MIT
// A VM's copy of one table of the registry, from which it answers other VMs.
#pragma once

#include <gingerdyke/control/row_store.hpp>
#include <map>
#include <optional>

namespace gingerdyke::control
{
/// \brief Rows of one table, with those that are gone, so that changes can be told.
class table_cache
{
  public:
	explicit table_cache(std::string table) : table_(std::move(table)) {}

	/// \brief Takes the whole table.
	void replace(const std::vector<row>& rows, row_version newest);

	/// \brief Takes changes.
	/// \returns What is news, in order: of several changes of a row the last one, and none that is older than
	/// what is known. So it is the same for whoever reads the table, however the changes came.
	std::vector<row> apply(const std::vector<row>& rows, row_version newest);

	/// \brief Notes that the copy was the newest at a moment, and the registry's clock now.
	void confirm(instant at, registry_time registry_now, instant now);

	/// \brief Notes that the copy, once read, was still the newest at a moment.
	void vouch(instant at);

	/// \brief The whole table, or the changes after a version where that is known.
	/// \param after None: the whole table.
	/// \returns The rows, or why there are none.
	[[nodiscard]] store_result<row_batch> read(std::optional<row_version> after, instant now) const;

	/// \brief What `read` tells, but for the rows.
	[[nodiscard]] store_result<row_batch> read_head(instant now) const;

	/// \brief Whether there are changes after a version.
	[[nodiscard]] bool has_news(row_version after) const noexcept { return newest_change_ > after; }

	/// \brief True once the table was read.
	[[nodiscard]] bool known() const noexcept { return confirmed_at_.has_value(); }

	/// \brief How long ago the copy was the newest; only where it is known.
	[[nodiscard]] duration age(instant now) const { return now - *confirmed_at_; }

	[[nodiscard]] const std::string& table() const noexcept { return table_; }

  private:
	void put(const row& one);
	void forget_removed();

	std::string table_;
	std::map<std::string, row> rows_;
	row_version newest_;
	row_version newest_change_;

	/// Changes are known from this version on.
	row_version known_from_;
	std::optional<instant> confirmed_at_;
	duration clock_offset_{};
};
} // namespace gingerdyke::control
