// SPDX-License-Identifier: MIT
// Local copy of one registry table.
#include <algorithm>
#include <gingerdyke/control/table_cache.hpp>
#include <set>

namespace gingerdyke::control
{
namespace
{
/// Maximum number of tombstones kept to report removals; beyond it all of them are dropped, and readers that
/// are behind have to read the full table.
constexpr std::size_t max_tombstones = 2000;

bool has_lower_version(const row& a, const row& b) noexcept
{
	return a.version < b.version;
}
} // namespace

/// Forgets all rows with their versions, tombstones included.
void table_cache::clear()
{
	rows_by_version_.clear();
	rows_.clear();
	tombstones_ = 0;
	newest_ = {};
	newest_change_ = {};
}

void table_cache::replace(const std::vector<row>& rows, row_version newest, std::optional<registry_era> era)
{
	if (era && era != era_)
	{
		clear();
	}
	era_ = era ? era : era_;
	std::map<std::string, row> next;
	for (const auto& table_row : rows)
	{
		next[table_row.key] = table_row;
	}
	for (auto& [key, known] : rows_)
	{
		if (!next.contains(key))
		{
			auto tombstone = known;
			// The row was removed at an unknown version up to `newest`; `newest` makes every reader of an
			// older version learn of the removal.
			tombstone.version = known.removed ? known.version : newest;
			tombstone.removed = true;
			tombstone.value.clear();
			next[key] = std::move(tombstone);
		}
	}
	if (rows_.empty())
	{
		history_start_ = newest;
	}
	rows_by_version_.clear();
	rows_.clear();
	tombstones_ = 0;
	for (const auto& [key, table_row] : next)
	{
		put(table_row);
	}
	newest_ = std::max(newest_, newest);
	prune_tombstones();
}

std::vector<row> table_cache::apply(const std::vector<row>& rows, row_version newest)
{
	std::set<std::string> changed_keys;
	for (const auto& table_row : rows)
	{
		const auto known = rows_.find(table_row.key);
		if (known == rows_.end() || known->second.version < table_row.version)
		{
			put(table_row);
			changed_keys.insert(table_row.key);
		}
	}
	std::vector<row> changed_rows;
	changed_rows.reserve(changed_keys.size());
	for (const auto& key : changed_keys)
	{
		changed_rows.push_back(rows_.at(key));
	}
	std::sort(changed_rows.begin(), changed_rows.end(), has_lower_version);
	newest_ = std::max(newest_, newest);
	prune_tombstones();
	return changed_rows;
}

void table_cache::put(const row& table_row)
{
	drop(table_row.key);
	const auto& stored = rows_.emplace(table_row.key, table_row).first->second;
	rows_by_version_.insert(&stored);
	tombstones_ += stored.removed ? 1 : 0;
	newest_change_ = std::max(newest_change_, table_row.version);
}

void table_cache::drop(const std::string& key)
{
	const auto known = rows_.find(key);
	if (known == rows_.end())
	{
		return;
	}
	rows_by_version_.erase(&known->second);
	tombstones_ -= known->second.removed ? 1 : 0;
	rows_.erase(known);
}

void table_cache::prune_tombstones()
{
	if (tombstones_ <= max_tombstones)
	{
		return;
	}
	std::erase_if(rows_by_version_, [](const row* entry) { return entry->removed; });
	std::erase_if(rows_, [](const auto& entry) { return entry.second.removed; });
	tombstones_ = 0;
	history_start_ = std::max(newest_, newest_change_);
}

void table_cache::confirm(instant at, registry_time registry_now, instant now)
{
	confirmed_at_ = confirmed_at_ ? std::max(*confirmed_at_, at) : at;
	registry_clock_offset_ = registry_now - now.time_since_epoch();
}

void table_cache::extend_confirmation(instant at)
{
	if (confirmed_at_)
	{
		confirmed_at_ = std::max(*confirmed_at_, at);
	}
}

store_result<row_batch> table_cache::read_metadata(instant now) const
{
	if (!confirmed_at_)
	{
		return tl::make_unexpected(store_error::unavailable);
	}
	row_batch batch;
	batch.newest = std::max(newest_, newest_change_);
	batch.era = era_;
	batch.at = now.time_since_epoch() + registry_clock_offset_;
	batch.age = age(now);
	return batch;
}

store_result<row_batch> table_cache::read(std::optional<row_version> after, instant now) const
{
	auto batch = read_metadata(now);
	if (!batch)
	{
		return batch;
	}
	if (after && *after < history_start_)
	{
		return tl::make_unexpected(store_error::history_gone);
	}
	const row first{{}, {}, {}, after.value_or(row_version{}) + row_version{after ? 1 : 0}, false};
	for (auto entry = rows_by_version_.lower_bound(&first); entry != rows_by_version_.end(); ++entry)
	{
		if (after || !(*entry)->removed)
		{
			batch->rows.push_back(**entry);
		}
	}
	return batch;
}
} // namespace gingerdyke::control
