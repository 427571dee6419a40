// SPDX-License-Identifier: MIT
// The replicas that discovery names.
#include <algorithm>
#include <gingerdyke/base/crypto.hpp>
#include <gingerdyke/routing/replica_set.hpp>
#include <set>

namespace gingerdyke::routing
{
std::uint64_t process_hash(const replica& one) noexcept
{
	return mix_hash(stable_hash(one.id.str()), static_cast<std::uint64_t>(one.incarnation.value()));
}

const char* name_of(replica_change change) noexcept
{
	switch (change)
	{
	case replica_change::added:
		return "added";
	case replica_change::changed:
		return "changed";
	case replica_change::cold_time:
		return "cold time";
	case replica_change::restarted:
		return "restarted";
	case replica_change::leaving:
		return "leaving";
	case replica_change::suspected:
		return "suspected";
	case replica_change::gone:
		return "gone";
	}
	return "unknown";
}

namespace
{
replica_change change_from(const replica& before, const replica& now)
{
	if (!now.is_same_process(before))
	{
		return replica_change::restarted;
	}
	if (now.leaving && !before.leaving)
	{
		return replica_change::leaving;
	}
	auto of_same_time = now;
	of_same_time.cold_left = before.cold_left;
	return of_same_time == before ? replica_change::cold_time : replica_change::changed;
}
} // namespace

replica_set::replica_set(change_hook changed, replica_set_tuning tuning)
	: changed_(std::move(changed)), tuning_(tuning)
{
}

void replica_set::put(replica entry, instant now)
{
	suspected_.erase(entry.id);
	forget_old_leaves(now);
	const auto told = told_leaves_.find(entry.id);
	if (told != told_leaves_.end() && told->second.incarnation == entry.incarnation)
	{
		entry.leaving = true;
	}
	const auto known = find(entry.id);
	if (known && *known == entry)
	{
		return;
	}
	const auto change = known ? change_from(*known, entry) : replica_change::added;
	replace(known, std::move(entry), change);
}

void replica_set::replace(const replica_ptr& known, replica entry, replica_change change)
{
	if (known)
	{
		unindex(known);
	}
	const auto kept = std::make_shared<const replica>(std::move(entry));
	index(kept);
	changed_(*kept, change);
}

bool replica_set::note_leaving(const replica& one, instant now)
{
	const auto known = find(one.id);
	const bool is_of_before = known && !known->is_same_process(one);
	const auto told = told_leaves_.find(one.id);
	const bool is_told = told != told_leaves_.end() && told->second.incarnation == one.incarnation;
	if (is_of_before || is_told)
	{
		return false;
	}
	told_leaves_[one.id] = {one.incarnation, now};
	if (known && !known->leaving)
	{
		auto entry = *known;
		entry.leaving = true;
		replace(known, std::move(entry), replica_change::leaving);
	}
	return true;
}

void replica_set::forget_old_leaves(instant now)
{
	std::erase_if(told_leaves_, [&](const auto& entry)
		{ return !by_id_.contains(entry.first) && now - entry.second.at > tuning_.leaving_memory; });
}

void replica_set::remove(const replica_id& id, instant now)
{
	const auto known = find(id);
	if (!known)
	{
		return;
	}
	if (sound_for_long(now) || known->leaving)
	{
		drop(id);
		return;
	}
	if (suspected_.try_emplace(id, sound_before_ + tuning_.return_time).second)
	{
		changed_(*known, replica_change::suspected);
	}
}

void replica_set::replace_all(std::vector<replica> entries, instant now)
{
	std::set<replica_id> present;
	for (const auto& entry : entries)
	{
		present.insert(entry.id);
	}
	std::vector<replica_id> missing;
	for (const auto& [id, entry] : by_id_)
	{
		if (!present.contains(id))
		{
			missing.push_back(id);
		}
	}
	for (const auto& id : missing)
	{
		remove(id, now);
	}
	for (auto& entry : entries)
	{
		put(std::move(entry), now);
	}
	known_ = true;
}

void replica_set::note_unsound(instant now)
{
	sound_before_ = sound_time(now);
	sound_ = false;
	lost_at_ = now;
}

void replica_set::note_sound(instant at)
{
	if (!sound_)
	{
		sound_ = true;
		// An answer from before the loss does not tell that the registry is back.
		sound_since_ = std::max(at, lost_at_);
	}
}

void replica_set::forget(const replica_id& id)
{
	if (find(id))
	{
		drop(id);
	}
}

std::optional<instant> replica_set::expire(instant now)
{
	if (!sound_)
	{
		return std::nullopt;
	}
	const auto passed = sound_time(now);
	std::optional<instant> next;
	std::vector<replica_id> over;
	for (const auto& [id, due] : suspected_)
	{
		if (due <= passed)
		{
			over.push_back(id);
			continue;
		}
		const auto at = now + (due - passed);
		next = std::min(next.value_or(at), at);
	}
	for (const auto& id : over)
	{
		drop(id);
	}
	return next;
}

bool replica_set::avoids_suspected(const service_id& service) const
{
	if (suspected_.empty())
	{
		return false;
	}
	const auto& all = of(service);
	const auto missing =
		std::count_if(all.begin(), all.end(), [this](const auto& one) { return is_suspected(one->id); });
	return static_cast<double>(missing) <= tuning_.avoided_share * static_cast<double>(all.size());
}

const std::vector<replica_ptr>& replica_set::of(const service_id& service) const
{
	static const std::vector<replica_ptr> none;
	const auto found = by_service_.find(service);
	return found == by_service_.end() ? none : found->second;
}

std::vector<replica_ptr> replica_set::all() const
{
	std::vector<replica_ptr> found;
	found.reserve(by_id_.size());
	for (const auto& [id, one] : by_id_)
	{
		found.push_back(one);
	}
	return found;
}

replica_ptr replica_set::find(const replica_id& id) const
{
	const auto found = by_id_.find(id);
	return found == by_id_.end() ? nullptr : found->second;
}

bool replica_set::takes_work(const replica& one) const
{
	const auto known = find(one.id);
	if (!known || known->leaving || !known->is_same_process(one))
	{
		return false;
	}
	return !is_suspected(one.id) || !avoids_suspected(known->service);
}

bool replica_set::is_current(const replica& one) const
{
	const auto known = find(one.id);
	return known && known->is_same_process(one);
}

duration replica_set::sound_time(instant now) const
{
	return sound_ ? sound_before_ + std::max(now - sound_since_, duration{0}) : sound_before_;
}

bool replica_set::sound_for_long(instant now) const
{
	return sound_ && now - sound_since_ >= tuning_.return_time;
}

void replica_set::drop(const replica_id& id)
{
	const auto known = find(id);
	suspected_.erase(id);
	unindex(known);
	changed_(*known, replica_change::gone);
}

void replica_set::index(const replica_ptr& entry)
{
	by_id_[entry->id] = entry;
	by_service_[entry->service].push_back(entry);
}

void replica_set::unindex(const replica_ptr& entry)
{
	by_id_.erase(entry->id);
	std::erase(by_service_[entry->service], entry);
}
} // namespace gingerdyke::routing
