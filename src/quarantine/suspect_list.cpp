// SPDX-License-Identifier: MIT
// Requests under which replicas ended.
#include <algorithm>
#include <gingerdyke/quarantine/suspect_list.hpp>

namespace gingerdyke::quarantine
{
namespace
{
/// Keeps the smallest: so the sum of reports does not depend on their order.
template <typename Set>
void keep_smallest(Set& of, std::size_t most)
{
	while (of.size() > most)
	{
		of.erase(std::prev(of.end()));
	}
}
} // namespace

suspect_list::suspect_list(hold_hook held, suspect_tuning tuning) : held_(std::move(held)), tuning_(tuning) {}

const suspect_list::entry* suspect_list::find(const request_key& key, instant now) const
{
	const auto found = suspects_.find(key);
	const bool is_known = found != suspects_.end() && now - found->second.last_end <= tuning_.lifetime;
	return is_known ? &found->second : nullptr;
}

namespace
{
/// Lives that ended at a moment and did not end under the request.
std::size_t count_others(const std::set<process_life>& together, const suspicion& known)
{
	return static_cast<std::size_t>(std::count_if(
		together.begin(), together.end(), [&](process_life life) { return !known.ended.contains(life); }));
}
} // namespace

bool suspect_list::has_other_cause(const std::set<process_life>& together, const suspicion& known) const
{
	return count_others(together, known) >= tuning_.others_together;
}

bool suspect_list::is_half_known(const suspicion& known) const
{
	return known.ended.size() > 1 &&
		   std::all_of(known.ended.begin(), known.ended.end(),
			   [&](const auto& end) { return count_others(end.second, known) <= known.ended.size(); });
}

double suspect_list::weight_of(const suspicion& known) const
{
	double weight = 0;
	for (const auto& [life, together] : known.ended)
	{
		weight += has_other_cause(together, known) ? tuning_.together_weight : 1;
	}
	return weight;
}

bool suspect_list::is_enough(const suspicion& known, std::size_t further_ends) const
{
	const auto ends = weight_of(known) + static_cast<double>(further_ends);
	const auto survivals = static_cast<double>(known.survived.size());
	return ends >= tuning_.ends_to_hold && ends > tuning_.ends_for_survival * survivals;
}

/// A loss of many replicas at once leaves requests beside one or two of them: to store these would cost
/// writes and says next to nothing. Of a request that ended a few at once at VMs of two failure domains each
/// domain knows a half; only the registry brings the halves together.
bool suspect_list::is_worth_storing(const entry& one, bool for_others) const
{
	const auto weight = weight_of(one.known);
	const bool has_end_alone = std::any_of(one.known.ended.begin(), one.known.ended.end(),
		[&](const auto& end) { return !has_other_cause(end.second, one.known); });
	if (weight >= tuning_.weight_to_store)
	{
		return for_others || one.is_own;
	}
	return for_others && (has_end_alone || is_half_known(one.known));
}

bool suspect_list::is_held(const request_key& key, instant now) const
{
	const auto* one = find(key, now);
	return one != nullptr && is_enough(one->known, 0);
}

bool suspect_list::is_open(const request_key& key, instant now) const
{
	const auto* one = find(key, now);
	return one != nullptr && !is_enough(one->known, 0) && is_enough(one->known, one->presumed.size());
}

bool suspect_list::is_nearly_held(const request_key& key, instant now) const
{
	const auto* one = find(key, now);
	return one != nullptr && weight_of(one->known) >= tuning_.ends_to_hold - 1;
}

suspect_list::entry& suspect_list::entry_of(const request_key& key, instant now)
{
	auto& one = suspects_[key];
	one.known.key = key;
	one.stored.key = key;
	one.last_end = std::max(one.last_end, now);
	return one;
}

void suspect_list::presume(process_life life, const std::vector<request_key>& requests, instant now)
{
	drop_old(now);
	for (const auto& key : requests)
	{
		auto& one = entry_of(key, now);
		if (!one.known.ended.contains(life))
		{
			one.presumed.insert(life);
		}
	}
	make_room();
}

void suspect_list::confirm(process_life life, const std::vector<process_life>& together, instant now)
{
	for (auto& [key, one] : suspects_)
	{
		const bool is_under_it = one.presumed.erase(life) > 0;
		if (is_under_it)
		{
			add_end(one.known, life, {});
			one.is_own = true;
		}
		const bool is_new = note_together(one.known, together);
		if (is_under_it || is_new)
		{
			note_change(one, now);
		}
	}
}

/// \returns Whether anything was new.
bool suspect_list::note_together(suspicion& known, const std::vector<process_life>& lives) const
{
	bool is_new = false;
	for (const auto life : lives)
	{
		const auto end = known.ended.find(life);
		if (end == known.ended.end())
		{
			continue;
		}
		std::set<process_life> others{lives.begin(), lives.end()};
		others.erase(life);
		const auto before = end->second;
		add_end(known, life, others);
		is_new = is_new || end->second != before;
	}
	return is_new;
}

void suspect_list::add_end(suspicion& to, process_life life, const std::set<process_life>& together) const
{
	auto& kept = to.ended[life];
	kept.insert(together.begin(), together.end());
	keep_smallest(kept, tuning_.most_together);
	keep_smallest(to.ended, tuning_.most_lives);
}

void suspect_list::retract(process_life life)
{
	for (auto one = suspects_.begin(); one != suspects_.end();)
	{
		const bool was_presumed = one->second.presumed.erase(life) > 0;
		const bool is_clear = one->second.presumed.empty() && one->second.known.ended.empty();
		one = was_presumed && is_clear ? suspects_.erase(one) : std::next(one);
	}
}

void suspect_list::note_survived(const request_key& key, process_life life, instant now)
{
	const auto found = suspects_.find(key);
	if (found == suspects_.end() || found->second.known.survived.size() >= tuning_.most_lives)
	{
		return;
	}
	if (found->second.known.survived.insert(life).second)
	{
		note_change(found->second, now);
	}
}

void suspect_list::merge(const suspicion& told, instant last_end, instant now)
{
	if (told.ended.empty() || now - last_end > tuning_.lifetime)
	{
		return;
	}
	auto& one = entry_of(told.key, last_end);
	if (take(one.known, told))
	{
		note_change(one, now);
	}
	make_room();
}

void suspect_list::note_stored(const suspicion& stored, instant last_end, instant now)
{
	merge(stored, last_end, now);
	const auto found = suspects_.find(stored.key);
	if (found != suspects_.end())
	{
		static_cast<void>(take(found->second.stored, stored));
	}
}

/// \returns Whether anything was new.
bool suspect_list::take(suspicion& into, const suspicion& from) const
{
	const auto before = into;
	for (const auto& [life, together] : from.ended)
	{
		add_end(into, life, together);
	}
	into.survived.insert(from.survived.begin(), from.survived.end());
	keep_smallest(into.survived, tuning_.most_lives);
	return into != before;
}

void suspect_list::note_change(entry& one, instant now)
{
	one.changed_at = now;
	const bool holds = is_enough(one.known, 0);
	if (holds && !one.is_told_held)
	{
		held_(one.known, weight_of(one.known));
	}
	one.is_told_held = holds;
}

std::vector<suspicion> suspect_list::news(std::size_t least_ended, instant now) const
{
	std::vector<const entry*> found;
	for (const auto& [key, one] : suspects_)
	{
		if (one.known.ended.size() >= std::max<std::size_t>(1, least_ended) &&
			now - one.changed_at <= tuning_.news_time)
		{
			found.push_back(&one);
		}
	}
	std::stable_sort(found.begin(), found.end(),
		[](const entry* a, const entry* b) { return a->known.ended.size() > b->known.ended.size(); });
	found.resize(std::min(found.size(), tuning_.most_told));
	std::vector<suspicion> told;
	told.reserve(found.size());
	for (const auto* one : found)
	{
		told.push_back(one->known);
	}
	return told;
}

std::vector<suspicion> suspect_list::unstored(bool for_others, instant now) const
{
	std::vector<suspicion> several;
	std::vector<suspicion> singles;
	for (const auto& [key, one] : suspects_)
	{
		auto all = one.stored;
		if (!is_worth_storing(one, for_others) || find(key, now) == nullptr || !take(all, one.known))
		{
			continue;
		}
		const bool is_single = weight_of(one.known) < tuning_.weight_to_store;
		(is_single ? singles : several).push_back(std::move(all));
	}
	if (singles.size() <= tuning_.most_singles_stored)
	{
		several.insert(several.end(), singles.begin(), singles.end());
	}
	return several;
}

std::optional<instant> suspect_list::last_end(const request_key& key) const
{
	const auto found = suspects_.find(key);
	return found == suspects_.end() ? std::nullopt : std::optional{found->second.last_end};
}

std::size_t suspect_list::held_count(instant now) const
{
	return static_cast<std::size_t>(std::count_if(
		suspects_.begin(), suspects_.end(), [&](const auto& entry) { return is_held(entry.first, now); }));
}

void suspect_list::drop_old(instant now)
{
	std::erase_if(
		suspects_, [&](const auto& entry) { return now - entry.second.last_end > tuning_.lifetime; });
}

void suspect_list::make_room()
{
	while (suspects_.size() > tuning_.most_suspects)
	{
		const auto least = std::min_element(suspects_.begin(), suspects_.end(),
			[](const auto& a, const auto& b)
			{
				return std::pair{a.second.known.ended.size(), a.second.last_end} <
					   std::pair{b.second.known.ended.size(), b.second.last_end};
			});
		suspects_.erase(least);
	}
}
} // namespace gingerdyke::quarantine
