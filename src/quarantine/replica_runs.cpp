// SPDX-License-Identifier: MIT
// Tracks which requests run on each replica.
#include <algorithm>
#include <gingerdyke/base/crypto.hpp>
#include <gingerdyke/quarantine/replica_runs.hpp>
#include <utility>

namespace gingerdyke::quarantine
{
replica_runs::entry_id replica_runs::entry_id_of(const routing::replica& target)
{
	return {target.id, target.incarnation};
}

const replica_runs::entry_state* replica_runs::find(const routing::replica& target) const
{
	const auto found = entries_.find(entry_id_of(target));
	return found == entries_.end() ? nullptr : &found->second;
}

replica_runs::entry_state* replica_runs::find(const routing::replica& target)
{
	return const_cast<entry_state*>(std::as_const(*this).find(target));
}

bool replica_runs::is_running(const run& execution, instant now) const
{
	return !execution.abandoned_at || now - *execution.abandoned_at <= tuning_.abandoned_lifetime;
}

run_number replica_runs::begin(const routing::replica& target, content_keys keys, instant now)
{
	auto& state = entries_[entry_id_of(target)];
	drop_expired_runs(state, now);
	const run_number number{++last_run_number_};
	state.runs.push_back({number, std::move(keys), {}, {}});
	return number;
}

void replica_runs::record_answer_started(const routing::replica& target, run_number number, instant now)
{
	auto* current = find(target);
	auto* execution = current == nullptr ? nullptr : find_run(*current, number);
	if (execution != nullptr && !execution->answer_started_at)
	{
		execution->answer_started_at = now;
	}
}

replica_runs::run* replica_runs::find_run(entry_state& state, run_number number)
{
	const auto found = std::find_if(state.runs.begin(), state.runs.end(),
		[&](const run& execution) { return execution.number == number; });
	return found == state.runs.end() ? nullptr : &*found;
}

bool replica_runs::may_parts_be_cause(const run& execution, instant now) const
{
	return !execution.answer_started_at || now - *execution.answer_started_at <= tuning_.part_exit_time;
}

void replica_runs::drop_expired_runs(entry_state& target, instant now) const
{
	std::erase_if(target.runs, [&](const run& execution) { return !is_running(execution, now); });
}

void replica_runs::end(const routing::replica& target, run_number number, run_outcome outcome, instant now)
{
	auto* current = find(target);
	if (current == nullptr)
	{
		return;
	}
	auto* execution = find_run(*current, number);
	if (execution == nullptr)
	{
		return;
	}
	if (outcome == run_outcome::abandoned)
	{
		execution->abandoned_at = now;
		return;
	}
	current->runs.erase(current->runs.begin() + (execution - current->runs.data()));
}

void replica_runs::record_connection(const routing::replica& target, instant began_at)
{
	auto* current = find(target);
	if (current != nullptr && current->exited_at && began_at > *current->exited_at)
	{
		current->exited_at.reset();
	}
}

bool replica_runs::record_exit(const routing::replica& target, instant now)
{
	auto* current = find(target);
	if (current == nullptr || current->exited_at)
	{
		return false;
	}
	current->exited_at = now;
	++current->exit_count;
	current->runs.clear();
	return true;
}

bool replica_runs::has_exited(const routing::replica& target) const
{
	const auto* current = find(target);
	return current != nullptr && current->exited_at.has_value();
}

process_instance replica_runs::instance_of(const routing::replica& target) const
{
	const auto* current = find(target);
	const auto previous_exits = current == nullptr ? 0 : current->exit_count - (current->exited_at ? 1 : 0);
	return process_instance{
		static_cast<std::int64_t>(mix_hash(routing::process_hash(target), previous_exits))};
}

std::vector<content_key> replica_runs::running_at(const routing::replica& target, instant now) const
{
	std::vector<content_key> keys;
	const auto* current = find(target);
	if (current == nullptr)
	{
		return keys;
	}
	for (const auto& run : current->runs)
	{
		if (!is_running(run, now))
		{
			continue;
		}
		keys.push_back(run.keys.request);
		if (may_parts_be_cause(run, now))
		{
			keys.insert(keys.end(), run.keys.parts.begin(), run.keys.parts.end());
			if (!run.keys.combination.empty())
			{
				keys.push_back(run.keys.combination);
			}
		}
	}
	std::sort(keys.begin(), keys.end());
	keys.erase(std::unique(keys.begin(), keys.end()), keys.end());
	return keys;
}

void replica_runs::remove_entry(const replica_id& id, instant now)
{
	for (auto& [key, state] : entries_)
	{
		state.is_entry_removed = state.is_entry_removed || key.id == id;
		drop_expired_runs(state, now);
	}
	std::erase_if(entries_,
		[](const auto& entry) { return entry.second.is_entry_removed && entry.second.runs.empty(); });
}
} // namespace gingerdyke::quarantine
