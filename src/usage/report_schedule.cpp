// SPDX-License-Identifier: MIT
// Order of usage reports.
#include <algorithm>
#include <gingerdyke/usage/report_schedule.hpp>

namespace gingerdyke::usage
{
void report_schedule::on_stored(const usage_report& stored)
{
	if (!stored_ || stored_->window < stored.window)
	{
		stored_ = stored;
	}
}

void report_schedule::on_acknowledged(window_index window)
{
	acknowledged_ = std::max(acknowledged_.value_or(window), window);
}

bool report_schedule::is_overdue(window_index window, unix_time now) const
{
	return now > end_of(window, tuning_.window_length) + tuning_.due_after;
}

std::optional<usage_report> report_schedule::to_send(unix_time now) const
{
	const bool is_acknowledged = stored_ && acknowledged_ && stored_->window <= *acknowledged_;
	if (!stored_ || is_acknowledged || is_overdue(stored_->window, now))
	{
		return std::nullopt;
	}
	return stored_;
}

window_index report_schedule::oldest_due(unix_time now) const
{
	return window_at(now - tuning_.due_after, tuning_.window_length);
}

window_index report_schedule::next_window(unix_time now) const
{
	const auto oldest = oldest_due(now);
	return stored_ ? std::max(stored_->window + window_index{1}, oldest) : oldest;
}

unix_time report_schedule::next_store_at(unix_time now) const
{
	return end_of(next_window(now), tuning_.window_length) + tuning_.collecting_time();
}

std::optional<window_index> report_schedule::to_store(unix_time now) const
{
	if (to_send(now) || now < next_store_at(now))
	{
		return std::nullopt;
	}
	return next_window(now);
}
} // namespace gingerdyke::usage
