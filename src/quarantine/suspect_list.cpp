// SPDX-License-Identifier: MIT
// Requests that were running when replicas exited.
#include <algorithm>
#include <gingerdyke/quarantine/suspect_list.hpp>

namespace gingerdyke::quarantine
{
namespace
{
/// Keeps the smallest elements, so that the result of merging reports does not depend on their order.
template <typename Set>
void keep_smallest(Set& elements, std::size_t max_count)
{
	while (elements.size() > max_count)
	{
		elements.erase(std::prev(elements.end()));
	}
}
} // namespace

suspect_list::suspect_list(quarantine_hook on_quarantine, suspect_tuning tuning)
	: on_quarantine_(std::move(on_quarantine)), tuning_(tuning)
{
}

const suspect_list::entry* suspect_list::find(const request_key& key, instant now) const
{
	const auto found = suspects_.find(key);
	const bool is_known = found != suspects_.end() && now - found->second.last_exit <= tuning_.lifetime;
	return is_known ? &found->second : nullptr;
}

namespace
{
/// Number of processes among those that exited at the same time that were not running the request.
std::size_t count_unrelated(const std::set<process_instance>& simultaneous, const suspicion& evidence)
{
	return static_cast<std::size_t>(std::count_if(simultaneous.begin(), simultaneous.end(),
		[&](process_instance process) { return !evidence.ended.contains(process); }));
}
} // namespace

bool suspect_list::has_other_cause(
	const std::set<process_instance>& simultaneous, const suspicion& evidence) const
{
	return count_unrelated(simultaneous, evidence) >= tuning_.min_unrelated;
}

bool suspect_list::may_be_partial(const suspicion& evidence) const
{
	return evidence.ended.size() > 1 &&
		   std::all_of(evidence.ended.begin(), evidence.ended.end(),
			   [&](const auto& exit)
			   { return count_unrelated(exit.second, evidence) <= evidence.ended.size(); });
}

double suspect_list::weight_of(const suspicion& evidence) const
{
	double weight = 0;
	for (const auto& [process, simultaneous] : evidence.ended)
	{
		weight += has_other_cause(simultaneous, evidence) ? tuning_.simultaneous_weight : 1;
	}
	return weight;
}

bool suspect_list::exceeds_threshold(const suspicion& evidence, std::size_t additional_exits) const
{
	const auto exits = weight_of(evidence) + static_cast<double>(additional_exits);
	const auto completions = static_cast<double>(evidence.survived.size());
	return exits >= tuning_.quarantine_exits && exits > tuning_.min_exits_per_completion * completions;
}

/// After a simultaneous loss of many replicas, requests that were running on one or two of them are not
/// stored: storing them would cost writes, and these exits are hardly evidence. If a request caused several
/// simultaneous exits at VMs of two failure domains, each domain knows only half of them, and only the
/// registry merges the halves.
bool suspect_list::is_worth_storing(const entry& suspect, bool for_others) const
{
	const auto weight = weight_of(suspect.evidence);
	const bool has_isolated_exit = std::any_of(suspect.evidence.ended.begin(), suspect.evidence.ended.end(),
		[&](const auto& exit) { return !has_other_cause(exit.second, suspect.evidence); });
	if (weight >= tuning_.direct_store_weight)
	{
		return for_others || suspect.is_seen_here;
	}
	return for_others && (has_isolated_exit || may_be_partial(suspect.evidence));
}

bool suspect_list::is_quarantined(const request_key& key, instant now) const
{
	const auto* suspect = find(key, now);
	return suspect != nullptr && exceeds_threshold(suspect->evidence, 0);
}

bool suspect_list::is_undecided(const request_key& key, instant now) const
{
	const auto* suspect = find(key, now);
	return suspect != nullptr && !exceeds_threshold(suspect->evidence, 0) &&
		   exceeds_threshold(suspect->evidence, suspect->presumed.size());
}

bool suspect_list::is_near_quarantine(const request_key& key, instant now) const
{
	const auto* suspect = find(key, now);
	return suspect != nullptr && weight_of(suspect->evidence) >= tuning_.quarantine_exits - 1;
}

suspect_list::entry& suspect_list::find_or_add(const request_key& key, instant now)
{
	auto& suspect = suspects_[key];
	suspect.evidence.key = key;
	suspect.stored.key = key;
	suspect.last_exit = std::max(suspect.last_exit, now);
	return suspect;
}

void suspect_list::presume(process_instance process, const std::vector<request_key>& requests, instant now)
{
	drop_expired(now);
	for (const auto& key : requests)
	{
		auto& suspect = find_or_add(key, now);
		if (!suspect.evidence.ended.contains(process))
		{
			suspect.presumed.insert(process);
		}
	}
	enforce_max_suspects();
}

void suspect_list::confirm(
	process_instance process, const std::vector<process_instance>& simultaneous, instant now)
{
	for (auto& [key, suspect] : suspects_)
	{
		const bool was_running = suspect.presumed.erase(process) > 0;
		if (was_running)
		{
			add_exit(suspect.evidence, process, {});
			suspect.is_seen_here = true;
		}
		const bool is_new = add_simultaneous(suspect.evidence, simultaneous);
		if (was_running || is_new)
		{
			on_change(suspect, now);
		}
	}
}

/// \returns Whether anything was new.
bool suspect_list::add_simultaneous(suspicion& evidence, const std::vector<process_instance>& processes) const
{
	bool is_new = false;
	for (const auto process : processes)
	{
		const auto exit = evidence.ended.find(process);
		if (exit == evidence.ended.end())
		{
			continue;
		}
		std::set<process_instance> others{processes.begin(), processes.end()};
		others.erase(process);
		const auto before = exit->second;
		add_exit(evidence, process, others);
		is_new = is_new || exit->second != before;
	}
	return is_new;
}

void suspect_list::add_exit(
	suspicion& to, process_instance process, const std::set<process_instance>& simultaneous) const
{
	auto& kept = to.ended[process];
	kept.insert(simultaneous.begin(), simultaneous.end());
	keep_smallest(kept, tuning_.max_simultaneous);
	keep_smallest(to.ended, tuning_.max_processes);
}

void suspect_list::retract(process_instance process)
{
	for (auto suspect = suspects_.begin(); suspect != suspects_.end();)
	{
		const bool was_presumed = suspect->second.presumed.erase(process) > 0;
		const bool is_clear = suspect->second.presumed.empty() && suspect->second.evidence.ended.empty();
		suspect = was_presumed && is_clear ? suspects_.erase(suspect) : std::next(suspect);
	}
}

void suspect_list::add_completion(const request_key& key, process_instance process, instant now)
{
	const auto found = suspects_.find(key);
	if (found == suspects_.end() || found->second.evidence.survived.size() >= tuning_.max_processes)
	{
		return;
	}
	if (found->second.evidence.survived.insert(process).second)
	{
		on_change(found->second, now);
	}
}

void suspect_list::merge(const suspicion& report, instant last_exit, instant now)
{
	if (report.ended.empty() || now - last_exit > tuning_.lifetime)
	{
		return;
	}
	auto& suspect = find_or_add(report.key, last_exit);
	if (merge_evidence(suspect.evidence, report))
	{
		on_change(suspect, now);
	}
	enforce_max_suspects();
}

void suspect_list::merge_stored(const suspicion& stored, instant last_exit, instant now)
{
	merge(stored, last_exit, now);
	const auto found = suspects_.find(stored.key);
	if (found != suspects_.end())
	{
		static_cast<void>(merge_evidence(found->second.stored, stored));
	}
}

/// \returns Whether anything was new.
bool suspect_list::merge_evidence(suspicion& into, const suspicion& from) const
{
	const auto before = into;
	for (const auto& [process, simultaneous] : from.ended)
	{
		add_exit(into, process, simultaneous);
	}
	into.survived.insert(from.survived.begin(), from.survived.end());
	keep_smallest(into.survived, tuning_.max_processes);
	return into != before;
}

void suspect_list::on_change(entry& suspect, instant now)
{
	suspect.changed_at = now;
	const bool is_quarantined_now = exceeds_threshold(suspect.evidence, 0);
	if (is_quarantined_now && !suspect.is_quarantine_reported)
	{
		on_quarantine_(suspect.evidence, weight_of(suspect.evidence));
	}
	suspect.is_quarantine_reported = is_quarantined_now;
}

std::vector<suspicion> suspect_list::recent_changes(std::size_t min_exits, instant now) const
{
	std::vector<const entry*> found;
	for (const auto& [key, suspect] : suspects_)
	{
		if (suspect.evidence.ended.size() >= std::max<std::size_t>(1, min_exits) &&
			now - suspect.changed_at <= tuning_.report_time)
		{
			found.push_back(&suspect);
		}
	}
	std::stable_sort(found.begin(), found.end(),
		[](const entry* a, const entry* b) { return a->evidence.ended.size() > b->evidence.ended.size(); });
	found.resize(std::min(found.size(), tuning_.max_reported));
	std::vector<suspicion> report;
	report.reserve(found.size());
	for (const auto* suspect : found)
	{
		report.push_back(suspect->evidence);
	}
	return report;
}

std::vector<suspicion> suspect_list::unstored(bool for_others, instant now) const
{
	std::vector<suspicion> result;
	std::vector<suspicion> single_exits;
	for (const auto& [key, suspect] : suspects_)
	{
		auto merged = suspect.stored;
		if (!is_worth_storing(suspect, for_others) || find(key, now) == nullptr ||
			!merge_evidence(merged, suspect.evidence))
		{
			continue;
		}
		const bool is_single_exit = weight_of(suspect.evidence) < tuning_.direct_store_weight;
		(is_single_exit ? single_exits : result).push_back(std::move(merged));
	}
	if (single_exits.size() <= tuning_.max_singles_stored)
	{
		result.insert(result.end(), single_exits.begin(), single_exits.end());
	}
	return result;
}

std::optional<instant> suspect_list::last_exit(const request_key& key) const
{
	const auto found = suspects_.find(key);
	return found == suspects_.end() ? std::nullopt : std::optional{found->second.last_exit};
}

std::size_t suspect_list::quarantined_count(instant now) const
{
	return static_cast<std::size_t>(std::count_if(suspects_.begin(), suspects_.end(),
		[&](const auto& entry) { return is_quarantined(entry.first, now); }));
}

void suspect_list::drop_expired(instant now)
{
	std::erase_if(
		suspects_, [&](const auto& entry) { return now - entry.second.last_exit > tuning_.lifetime; });
}

void suspect_list::enforce_max_suspects()
{
	while (suspects_.size() > tuning_.max_suspects)
	{
		const auto weakest = std::min_element(suspects_.begin(), suspects_.end(),
			[](const auto& a, const auto& b)
			{
				return std::pair{a.second.evidence.ended.size(), a.second.last_exit} <
					   std::pair{b.second.evidence.ended.size(), b.second.last_exit};
			});
		suspects_.erase(weakest);
	}
}
} // namespace gingerdyke::quarantine
