// SPDX-License-Identifier: MIT
// Which requests run on each replica.
#include <algorithm>
#include <gingerdyke/base/crypto.hpp>
#include <gingerdyke/quarantine/replica_runs.hpp>
#include <utility>

namespace gingerdyke::quarantine
{
replica_runs::entry_name replica_runs::name_of(const routing::replica& one)
{
	return {one.id, one.incarnation};
}

const replica_runs::process* replica_runs::find(const routing::replica& one) const
{
	const auto found = processes_.find(name_of(one));
	return found == processes_.end() ? nullptr : &found->second;
}

replica_runs::process* replica_runs::find(const routing::replica& one)
{
	return const_cast<process*>(std::as_const(*this).find(one));
}

bool replica_runs::counts(const run& one, instant now) const
{
	return !one.given_up_at || now - *one.given_up_at <= tuning_.aftermath;
}

run_number replica_runs::begin(const routing::replica& at, request_key key, instant now)
{
	auto& process = processes_[name_of(at)];
	drop_old_runs(process, now);
	const run_number number{++last_run_};
	process.runs.push_back({number, std::move(key), {}});
	return number;
}

void replica_runs::drop_old_runs(process& of, instant now) const
{
	std::erase_if(of.runs, [&](const run& one) { return !counts(one, now); });
}

void replica_runs::end(const routing::replica& at, run_number number, run_end how, instant now)
{
	auto* known = find(at);
	if (known == nullptr)
	{
		return;
	}
	auto& runs = known->runs;
	const auto found =
		std::find_if(runs.begin(), runs.end(), [&](const run& one) { return one.number == number; });
	if (found == runs.end())
	{
		return;
	}
	if (how == run_end::given_up)
	{
		found->given_up_at = now;
		return;
	}
	runs.erase(found);
}

void replica_runs::note_connected(const routing::replica& one, instant begun)
{
	auto* known = find(one);
	if (known != nullptr && known->ended_at && begun > *known->ended_at)
	{
		known->ended_at.reset();
	}
}

bool replica_runs::note_ended(const routing::replica& one, instant now)
{
	auto* known = find(one);
	if (known == nullptr || known->ended_at)
	{
		return false;
	}
	known->ended_at = now;
	++known->ends;
	known->runs.clear();
	return true;
}

bool replica_runs::has_ended(const routing::replica& one) const
{
	const auto* known = find(one);
	return known != nullptr && known->ended_at.has_value();
}

process_life replica_runs::life_of(const routing::replica& one) const
{
	const auto* known = find(one);
	const auto ends_before = known == nullptr ? 0 : known->ends - (known->ended_at ? 1 : 0);
	return process_life{static_cast<std::int64_t>(mix_hash(routing::process_hash(one), ends_before))};
}

std::vector<request_key> replica_runs::running_at(const routing::replica& one, instant now) const
{
	std::vector<request_key> keys;
	const auto* known = find(one);
	if (known == nullptr)
	{
		return keys;
	}
	for (const auto& run : known->runs)
	{
		if (counts(run, now))
		{
			keys.push_back(run.key);
		}
	}
	std::sort(keys.begin(), keys.end());
	keys.erase(std::unique(keys.begin(), keys.end()), keys.end());
	return keys;
}

void replica_runs::release(const replica_id& id, instant now)
{
	for (auto& [name, process] : processes_)
	{
		process.is_released = process.is_released || name.id == id;
		drop_old_runs(process, now);
	}
	std::erase_if(
		processes_, [](const auto& entry) { return entry.second.is_released && entry.second.runs.empty(); });
}
} // namespace gingerdyke::quarantine
