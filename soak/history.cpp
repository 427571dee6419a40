// SPDX-License-Identifier: MIT
// What callers and replicas saw, and the promises that it is checked against.
#include "history.hpp"

#include <algorithm>
#include <standin/deployment.hpp>

namespace gingerdyke::soak
{
namespace
{
constexpr int ok = 200;
constexpr int too_many = 429;
constexpr int unavailable = 503;

/// A key that was taken away must not work longer than this; the settings of the VMs say the same.
constexpr std::chrono::seconds revocation_limit{5};

/// Once a VM has shown a configuration, requests sent later than this must not see an older one.
constexpr std::chrono::milliseconds downgrade_limit{250};

/// A request sent later than this after a replica left must not reach it. The settings of the VMs say 2 s;
/// a second more for processes that wait for a processor.
constexpr std::chrono::seconds leave_limit{3};

/// The same for a VM that loses the registry again and again: other VMs tell it, as soon as it has noticed.
constexpr std::chrono::seconds disturbed_leave_limit{4};

/// A request sent later than this after the order to evacuate a replica's failure domain must not reach it.
constexpr std::chrono::seconds evacuation_limit{4};

/// Replicas that a request may end, and those that it may end later than this after them.
constexpr std::size_t ends_allowed = 3;
constexpr std::size_t ends_of_part_allowed = 5;

/// Sound requests that share other parts with those that crash replicas; with fewer there is no verdict.
constexpr std::size_t min_sound_requests = 20;
constexpr double min_sound_share = 0.5;
constexpr std::chrono::seconds contact_limit{3};
constexpr std::size_t late_ends_allowed = 3;

bool is_refusal(int status)
{
	return status == unavailable || status == too_many;
}
} // namespace

void history::sent(const sent_request& what)
{
	requests_[what.id].sent = what;
}

void history::answered(const std::string& id, const received_answer& answer)
{
	requests_[id].answer = answer;
}

void history::ran(const platform::standin::replica_run& run, instant at)
{
	const auto found = requests_.find(run.request_id);
	if (found == requests_.end())
	{
		broken("only what callers sent runs", run.request_id + " at " + run.replica);
		return;
	}
	found->second.runs.push_back({run, at});
}

void history::broken(const std::string& promise, const std::string& what)
{
	broken_.push_back(promise + ": " + what);
}

std::size_t history::served_count() const
{
	return static_cast<std::size_t>(std::count_if(requests_.begin(), requests_.end(),
		[](const auto& entry) { return entry.second.answer && entry.second.answer->status == ok; }));
}

std::vector<std::string> history::judge() const
{
	auto found = broken_;
	for (const auto& [id, one] : requests_)
	{
		judge_request(one, found);
		judge_body(one, found);
		judge_key(one, found);
	}
	judge_versions(found);
	judge_stops(found);
	judge_departures(found);
	judge_evacuations(found);
	judge_crashes(found);
	judge_sound_requests(found);
	for (auto& one : judge_statements(arrivals_))
	{
		found.push_back(std::move(one));
	}
	return found;
}

void history::arrived(const std::string& request_id, const std::string& replica,
	const platform::standin::statement& said, instant at)
{
	const auto found = requests_.find(request_id);
	if (found == requests_.end())
	{
		broken("replicas get callers' requests", request_id + " at " + replica);
		return;
	}
	const auto& sent = found->second.sent;
	arrivals_.push_back({said, replica, sent.vm + "/" + std::to_string(sent.life), at});
}

void history::judge_request(const record& one, findings& into) const
{
	const auto& id = one.sent.id;
	if (one.sent.kind == request_kind::once && one.runs.size() > 1)
	{
		into.push_back("at most once: " + id + " ran " + std::to_string(one.runs.size()) + " times");
	}
	const bool was_refused = one.answer && is_refusal(one.answer->status);
	if (one.sent.kind == request_kind::once && was_refused && !one.runs.empty())
	{
		into.push_back(
			"a refusal is true: " + id + " was refused and ran at " + one.runs.front().run.replica);
	}
	for (const auto& seen : one.runs)
	{
		if (seen.run.path != one.sent.path)
		{
			into.push_back("requests are passed on unchanged: " + id + " ran as " + seen.run.path);
		}
		if (seen.run.has_key || seen.run.workspace != platform::standin::workspace_name)
		{
			into.push_back("replicas learn the workspace and not the key: " + id);
		}
	}
}

void history::judge_body(const record& one, findings& into)
{
	if (!one.answer || one.answer->status != ok || !one.answer->is_whole)
	{
		return;
	}
	const auto& id = one.sent.id;
	auto expected = platform::standin::whole_body(id);
	if (one.sent.kind == request_kind::stream)
	{
		expected.clear();
		for (int i = 1; i <= platform::standin::events_per_stream; ++i)
		{
			expected += platform::standin::stream_event(id, i);
		}
	}
	if (one.answer->body != expected)
	{
		into.push_back("a complete answer is whole and the caller's own: " + id + " got '" +
					   one.answer->body.substr(0, 200) + "'");
	}
}

void history::judge_key(const record& one, findings& into) const
{
	const auto removed = removed_keys_.find(one.sent.key);
	if (removed == removed_keys_.end())
	{
		return;
	}
	const bool too_late = one.sent.at - removed->second > revocation_limit;
	if (too_late && !one.runs.empty())
	{
		into.push_back("a key that was taken away stops working: " + one.sent.id);
	}
}

/// For each life of a VM, requests in the order in which they were sent.
void history::judge_versions(findings& into) const
{
	struct effect
	{
		instant sent;
		instant seen;
		int version;
		std::string id;
	};
	std::map<std::pair<std::string, unsigned>, std::vector<effect>> by_life;
	for (const auto& [id, one] : requests_)
	{
		if (one.sent.version && one.answer && one.answer->status == ok)
		{
			by_life[{one.sent.vm, one.sent.life}].push_back(
				{one.sent.at, one.answer->at, *one.sent.version, id});
		}
	}
	for (const auto& [life, effects] : by_life)
	{
		for (const auto& older : effects)
		{
			const bool goes_back = std::any_of(effects.begin(), effects.end(),
				[&](const effect& newer)
				{ return newer.version > older.version && older.sent > newer.seen + downgrade_limit; });
			if (goes_back)
			{
				into.push_back("a configuration never goes back: " + older.id + " at " + life.first);
			}
		}
	}
}

void history::judge_stops(findings& into) const
{
	for (const auto& stop : stops_)
	{
		for (const auto& [id, one] : requests_)
		{
			const bool concerns = one.sent.vm == stop.vm && one.sent.life == stop.life && !one.runs.empty();
			const bool was_cut =
				one.answer && !one.answer->timed_out && !one.answer->is_whole && one.answer->at >= stop.begun;
			if (concerns && was_cut)
			{
				into.push_back("a planned stop cuts nothing: " + id + " at " + stop.vm);
			}
		}
	}
}

void history::judge_departures(findings& into) const
{
	for (const auto& gone : departures_)
	{
		for (const auto& [id, one] : requests_)
		{
			const auto limit = gone.disturbed_vms.contains(one.sent.vm) ? disturbed_leave_limit : leave_limit;
			const bool ran_there = std::any_of(one.runs.begin(), one.runs.end(),
				[&](const seen_run& seen) { return seen.run.replica == gone.replica; });
			if (one.sent.at > gone.at + limit && ran_there)
			{
				into.push_back("a replica that left gets nothing: " + id + " at " + gone.replica +
							   " through " + one.sent.vm);
			}
		}
	}
}

void history::judge_evacuations(findings& into) const
{
	for (const auto& order : evacuations_)
	{
		for (const auto& [id, one] : requests_)
		{
			const bool is_within = one.sent.at > order.ordered + evacuation_limit;
			const bool ran_there = std::any_of(one.runs.begin(), one.runs.end(),
				[&](const seen_run& seen)
				{ return seen.at < order.withdrawn && order.replicas.contains(seen.run.replica); });
			if (is_within && ran_there)
			{
				into.push_back("an evacuated failure domain gets nothing: " + id + " through " + one.sent.vm);
			}
		}
	}
}

bool crashing_request::is(const sent_request& what) const
{
	return part.empty() ? what.path == path
						: std::find(what.parts.begin(), what.parts.end(), part) != what.parts.end();
}

std::vector<crash_end> history::ends_of(const crashing_request& what) const
{
	std::vector<crash_end> ends;
	for (const auto& [id, one] : requests_)
	{
		for (const auto& seen : one.runs)
		{
			if (what.is(one.sent))
			{
				ends.push_back({seen.at, seen.run.replica, one.sent.vm});
			}
		}
	}
	std::sort(ends.begin(), ends.end(), [](const auto& a, const auto& b) { return a.at < b.at; });
	return ends;
}

std::vector<crash_end> history::crash_ends() const
{
	std::vector<crash_end> all;
	for (const auto& crashing : crashing_)
	{
		const auto ends = ends_of(crashing);
		all.insert(all.end(), ends.begin(), ends.end());
	}
	return all;
}

void history::judge_crashes(findings& into) const
{
	for (const auto& crashing : crashing_)
	{
		const auto ends = ends_of(crashing);
		const auto allowed = crashing.part.empty() ? ends_allowed : ends_of_part_allowed;
		if (ends.size() <= allowed)
		{
			continue;
		}
		const auto late = std::count_if(ends.begin(), ends.end(),
			[&](const auto& one) { return one.at > ends.at(allowed - 1).at + contact_limit; });
		if (static_cast<std::size_t>(late) > late_ends_allowed)
		{
			into.push_back("a request that ends replicas is held back: " + crashing.path + crashing.part +
						   " ended " + std::to_string(ends.size()) + ", " + std::to_string(late) +
						   " of them late");
		}
	}
}

/// Requests that share other parts with those that crash replicas are served again once the part is known.
void history::judge_sound_requests(findings& into) const
{
	for (const auto& crashing : crashing_)
	{
		const auto ends = ends_of(crashing);
		if (crashing.part.empty() || ends.empty() || !crashing.until)
		{
			continue;
		}
		const auto last_counted = std::min(ends.size(), ends_of_part_allowed) - 1;
		const auto since = ends[last_counted].at + 2 * contact_limit;
		std::size_t sent = 0;
		std::size_t served = 0;
		for (const auto& [id, one] : requests_)
		{
			const bool is_counted = !one.sent.parts.empty() && !crashing.is(one.sent) &&
									one.sent.at > since && one.sent.at < *crashing.until;
			sent += is_counted ? 1 : 0;
			served += is_counted && one.answer && one.answer->status == 200 ? 1 : 0;
		}
		if (sent >= min_sound_requests &&
			static_cast<double>(served) < min_sound_share * static_cast<double>(sent))
		{
			into.push_back("requests without the part that ends replicas are served: " +
						   std::to_string(served) + " of " + std::to_string(sent));
		}
	}
}
} // namespace gingerdyke::soak
