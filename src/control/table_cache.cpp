// SPDX-License-Identifier: MIT
// Local copy of one registry table.
#include <algorithm>
#include <gingerdyke/control/table_cache.hpp>
#include <gingerdyke/control/value_compression.hpp>
#include <set>

namespace gingerdyke::control
{
namespace
{
/// Maximum number of tombstones kept to report removals; beyond it all of them are dropped, and readers that
/// are behind have to read the full table.
constexpr std::size_t max_tombstones = 2000;

/// Maximum number and total size of the replaced large rows that are kept.
constexpr std::size_t max_previous_rows = 8;
constexpr std::size_t max_previous_bytes = 6U << 20U;

bool has_lower_version(const row& a, const row& b) noexcept
{
	return a.version < b.version;
}

/// Returns a row that is ordered before all rows of a later version than `after`.
row first_after(std::optional<row_version> after)
{
	return {{}, {}, {}, after.value_or(row_version{}) + row_version{after ? 1 : 0}, false};
}
} // namespace

/// Forgets all rows with their versions, tombstones included.
void table_cache::clear()
{
	rows_by_version_.clear();
	large_rows_.clear();
	rows_.clear();
	previous_rows_.clear();
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
		const auto replacement = next.find(key);
		if (replacement == next.end() || replacement->second.version != known.version)
		{
			keep_previous(known);
		}
		if (replacement == next.end())
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
	large_rows_.clear();
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
	if (stored.value.size() >= large_value_bytes)
	{
		large_rows_.insert(&stored);
	}
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
	keep_previous(known->second);
	rows_by_version_.erase(&known->second);
	large_rows_.erase(&known->second);
	tombstones_ -= known->second.removed ? 1 : 0;
	rows_.erase(known);
}

void table_cache::keep_previous(const row& table_row)
{
	if (table_row.value.size() < large_value_bytes)
	{
		return;
	}
	previous_rows_.push_front(table_row);
	std::size_t bytes = 0;
	const auto end = std::find_if(previous_rows_.begin(), previous_rows_.end(),
		[&](const row& previous)
		{
			bytes += previous.value.size();
			return bytes > max_previous_bytes;
		});
	previous_rows_.erase(end, previous_rows_.end());
	if (previous_rows_.size() > max_previous_rows)
	{
		previous_rows_.pop_back();
	}
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

std::vector<const row*> table_cache::large_rows(std::optional<row_version> after) const
{
	const auto first = first_after(after);
	return {large_rows_.lower_bound(&first), large_rows_.end()};
}

const std::string* table_cache::find_value(const std::string& key, row_version version) const
{
	const auto current = rows_.find(key);
	if (current != rows_.end() && current->second.version == version)
	{
		return &current->second.value;
	}
	const auto previous = std::find_if(previous_rows_.begin(), previous_rows_.end(),
		[&](const row& candidate) { return candidate.key == key && candidate.version == version; });
	return previous == previous_rows_.end() ? nullptr : &previous->value;
}

store_result<row_batch> table_cache::read(
	std::optional<row_version> after, instant now, std::size_t max_value_bytes) const
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
	const auto first = first_after(after);
	for (auto entry = rows_by_version_.lower_bound(&first); entry != rows_by_version_.end(); ++entry)
	{
		if ((after || !(*entry)->removed) && (*entry)->value.size() < max_value_bytes)
		{
			batch->rows.push_back(**entry);
		}
	}
	return batch;
}
} // namespace gingerdyke::control
