// SPDX-License-Identifier: MIT
// Follows one registry table.
#include <algorithm>
#include <gingerdyke/control/table_follower.hpp>
#include <gingerdyke/control/value_compression.hpp>
#include <gingerdyke/log/log.hpp>

namespace gingerdyke::control
{
const char* name_of(store_error error) noexcept
{
	switch (error)
	{
	case store_error::unreachable:
		return "unreachable";
	case store_error::unavailable:
		return "unavailable";
	case store_error::history_gone:
		return "history gone";
	case store_error::bad_response:
		return "bad answer";
	case store_error::too_large:
		return "too large";
	}
	return "unknown";
}

table_follower::table_follower(proxy::asio::io_context& context, row_store& store, std::string table,
	random_source random, follower_hooks hooks, follower_tuning tuning)
	: store_(store), cache_(std::move(table)), random_(std::move(random)), hooks_(std::move(hooks)),
	  tuning_(tuning), timer_(context), backoff_(tuning.initial_backoff)
{
}

void table_follower::start()
{
	if (stopped_)
	{
		stopped_ = false;
		++run_id_;
		resume_version_.reset();
		read_next();
	}
}

void table_follower::stop()
{
	stopped_ = true;
	timer_.cancel();
}

void table_follower::read_next()
{
	if (resume_version_)
	{
		follow();
	}
	else
	{
		read_all();
	}
}

void table_follower::read_all()
{
	const auto sent_at = proxy::steady_now();
	store_.read_all(cache_.table(),
		[this, sent_at, run_id = run_id_](store_result<row_batch> result)
		{
			if (!is_superseded(run_id))
			{
				on_full_read(std::move(result), sent_at);
			}
		});
}

void table_follower::follow()
{
	const auto sent_at = proxy::steady_now();
	store_.follow(cache_.table(), *resume_version_, tuning_.wait,
		[this, sent_at, run_id = run_id_](store_result<row_batch> result)
		{
			if (!is_superseded(run_id))
			{
				on_changes(std::move(result), sent_at);
			}
		});
}

void table_follower::on_full_read(store_result<row_batch> result, instant sent_at)
{
	if (!result)
	{
		record_failure(result.error());
		return;
	}
	if (eras_.is_earlier(result->era))
	{
		log::write(log::level::info, "table of an earlier era dropped", {{"table", cache_.table()}});
		retry_after_backoff();
		return;
	}
	if (eras_.is_later(result->era))
	{
		on_later_era(*result);
	}
	if (newest_seen_ && result->newest < *newest_seen_)
	{
		log::write(log::level::warn, "registry returned an older table version",
			{{"table", cache_.table()}, {"newest", result->newest.value()},
				{"known", newest_seen_->value()}});
		retry_after_backoff();
		return;
	}
	resume_version_ = result->newest;
	newest_seen_ = result->newest;
	cache_.replace(result->rows, result->newest, result->era);
	confirm_cache(sent_at, *result);
	hooks_.replaced(result->rows);
	record_success(sent_at, *result);
	follow();
}

void table_follower::on_changes(store_result<row_batch> result, instant sent_at)
{
	if (!result)
	{
		record_failure(result.error());
		return;
	}
	const bool is_later = eras_.is_later(result->era);
	if (is_later || eras_.is_earlier(result->era))
	{
		// The version to continue from may not be one of this era.
		resume_version_.reset();
		is_later ? read_next() : retry_after_backoff();
		return;
	}
	const bool has_superseded = has_superseded_large_rows(result->rows);
	resume_version_ = std::max(*resume_version_, result->newest);
	newest_seen_ = std::max(*newest_seen_, result->newest);
	const auto changed_rows = cache_.apply(result->rows, result->newest);
	log_superseded(result->rows.size(), changed_rows.size());
	confirm_cache(sent_at, *result);
	if (!changed_rows.empty())
	{
		hooks_.changed(changed_rows);
	}
	record_success(sent_at, *result);
	if (has_superseded)
	{
		// More versions follow each other than can be read one by one; a full table holds only the last.
		read_all();
		return;
	}
	if (!result->rows.empty() && tuning_.batch_delay > duration{0})
	{
		read_next_after(tuning_.batch_delay);
		return;
	}
	follow();
}

/// The versions known so far say nothing on those of the table that was read.
void table_follower::on_later_era(const row_batch& batch)
{
	const bool is_restored = eras_.known().has_value();
	eras_.record(batch.era);
	if (is_restored)
	{
		log::write(log::level::warn, "registry returned from an older copy",
			{{"table", cache_.table()}, {"era", batch.era->value()}, {"newest", batch.newest.value()},
				{"known", newest_seen_.value_or(row_version{}).value()}});
	}
	newest_seen_.reset();
	if (is_restored && hooks_.restored)
	{
		hooks_.restored();
	}
}

/// Returns whether a batch holds several versions of a large row.
bool table_follower::has_superseded_large_rows(const std::vector<row>& rows)
{
	std::set<std::string> large_keys;
	return std::any_of(rows.begin(), rows.end(),
		[&](const row& table_row)
		{ return table_row.value.size() >= large_value_bytes && !large_keys.insert(table_row.key).second; });
}

/// Logs rows that were dropped because the same response held a newer change of the row, or because the row
/// was known already.
void table_follower::log_superseded(std::size_t rows, std::size_t changed_rows) const
{
	if (changed_rows < rows)
	{
		log::write(log::level::info, "rows superseded",
			{{"table", cache_.table()}, {"rows", rows}, {"superseded", rows - changed_rows}});
	}
}

/// Returns when the rows of a response were the newest: the response was given at least `held` after the call
/// was sent, and its rows were `age` old by then.
instant table_follower::newest_at(instant sent_at, const row_batch& batch)
{
	return sent_at + batch.held - batch.age;
}

void table_follower::confirm_cache(instant sent_at, const row_batch& batch)
{
	cache_.confirm(newest_at(sent_at, batch), batch.at, proxy::steady_now());
}

void table_follower::record_success(instant sent_at, const row_batch& batch)
{
	backoff_ = tuning_.initial_backoff;
	if (is_failing_)
	{
		is_failing_ = false;
		log::write(log::level::info, "registry reads recovered", {{"table", cache_.table()}});
	}
	hooks_.confirmed(newest_at(sent_at, batch), batch.at);
}

void table_follower::record_failure(store_error error)
{
	const bool are_changes_too_large = error == store_error::too_large && resume_version_;
	if (error == store_error::history_gone || are_changes_too_large)
	{
		log::write(log::level::info,
			are_changes_too_large ? "changes too large, reading full table"
								  : "registry history discarded, reading full table",
			{{"table", cache_.table()}});
		resume_version_.reset();
		retry_after_backoff();
		return;
	}
	if (!is_failing_)
	{
		is_failing_ = true;
		log::write(
			log::level::warn, "registry reads failing", {{"table", cache_.table()}, {"why", name_of(error)}});
	}
	hooks_.failed(error);
	retry_after_backoff();
}

void table_follower::retry_after_backoff()
{
	const auto spread = 0.5 + random_unit(random_);
	const auto pause = scaled(backoff_, spread);
	backoff_ = std::min<duration>(backoff_ * 2, tuning_.max_backoff);
	read_next_after(pause);
}

void table_follower::read_next_after(duration pause)
{
	timer_.expires_after(pause);
	timer_.async_wait(
		[this](const proxy::error_code& error)
		{
			if (!error && !stopped_)
			{
				read_next();
			}
		});
}
} // namespace gingerdyke::control
