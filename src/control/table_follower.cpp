// SPDX-License-Identifier: MIT
// Keeps up with one table of the registry.
#include <algorithm>
#include <gingerdyke/control/table_follower.hpp>
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
	case store_error::bad_answer:
		return "bad answer";
	}
	return "unknown";
}

table_follower::table_follower(proxy::asio::io_context& context, row_store& store, std::string table,
	random_source random, follower_hooks hooks, follower_tuning tuning)
	: store_(store), cache_(std::move(table)), random_(std::move(random)), hooks_(std::move(hooks)),
	  tuning_(tuning), timer_(context), pause_(tuning.first_pause)
{
}

void table_follower::start()
{
	if (stopped_)
	{
		stopped_ = false;
		++run_;
		next_.reset();
		call();
	}
}

void table_follower::stop()
{
	stopped_ = true;
	timer_.cancel();
}

void table_follower::call()
{
	if (next_)
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
		[this, sent_at, run = run_](store_result<row_batch> result)
		{
			if (!is_over(run))
			{
				on_all(std::move(result), sent_at);
			}
		});
}

void table_follower::follow()
{
	const auto sent_at = proxy::steady_now();
	store_.follow(cache_.table(), *next_, tuning_.wait,
		[this, sent_at, run = run_](store_result<row_batch> result)
		{
			if (!is_over(run))
			{
				on_changes(std::move(result), sent_at);
			}
		});
}

void table_follower::on_all(store_result<row_batch> result, instant sent_at)
{
	if (!result)
	{
		note_failure(result.error());
		return;
	}
	if (known_ && result->newest < *known_)
	{
		log::write(log::level::warn, "registry answered from the past",
			{{"table", cache_.table()}, {"newest", result->newest.value()}, {"known", known_->value()}});
		pause_then_call();
		return;
	}
	next_ = result->newest;
	known_ = result->newest;
	cache_.replace(result->rows, result->newest);
	confirm_cache(sent_at, *result);
	hooks_.replaced(result->rows);
	note_success(sent_at, *result);
	follow();
}

void table_follower::on_changes(store_result<row_batch> result, instant sent_at)
{
	if (!result)
	{
		note_failure(result.error());
		return;
	}
	next_ = std::max(*next_, result->newest);
	known_ = std::max(*known_, result->newest);
	const auto news = cache_.apply(result->rows, result->newest);
	log_superseded(result->rows.size(), news.size());
	confirm_cache(sent_at, *result);
	if (!news.empty())
	{
		hooks_.changed(news);
	}
	note_success(sent_at, *result);
	if (!result->rows.empty() && tuning_.gather > duration{0})
	{
		call_after(tuning_.gather);
		return;
	}
	follow();
}

/// One answer may tell of several changes of a row, or of what is known.
void table_follower::log_superseded(std::size_t rows, std::size_t news) const
{
	if (news < rows)
	{
		log::write(log::level::info, "rows superseded",
			{{"table", cache_.table()}, {"rows", rows}, {"superseded", rows - news}});
	}
}

/// The answer was given after the call was sent and held; a copy was the newest as long before as it is old.
instant table_follower::newest_at(instant sent_at, const row_batch& batch)
{
	return sent_at + batch.held - batch.age;
}

void table_follower::confirm_cache(instant sent_at, const row_batch& batch)
{
	cache_.confirm(newest_at(sent_at, batch), batch.at, proxy::steady_now());
}

void table_follower::note_success(instant sent_at, const row_batch& batch)
{
	pause_ = tuning_.first_pause;
	if (is_lost_)
	{
		is_lost_ = false;
		log::write(log::level::info, "registry regained", {{"table", cache_.table()}});
	}
	hooks_.confirmed(newest_at(sent_at, batch), batch.at);
}

void table_follower::note_failure(store_error error)
{
	if (error == store_error::history_gone)
	{
		log::write(log::level::info, "registry forgot its history", {{"table", cache_.table()}});
		next_.reset();
		pause_then_call();
		return;
	}
	if (!is_lost_)
	{
		is_lost_ = true;
		log::write(log::level::warn, "registry lost", {{"table", cache_.table()}, {"why", name_of(error)}});
	}
	hooks_.lost(error);
	pause_then_call();
}

void table_follower::pause_then_call()
{
	const auto spread = 0.5 + random_unit(random_);
	const auto pause = scaled(pause_, spread);
	pause_ = std::min<duration>(pause_ * 2, tuning_.longest_pause);
	call_after(pause);
}

void table_follower::call_after(duration pause)
{
	timer_.expires_after(pause);
	timer_.async_wait(
		[this](const proxy::error_code& error)
		{
			if (!error && !stopped_)
			{
				call();
			}
		});
}
} // namespace gingerdyke::control
