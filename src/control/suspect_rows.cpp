// SPDX-License-Identifier: MIT
// Requests under which replicas ended, in the registry.
#include <algorithm>
#include <gingerdyke/control/row_json.hpp>
#include <gingerdyke/control/suspect_rows.hpp>
#include <gingerdyke/log/log.hpp>
#include <utility>

namespace gingerdyke::control
{
namespace
{
json lives_json(const std::set<quarantine::process_life>& lives)
{
	json all = json::array();
	for (const auto life : lives)
	{
		all.push_back(life.value());
	}
	return all;
}

std::set<quarantine::process_life> lives_of(const json& value)
{
	std::set<quarantine::process_life> all;
	for (const auto& one : value)
	{
		all.insert(quarantine::process_life{one.get<std::int64_t>()});
	}
	return all;
}

json ended_json(const quarantine::ended_lives& ended)
{
	json all = json::array();
	for (const auto& [life, together] : ended)
	{
		all.push_back({{"life", life.value()}, {"together", lives_json(together)}});
	}
	return all;
}

quarantine::ended_lives ended_of(const json& value)
{
	quarantine::ended_lives all;
	for (const auto& one : value)
	{
		all[quarantine::process_life{one.at("life").get<std::int64_t>()}] = lives_of(one.at("together"));
	}
	return all;
}

std::string row_key_of(const quarantine::request_key& key)
{
	return std::string{suspect_prefix} + key.str();
}
} // namespace

std::string write_suspicion(const stored_suspicion& what)
{
	return json{{"ended", ended_json(what.known.ended)}, {"survived", lives_json(what.known.survived)},
		{"last_end_us", what.last_end.count()}}
		.dump();
}

checked<stored_suspicion> read_suspicion(const row& from)
{
	return read_json<stored_suspicion>(from,
		[&](const json& value) -> checked<stored_suspicion>
		{
			stored_suspicion read;
			read.known.key = quarantine::request_key{from.key.substr(suspect_prefix.size())};
			read.known.ended = ended_of(value.at("ended"));
			read.known.survived = lives_of(value.at("survived"));
			read.last_end = registry_time{value.at("last_end_us").get<std::int64_t>()};
			return read;
		});
}

suspect_rows::suspect_rows(proxy::asio::io_context& context, row_store& registry,
	quarantine::suspect_list& suspects, std::string table, suspect_rows_tuning tuning)
	: registry_(registry), suspects_(suspects), table_(std::move(table)), tuning_(tuning), timer_(context)
{
}

void suspect_rows::note_registry_time(registry_time at, instant now)
{
	offset_ = at - now.time_since_epoch();
	for (const auto& one : std::exchange(early_, {}))
	{
		on_row(one, now);
	}
}

void suspect_rows::on_row(const row& one, instant now)
{
	if (!offset_)
	{
		early_.push_back(one);
		return;
	}
	if (one.removed)
	{
		rows_.erase(one.key);
		suspects_.forget(quarantine::request_key{one.key.substr(suspect_prefix.size())});
		return;
	}
	take(one, now);
}

void suspect_rows::take(const row& one, instant now)
{
	auto& known = rows_[one.key];
	known.version = one.version;
	const auto read = read_suspicion(one);
	if (!read)
	{
		log::write(log::level::error, "suspicion not understood", {{"findings", to_text(read.error())}});
		return;
	}
	known.last_end = std::min(now, instant{read->last_end - *offset_});
	suspects_.note_stored(read->known, *known.last_end, now);
	arm();
}

void suspect_rows::arm()
{
	arm_after(tuning_.batch_delay);
}

void suspect_rows::arm_after(duration pause)
{
	if (is_armed_ || is_writing_ || suspects_.unstored(reads_registry_, proxy::steady_now()).empty())
	{
		return;
	}
	is_armed_ = true;
	timer_.expires_after(pause);
	timer_.async_wait(
		[this](const proxy::error_code& error)
		{
			is_armed_ = false;
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
	auto news = suspects_.unstored(reads_registry_, now);
	if (news.empty())
	{
		return;
	}
	news.resize(std::min(news.size(), tuning_.most_rows));
	if (!offset_)
	{
		arm_after(tuning_.again);
		return;
	}
	const auto change = change_for(news, now);
	is_writing_ = true;
	registry_.change(change,
		[this, news, change](const store_result<change_result>& answer)
		{
			is_writing_ = false;
			on_written(news, change, answer);
		});
	remove_old(now);
}

row_change suspect_rows::change_for(const std::vector<quarantine::suspicion>& news, instant now) const
{
	row_change change;
	for (const auto& one : news)
	{
		const auto key = row_key_of(one.key);
		const auto last_end = suspects_.last_end(one.key).value_or(now);
		const stored_suspicion stored{one, last_end.time_since_epoch() + *offset_};
		change.conditions.push_back(unchanged(key));
		change.puts.push_back({table_, key, write_suspicion(stored)});
	}
	return change;
}

row_change::condition suspect_rows::unchanged(const std::string& key) const
{
	const auto known = rows_.find(key);
	return {table_, key, known == rows_.end() ? row_version{0} : known->second.version};
}

void suspect_rows::on_written(const std::vector<quarantine::suspicion>& written, const row_change& change,
	const store_result<change_result>& answer)
{
	const auto now = proxy::steady_now();
	if (!answer)
	{
		log::write(log::level::warn, "suspicions not stored",
			{{"why", name_of(answer.error())}, {"count", written.size()}});
		arm_after(tuning_.again);
		return;
	}
	if (!answer->done)
	{
		on_changed_meanwhile(change, answer->rows, now);
		return;
	}
	log::write(log::level::info, "suspicions stored", {{"count", written.size()}});
	for (const auto& one : written)
	{
		suspects_.note_stored(one, suspects_.last_end(one.key).value_or(now), now);
	}
	arm();
}

/// What the rows tell is taken first; what they still lack is written with the next change.
void suspect_rows::on_changed_meanwhile(const row_change& tried, const std::vector<row>& present, instant now)
{
	log::write(log::level::info, "suspicions changed by another VM", {{"count", present.size()}});
	for (const auto& one : present)
	{
		on_row(one, now);
	}
	for (const auto& one : tried.conditions)
	{
		const bool is_present = std::any_of(
			present.begin(), present.end(), [&](const row& other) { return other.key == one.key; });
		if (!is_present && one.version != row_version{0})
		{
			on_row({table_, one.key, {}, one.version, true}, now);
		}
	}
	arm();
}

/// Whoever writes also clears away: rows are only read where they are few.
void suspect_rows::remove_old(instant now)
{
	row_change change;
	for (const auto& [key, known] : rows_)
	{
		const bool is_old = known.last_end && now - *known.last_end > tuning_.lifetime;
		if (is_old && change.removals.size() < tuning_.most_rows)
		{
			change.conditions.push_back(unchanged(key));
			change.removals.push_back({table_, key});
		}
	}
	if (change.removals.empty())
	{
		return;
	}
	registry_.change(change,
		[this, change](const store_result<change_result>& answer)
		{
			if (!answer)
			{
				log::write(
					log::level::warn, "old suspicions not removed", {{"why", name_of(answer.error())}});
			}
			else if (!answer->done)
			{
				on_changed_meanwhile(change, answer->rows, proxy::steady_now());
			}
		});
}
} // namespace gingerdyke::control
