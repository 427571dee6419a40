// SPDX-License-Identifier: MIT
// Stores in the registry the requests during which replicas exited.
#include <algorithm>
#include <gingerdyke/control/row_json.hpp>
#include <gingerdyke/control/suspect_rows.hpp>
#include <gingerdyke/log/log.hpp>
#include <utility>

namespace gingerdyke::control
{
namespace
{
json processes_to_json(const std::set<quarantine::process_instance>& processes)
{
	json all = json::array();
	for (const auto process : processes)
	{
		all.push_back(process.value());
	}
	return all;
}

std::set<quarantine::process_instance> processes_from_json(const json& value)
{
	std::set<quarantine::process_instance> all;
	for (const auto& element : value)
	{
		all.insert(quarantine::process_instance{element.get<std::int64_t>()});
	}
	return all;
}

/// \param clock_offset How far the registry's clock is ahead of this VM's.
json exits_to_json(const quarantine::suspicion& evidence, duration clock_offset)
{
	json all = json::array();
	for (const auto& [process, simultaneous] : evidence.ended)
	{
		json exit{{"life", process.value()}, {"together", processes_to_json(simultaneous)}};
		if (evidence.exit_times.contains(process))
		{
			exit["at_us"] = (evidence.exit_time(process).time_since_epoch() + clock_offset).count();
		}
		all.push_back(std::move(exit));
	}
	return all;
}

void read_exits(const json& value, duration clock_offset, quarantine::suspicion& to)
{
	for (const auto& element : value)
	{
		const quarantine::process_instance process{element.at("life").get<std::int64_t>()};
		to.ended[process] = processes_from_json(element.at("together"));
		if (element.contains("at_us"))
		{
			to.exit_times[process] =
				instant{duration{element.at("at_us").get<std::int64_t>()} - clock_offset};
		}
	}
}

json completion_times_to_json(const quarantine::suspicion& evidence, duration clock_offset)
{
	json all = json::array();
	for (const auto& [completion, began_at] : evidence.completion_times)
	{
		all.push_back({completion.value(), (began_at.time_since_epoch() + clock_offset).count()});
	}
	return all;
}

void read_completion_times(const json& value, duration clock_offset, quarantine::suspicion& to)
{
	for (const auto& element : value)
	{
		to.completion_times[quarantine::process_instance{element.at(0).get<std::int64_t>()}] =
			instant{duration{element.at(1).get<std::int64_t>()} - clock_offset};
	}
}

std::string row_key_of(const quarantine::content_key& key)
{
	return std::string{suspect_key_prefix} + key.str();
}
} // namespace

std::string write_suspicion(const stored_suspicion& stored, duration clock_offset)
{
	json value{{"ended", exits_to_json(stored.evidence, clock_offset)},
		{"survived", processes_to_json(stored.evidence.survived)},
		{"last_end_us", stored.last_exit_at.count()}};
	if (!stored.evidence.completion_times.empty())
	{
		value["survived_at_us"] = completion_times_to_json(stored.evidence, clock_offset);
	}
	return value.dump();
}

checked<stored_suspicion> read_suspicion(const row& from, duration clock_offset)
{
	return parse_row_value<stored_suspicion>(from,
		[&](const json& value) -> checked<stored_suspicion>
		{
			stored_suspicion read;
			read.evidence.key = quarantine::content_key{from.key.substr(suspect_key_prefix.size())};
			read_exits(value.at("ended"), clock_offset, read.evidence);
			read.evidence.survived = processes_from_json(value.at("survived"));
			read_completion_times(value.value("survived_at_us", json::array()), clock_offset, read.evidence);
			read.last_exit_at = registry_time{value.at("last_end_us").get<std::int64_t>()};
			return read;
		});
}

suspect_rows::suspect_rows(proxy::asio::io_context& context, row_store& registry,
	quarantine::suspect_list& suspects, std::string table, suspect_rows_tuning tuning)
	: registry_(registry), suspects_(suspects), table_(std::move(table)), tuning_(tuning), timer_(context)
{
}

void suspect_rows::record_registry_time(registry_time at, instant now)
{
	registry_clock_offset_ = at - now.time_since_epoch();
	for (const auto& table_row : std::exchange(rows_before_clock_, {}))
	{
		on_row(table_row, now);
	}
}

void suspect_rows::on_row(const row& table_row, instant now)
{
	if (!registry_clock_offset_)
	{
		rows_before_clock_.push_back(table_row);
		return;
	}
	if (table_row.removed)
	{
		rows_.erase(table_row.key);
		suspects_.forget(quarantine::content_key{table_row.key.substr(suspect_key_prefix.size())});
		return;
	}
	apply_row(table_row, now);
}

void suspect_rows::on_table_restored()
{
	rows_.clear();
	suspects_.forget_stored();
	schedule_store();
}

void suspect_rows::apply_row(const row& table_row, instant now)
{
	auto& known = rows_[table_row.key];
	known.version = table_row.version;
	const auto read = read_suspicion(table_row, *registry_clock_offset_);
	if (!read)
	{
		log::write(log::level::error, "invalid suspected request row", {{"findings", to_text(read.error())}});
		return;
	}
	known.last_exit_at = std::min(now, instant{read->last_exit_at - *registry_clock_offset_});
	suspects_.merge_stored(read->evidence, *known.last_exit_at, now);
	schedule_store();
}

void suspect_rows::schedule_store()
{
	write_after(tuning_.batch_delay);
}

void suspect_rows::write_after(duration pause)
{
	if (is_write_scheduled_ || is_writing_ ||
		suspects_.unstored(reads_registry_, proxy::steady_now()).empty())
	{
		return;
	}
	is_write_scheduled_ = true;
	waiting_since_ = waiting_since_.value_or(proxy::steady_now());
	timer_.expires_after(pause);
	timer_.async_wait(
		[this](const proxy::error_code& error)
		{
			is_write_scheduled_ = false;
			if (!error)
			{
				write();
			}
		});
}

void suspect_rows::stop()
{
	timer_.cancel();
}

void suspect_rows::write()
{
	const auto now = proxy::steady_now();
	auto to_store = suspects_.unstored(reads_registry_, now);
	if (to_store.empty())
	{
		waiting_since_.reset();
		return;
	}
	to_store.resize(std::min(to_store.size(), tuning_.max_rows_per_change));
	if (!registry_clock_offset_)
	{
		write_after(tuning_.retry_delay);
		return;
	}
	const auto change = make_change(to_store, now);
	is_writing_ = true;
	registry_.change(change,
		[this, to_store, change](const store_result<change_result>& result)
		{
			is_writing_ = false;
			on_written(to_store, change, result);
		});
	remove_expired(now);
}

row_change suspect_rows::make_change(const std::vector<quarantine::suspicion>& to_store, instant now) const
{
	row_change change;
	for (const auto& suspicion : to_store)
	{
		const auto key = row_key_of(suspicion.key);
		const auto last_exit_at = suspects_.last_exit(suspicion.key).value_or(now);
		const stored_suspicion stored{suspicion, last_exit_at.time_since_epoch() + *registry_clock_offset_};
		change.conditions.push_back(unchanged_condition(key));
		change.puts.push_back({table_, key, write_suspicion(stored, *registry_clock_offset_)});
	}
	return change;
}

row_change::condition suspect_rows::unchanged_condition(const std::string& key) const
{
	const auto known = rows_.find(key);
	return {table_, key, known == rows_.end() ? row_version{0} : known->second.version};
}

void suspect_rows::on_written(const std::vector<quarantine::suspicion>& written, const row_change& change,
	const store_result<change_result>& result)
{
	const auto now = proxy::steady_now();
	if (!result)
	{
		log::write(log::level::warn, "storing suspected requests failed",
			{{"why", name_of(result.error())}, {"count", written.size()}});
		write_after(tuning_.retry_delay);
		return;
	}
	waiting_since_.reset();
	if (!result->committed)
	{
		on_conflict(change, result->rows, now);
		return;
	}
	log::write(log::level::info, "suspected requests stored", {{"count", written.size()}});
	for (const auto& suspicion : written)
	{
		suspects_.merge_stored(suspicion, suspects_.last_exit(suspicion.key).value_or(now), now);
	}
	schedule_store();
}

/// Applies the current rows first; what they lack is written with the next change.
void suspect_rows::on_conflict(const row_change& attempted, const std::vector<row>& current_rows, instant now)
{
	log::write(
		log::level::info, "suspected requests changed by another VM", {{"count", current_rows.size()}});
	for (const auto& table_row : current_rows)
	{
		on_row(table_row, now);
	}
	for (const auto& condition : attempted.conditions)
	{
		const bool still_exists = std::any_of(current_rows.begin(), current_rows.end(),
			[&](const row& other) { return other.key == condition.key; });
		if (!still_exists && condition.version != row_version{0})
		{
			on_row({table_, condition.key, {}, condition.version, true}, now);
		}
	}
	schedule_store();
}

/// Removal is combined with writes, which keeps the number of rows small for all readers.
void suspect_rows::remove_expired(instant now)
{
	row_change change;
	for (const auto& [key, known] : rows_)
	{
		const bool is_expired = known.last_exit_at && now - *known.last_exit_at > tuning_.lifetime;
		if (is_expired && change.removals.size() < tuning_.max_rows_per_change)
		{
			change.conditions.push_back(unchanged_condition(key));
			change.removals.push_back({table_, key});
		}
	}
	if (change.removals.empty())
	{
		return;
	}
	registry_.change(change,
		[this, change](const store_result<change_result>& result)
		{
			if (!result)
			{
				log::write(log::level::warn, "removing expired suspected requests failed",
					{{"why", name_of(result.error())}});
			}
			else if (!result->committed)
			{
				on_conflict(change, result->rows, proxy::steady_now());
			}
		});
}
} // namespace gingerdyke::control
