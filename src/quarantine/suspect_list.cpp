// SPDX-License-Identifier: MIT
// Requests that were running when replicas exited, and the parts of their prompts.
#include <algorithm>
#include <gingerdyke/quarantine/suspect_list.hpp>
#include <limits>
#include <tuple>
#include <utility>

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

/// Keeps the newest elements of a part's evidence.
template <typename Set>
void keep_newest(Set& elements, std::map<process_instance, instant>& times, std::size_t max_count)
{
	while (elements.size() > max_count && !times.empty())
	{
		const auto oldest = std::min_element(
			times.begin(), times.end(), [](const auto& a, const auto& b) { return a.second < b.second; });
		elements.erase(oldest->first);
		times.erase(oldest);
	}
}

/// Records when something happened. VMs learn of it one after the other: the earliest time is the true one.
void record_time(std::map<process_instance, instant>& times, process_instance of, instant at)
{
	// Without a tolerance the delays of reports would change the evidence again and again.
	constexpr duration tolerance = std::chrono::milliseconds{100};
	const auto [known, is_new] = times.try_emplace(of, at);
	if (!is_new && known->second > at + tolerance)
	{
		known->second = at;
	}
}

/// Only the evidence against parts, and combinations of them, holds times.
bool has_times(const content_key& key) noexcept
{
	return is_part(key) || is_combination(key);
}
} // namespace

suspect_list::suspect_list(quarantine_hook on_quarantine, suspect_tuning tuning)
	: on_quarantine_(std::move(on_quarantine)), tuning_(tuning)
{
}

const suspect_list::entry* suspect_list::find(const content_key& key, instant now) const
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

double suspect_list::weight_of_exit(const suspicion& evidence, process_instance process) const
{
	return has_other_cause(evidence.ended.at(process), evidence) ? tuning_.simultaneous_weight : 1;
}

change_point suspect_list::counted(const suspicion& evidence) const
{
	const auto weight = [&](process_instance process) { return weight_of_exit(evidence, process); };
	if (has_times(evidence.key))
	{
		return find_change_point(evidence, weight, tuning_.min_exits_per_completion);
	}
	change_point all{{}, evidence.ended.size(), 0, evidence.survived.size(), 0};
	for (const auto& [process, simultaneous] : evidence.ended)
	{
		all.weight += weight(process);
	}
	all.strength = all.weight - tuning_.min_exits_per_completion * static_cast<double>(all.completions);
	return all;
}

double suspect_list::required_exits(const content_key& key) const
{
	return has_times(key) ? tuning_.part_quarantine_exits : tuning_.quarantine_exits;
}

std::size_t suspect_list::max_processes(const content_key& key) const
{
	return has_times(key) ? tuning_.max_processes_of_part : tuning_.max_processes;
}

bool suspect_list::exceeds_threshold(const suspicion& evidence, std::size_t additional_exits) const
{
	const auto additional = static_cast<double>(additional_exits);
	if (static_cast<double>(evidence.ended.size()) + additional < required_exits(evidence.key))
	{
		return false;
	}
	const auto counts = counted(evidence);
	return counts.weight + additional >= required_exits(evidence.key) && counts.strength + additional > 0;
}

bool suspect_list::is_cleared(const suspicion& evidence) const
{
	return counted(evidence).strength <= 0;
}

/// After a simultaneous loss of many replicas, requests that were running on one or two of them are not
/// stored: storing them would cost writes, and these exits are hardly evidence. If a request caused several
/// simultaneous exits at VMs of two failure domains, each domain knows only half of them, and only the
/// registry merges the halves.
bool suspect_list::is_worth_storing(const entry& suspect, bool for_others) const
{
	if (is_part(suspect.evidence.key) || is_combination(suspect.evidence.key))
	{
		return (for_others || suspect.is_seen_here) && is_part_worth_storing(suspect);
	}
	const auto weight = counts_of(suspect).weight;
	const bool has_isolated_exit = std::any_of(suspect.evidence.ended.begin(), suspect.evidence.ended.end(),
		[&](const auto& exit) { return !has_other_cause(exit.second, suspect.evidence); });
	if (weight >= tuning_.direct_store_weight)
	{
		return for_others || suspect.is_seen_here;
	}
	return for_others && (has_isolated_exit || may_be_partial(suspect.evidence));
}

/// Thousands of parts stand beside exits, and most of them are completed a moment later.
bool suspect_list::is_part_worth_storing(const entry& suspect) const
{
	const bool has_exits = static_cast<double>(suspect.evidence.ended.size()) >= tuning_.direct_store_weight;
	const bool is_suspicious = has_exits && counts_of(suspect).weight >= tuning_.direct_store_weight &&
							   counts_of(suspect).strength > 0;
	const bool is_stored_suspicious = !suspect.stored.ended.empty() && !is_cleared(suspect.stored);
	return is_suspicious || is_stored_suspicious;
}

quarantine_verdict suspect_list::verdict_on(const content_keys& request, instant now)
{
	if (has_unexplained_exits(request.request, request, now))
	{
		return quarantine_verdict::quarantined;
	}
	bool is_ambiguous = false;
	for (const auto& parts : blamed(now))
	{
		if (!parts.overlap(request) || find(parts.parts.front(), now) == nullptr)
		{
			continue;
		}
		if (parts.parts.size() == 1)
		{
			return quarantine_verdict::quarantined;
		}
		is_ambiguous = is_ambiguous || has_unexplained_exits(request.combination, request, now);
	}
	return is_ambiguous ? quarantine_verdict::ambiguous : quarantine_verdict::allowed;
}

bool suspect_list::has_unexplained_exits(const content_key& key, const content_keys& request, instant now)
{
	const auto* suspect = find(key, now);
	return suspect != nullptr && exceeds_threshold(suspect->evidence, 0) &&
		   exceeds_threshold(without_explained_exits(suspect->evidence, request, now), 0);
}

/// A request that was running on replicas which parts of other requests ended is not to blame.
suspicion suspect_list::without_explained_exits(
	const suspicion& evidence, const content_keys& request, instant now)
{
	auto remaining = evidence;
	for (const auto& parts : blamed(now))
	{
		if (!parts.overlap(request))
		{
			std::erase_if(
				remaining.ended, [&](const auto& exit) { return parts.exits.contains(exit.first); });
		}
	}
	return remaining;
}

bool suspect_list::is_blamed(const content_key& part, instant now)
{
	const auto& all = blamed(now);
	return std::any_of(all.begin(), all.end(),
		[&](const blamed_parts& parts)
		{ return std::find(parts.parts.begin(), parts.parts.end(), part) != parts.parts.end(); });
}

bool suspect_list::is_undecided(const content_keys& request, instant now) const
{
	const auto keys = request.all();
	return std::any_of(keys.begin(), keys.end(),
		[&](const content_key& key)
		{
			const auto* suspect = find(key, now);
			return suspect != nullptr && !suspect->presumed.empty() &&
				   !exceeds_threshold(suspect->evidence, 0) &&
				   exceeds_threshold(suspect->evidence, suspect->presumed.size());
		});
}

bool suspect_list::is_near_quarantine(const content_key& key, instant now) const
{
	const auto* suspect = find(key, now);
	if (suspect == nullptr || static_cast<double>(suspect->evidence.ended.size()) < required_exits(key) - 1)
	{
		return false;
	}
	const bool is_request = !is_part(key) && !is_combination(key);
	const auto& counts = counts_of(*suspect);
	return (is_request || counts.strength > 0) && counts.weight >= required_exits(key) - 1;
}

bool suspect_list::is_near_quarantine(const content_keys& request, instant now) const
{
	const auto keys = request.all();
	return std::any_of(
		keys.begin(), keys.end(), [&](const content_key& key) { return is_near_quarantine(key, now); });
}

suspect_list::entry& suspect_list::find_or_add(const content_key& key, instant now)
{
	auto& suspect = suspects_[key];
	suspect.evidence.key = key;
	suspect.stored.key = key;
	suspect.last_exit = std::max(suspect.last_exit, now);
	return suspect;
}

void suspect_list::presume(process_instance process, const std::vector<content_key>& keys, instant now)
{
	drop_expired(now);
	const bool is_explained =
		std::any_of(keys.begin(), keys.end(), [&](const content_key& key) { return is_blamed(key, now); });
	for (const auto& key : keys)
	{
		if (is_explained && !is_blamed(key, now))
		{
			continue;
		}
		auto& suspect = find_or_add(key, now);
		for (const auto& completed : completions_.of(key, now))
		{
			add_timed_completion(suspect.evidence, completed.id, completed.began_at);
			suspect.counts.reset();
		}
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
			add_exit(suspect.evidence, process, {}, now);
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
		add_exit(evidence, process, others, evidence.exit_time(process));
		is_new = is_new || exit->second != before;
	}
	return is_new;
}

void suspect_list::add_exit(
	suspicion& to, process_instance process, const std::set<process_instance>& simultaneous, instant at) const
{
	auto& kept = to.ended[process];
	kept.insert(simultaneous.begin(), simultaneous.end());
	keep_smallest(kept, tuning_.max_simultaneous);
	if (!has_times(to.key))
	{
		keep_smallest(to.ended, max_processes(to.key));
		return;
	}
	record_time(to.exit_times, process, at);
	keep_newest(to.ended, to.exit_times, max_processes(to.key));
}

/// Once the completions since the last exit outweigh as many exits as are kept, more change nothing before
/// the next exit. Each would be reported to other VMs.
bool suspect_list::is_completion_needed(const suspicion& evidence) const
{
	instant last_exit;
	for (const auto& [process, at] : evidence.exit_times)
	{
		last_exit = std::max(last_exit, at);
	}
	const auto since = std::count_if(evidence.completion_times.begin(), evidence.completion_times.end(),
		[&](const auto& completion) { return completion.second >= last_exit; });
	return static_cast<double>(since) * tuning_.min_exits_per_completion <
		   static_cast<double>(max_processes(evidence.key));
}

bool suspect_list::add_timed_completion(suspicion& to, process_instance completion, instant began_at) const
{
	if (to.survived.contains(completion))
	{
		record_time(to.completion_times, completion, began_at);
		return false;
	}
	if (!is_completion_needed(to))
	{
		return false;
	}
	to.survived.insert(completion);
	record_time(to.completion_times, completion, began_at);
	keep_newest(to.survived, to.completion_times, max_processes(to.key));
	return true;
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

void suspect_list::add_completion(const content_key& request, process_instance process, instant now)
{
	const auto found = suspects_.find(request);
	if (found == suspects_.end() || found->second.evidence.survived.size() >= max_processes(request))
	{
		return;
	}
	if (found->second.evidence.survived.insert(process).second)
	{
		on_change(found->second, now);
	}
}

void suspect_list::add_part_completion(
	const content_key& part, const recent_completions::completion& completed, instant now)
{
	completions_.add(part, completed, now);
	const auto found = suspects_.find(part);
	if (found == suspects_.end())
	{
		return;
	}
	if (add_timed_completion(found->second.evidence, completed.id, completed.began_at))
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
	if (merge_evidence(suspect.evidence, report, now))
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
		static_cast<void>(merge_evidence(found->second.stored, stored, now));
	}
}

/// \returns Whether anything was new.
bool suspect_list::merge_evidence(suspicion& into, const suspicion& from, instant now) const
{
	const auto before = into;
	for (const auto& [process, simultaneous] : from.ended)
	{
		const auto known_at = from.exit_times.find(process);
		add_exit(into, process, simultaneous, known_at == from.exit_times.end() ? now : known_at->second);
	}
	if (has_times(into.key))
	{
		for (const auto completion : from.survived)
		{
			const auto known_at = from.completion_times.find(completion);
			add_timed_completion(
				into, completion, known_at == from.completion_times.end() ? now : known_at->second);
		}
		return into != before;
	}
	into.survived.insert(from.survived.begin(), from.survived.end());
	keep_smallest(into.survived, max_processes(into.key));
	return into != before;
}

void suspect_list::on_change(entry& suspect, instant now)
{
	suspect.changed_at = now;
	suspect.counts.reset();
	if (is_part(suspect.evidence.key))
	{
		is_blame_outdated_ = true;
		return;
	}
	if (is_combination(suspect.evidence.key))
	{
		return;
	}
	const content_keys request{suspect.evidence.key, {}};
	report_quarantine(suspect, has_unexplained_exits(request.request, request, now));
}

bool suspect_list::is_known_part(const suspicion& evidence, instant now) const
{
	return completions_.is_known(evidence.key, now) || !evidence.survived.empty();
}

const change_point& suspect_list::counts_of(const entry& suspect) const
{
	if (!suspect.counts)
	{
		suspect.counts = counted(suspect.evidence);
	}
	return *suspect.counts;
}

std::optional<part_candidate> suspect_list::candidate(const entry& suspect, instant now) const
{
	const auto& evidence = suspect.evidence;
	const auto& counts = counts_of(suspect);
	const bool is_known = is_known_part(evidence, now);
	const auto required = tuning_.part_quarantine_exits * (is_known ? tuning_.known_part_factor : 1);
	const auto strength = is_known ? counts.strength : counts.weight;
	if (strength < required || counts.strength <= 0)
	{
		return std::nullopt;
	}
	part_candidate found{
		evidence.key, {}, counts.completions, counts.strength, required, is_known, counts.since};
	for (const auto& [process, simultaneous] : evidence.ended)
	{
		if (evidence.exit_time(process) >= counts.since)
		{
			found.exits.insert(process);
		}
	}
	return found;
}

std::vector<part_candidate> suspect_list::candidates(instant now)
{
	next_blame_at_.reset();
	std::vector<part_candidate> found;
	for (auto& [key, suspect] : suspects_)
	{
		const auto exits = static_cast<double>(suspect.evidence.ended.size());
		if (!is_part(key) || exits < tuning_.part_quarantine_exits || find(key, now) == nullptr)
		{
			continue;
		}
		const auto possible = candidate(suspect, now);
		if (!possible)
		{
			suspect.suspected_since.reset();
			continue;
		}
		// Of many exits only the newest are kept, so that the first one that counts becomes later.
		suspect.suspected_since =
			std::min(suspect.suspected_since.value_or(possible->since), possible->since);
		const auto judged_at =
			*suspect.suspected_since + (possible->is_known ? tuning_.known_part_delay : duration{0});
		if (judged_at <= now)
		{
			found.push_back(*possible);
			continue;
		}
		next_blame_at_ = std::min(next_blame_at_.value_or(judged_at), judged_at);
	}
	return found;
}

/// Computed when it is asked for: one exit, or one report, changes the evidence against many parts.
const std::vector<blamed_parts>& suspect_list::blamed(instant now)
{
	const bool is_due = next_blame_at_ && *next_blame_at_ <= now;
	if (!std::exchange(is_blame_outdated_, false) && !is_due)
	{
		return blamed_;
	}
	blamed_ = find_blamed_parts(candidates(now));
	for (auto& [key, suspect] : suspects_)
	{
		if (is_part(key))
		{
			report_quarantine(suspect, is_blamed(key, now));
		}
	}
	return blamed_;
}

void suspect_list::report_quarantine(entry& suspect, bool is_quarantined)
{
	if (is_quarantined && !suspect.is_quarantine_reported)
	{
		on_quarantine_(suspect.evidence, counts_of(suspect).weight);
	}
	suspect.is_quarantine_reported = is_quarantined;
}

bool suspect_list::is_sound_part(const content_key& key, const entry& suspect) const
{
	return is_part(key) && counts_of(suspect).strength <= 0;
}

bool suspect_list::is_recent(const entry& suspect, instant now) const
{
	return !suspect.evidence.ended.empty() && now - suspect.changed_at <= tuning_.report_time;
}

std::vector<suspicion> suspect_list::recent_changes(std::size_t min_exits, instant now) const
{
	return ranked([&](const content_key&, const entry& suspect)
		{ return is_recent(suspect, now) && suspect.evidence.ended.size() >= min_exits; });
}

std::vector<suspicion> suspect_list::essential(instant now) const
{
	constexpr std::size_t min_exits = 2;
	return ranked(
		[&](const content_key& key, const entry& suspect)
		{
			const bool is_valid = now - suspect.last_exit <= tuning_.lifetime;
			const bool is_strong = suspect.evidence.ended.size() >= min_exits && !is_sound_part(key, suspect);
			return is_recent(suspect, now) || (is_valid && is_strong);
		});
}

std::vector<suspicion> suspect_list::ranked(
	const std::function<bool(const content_key&, const entry&)>& is_included) const
{
	// What may have to be quarantined comes first, and parts before requests, which are fewer.
	struct ranked_entry
	{
		std::tuple<bool, std::size_t, bool> rank;
		const entry* suspect;
	};
	std::vector<ranked_entry> found;
	for (const auto& [key, suspect] : suspects_)
	{
		if (is_included(key, suspect))
		{
			const auto exits = suspect.evidence.ended.size();
			found.push_back({{is_sound_part(key, suspect), std::numeric_limits<std::size_t>::max() - exits,
								 !is_part(key)},
				&suspect});
		}
	}
	std::stable_sort(found.begin(), found.end(),
		[](const ranked_entry& a, const ranked_entry& b) { return a.rank < b.rank; });
	found.resize(std::min(found.size(), tuning_.max_reported));
	std::vector<suspicion> report;
	report.reserve(found.size());
	for (const auto& entry : found)
	{
		report.push_back(entry.suspect->evidence);
		report.back().last_exit = entry.suspect->last_exit;
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
			!merge_evidence(merged, suspect.evidence, now))
		{
			continue;
		}
		const bool is_single_exit = counts_of(suspect).weight < tuning_.direct_store_weight;
		(is_single_exit ? single_exits : result).push_back(std::move(merged));
	}
	if (single_exits.size() <= tuning_.max_singles_stored)
	{
		result.insert(result.end(), single_exits.begin(), single_exits.end());
	}
	return result;
}

void suspect_list::forget_stored()
{
	for (auto& [key, suspect] : suspects_)
	{
		suspect.stored = {};
		suspect.stored.key = key;
	}
}

void suspect_list::forget(const content_key& key)
{
	is_blame_outdated_ = suspects_.erase(key) > 0 || is_blame_outdated_;
}

std::optional<instant> suspect_list::last_exit(const content_key& key) const
{
	const auto found = suspects_.find(key);
	return found == suspects_.end() ? std::nullopt : std::optional{found->second.last_exit};
}

std::size_t suspect_list::quarantined_count(instant now)
{
	return static_cast<std::size_t>(std::count_if(suspects_.begin(), suspects_.end(),
		[&](const auto& entry)
		{
			const content_keys request{entry.first, {}};
			const bool is_request = !is_part(entry.first) && !is_combination(entry.first);
			return is_request && has_unexplained_exits(entry.first, request, now);
		}));
}

std::size_t suspect_list::quarantined_part_count(instant now)
{
	std::size_t count = 0;
	for (const auto& together : blamed(now))
	{
		count += together.parts.size();
	}
	return count;
}

void suspect_list::drop_expired(instant now)
{
	const auto dropped = std::erase_if(
		suspects_, [&](const auto& entry) { return now - entry.second.last_exit > tuning_.lifetime; });
	is_blame_outdated_ = is_blame_outdated_ || dropped > 0;
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
		is_blame_outdated_ = true;
	}
}
} // namespace gingerdyke::quarantine
