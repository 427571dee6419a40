// SPDX-License-Identifier: MIT
// A VM's copy of one table of the registry.
#include <algorithm>
#include <gingerdyke/control/table_cache.hpp>
#include <set>

namespace gingerdyke::control
{
namespace
{
/// Rows that are gone are kept up to this many, so that others learn of them; then the oldest are forgotten.
constexpr std::size_t most_removed = 2000;

bool is_older(const row& a, const row& b) noexcept
{
	return a.version < b.version;
}
} // namespace

void table_cache::replace(const std::vector<row>& rows, row_version newest)
{
	std::map<std::string, row> next;
	for (const auto& one : rows)
	{
		next[one.key] = one;
	}
	for (auto& [key, known] : rows_)
	{
		if (!next.contains(key))
		{
			auto gone = known;
			// It went at some moment up to now; who knows the table only until then has to hear of it.
			gone.version = known.removed ? known.version : newest;
			gone.removed = true;
			gone.value.clear();
			next[key] = std::move(gone);
		}
	}
	if (rows_.empty())
	{
		known_from_ = newest;
	}
	rows_.clear();
	for (const auto& [key, one] : next)
	{
		put(one);
	}
	newest_ = std::max(newest_, newest);
	forget_removed();
}

std::vector<row> table_cache::apply(const std::vector<row>& rows, row_version newest)
{
	std::set<std::string> changed;
	for (const auto& one : rows)
	{
		const auto known = rows_.find(one.key);
		if (known == rows_.end() || known->second.version < one.version)
		{
			put(one);
			changed.insert(one.key);
		}
	}
	std::vector<row> news;
	news.reserve(changed.size());
	for (const auto& key : changed)
	{
		news.push_back(rows_.at(key));
	}
	std::sort(news.begin(), news.end(), is_older);
	newest_ = std::max(newest_, newest);
	forget_removed();
	return news;
}

void table_cache::put(const row& one)
{
	rows_[one.key] = one;
	newest_change_ = std::max(newest_change_, one.version);
}

void table_cache::forget_removed()
{
	const auto is_removed = [](const auto& entry) { return entry.second.removed; };
	if (static_cast<std::size_t>(std::count_if(rows_.begin(), rows_.end(), is_removed)) > most_removed)
	{
		std::erase_if(rows_, is_removed);
		known_from_ = std::max(newest_, newest_change_);
	}
}

void table_cache::confirm(instant at, registry_time registry_now, instant now)
{
	confirmed_at_ = confirmed_at_ ? std::max(*confirmed_at_, at) : at;
	clock_offset_ = registry_now - now.time_since_epoch();
}

void table_cache::vouch(instant at)
{
	if (confirmed_at_)
	{
		confirmed_at_ = std::max(*confirmed_at_, at);
	}
}

store_result<row_batch> table_cache::read_head(instant now) const
{
	if (!confirmed_at_)
	{
		return tl::make_unexpected(store_error::unavailable);
	}
	row_batch batch;
	batch.newest = std::max(newest_, newest_change_);
	batch.at = now.time_since_epoch() + clock_offset_;
	batch.age = age(now);
	return batch;
}

store_result<row_batch> table_cache::read(std::optional<row_version> after, instant now) const
{
	auto batch = read_head(now);
	if (!batch)
	{
		return batch;
	}
	if (after && *after < known_from_)
	{
		return tl::make_unexpected(store_error::history_gone);
	}
	for (const auto& [key, one] : rows_)
	{
		const bool is_wanted = after ? one.version > *after : !one.removed;
		if (is_wanted)
		{
			batch->rows.push_back(one);
		}
	}
	std::sort(batch->rows.begin(), batch->rows.end(), is_older);
	return batch;
}
} // namespace gingerdyke::control
