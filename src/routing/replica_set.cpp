// SPDX-License-Identifier: MIT
// The replicas found by service discovery.
#include <algorithm>
#include <gingerdyke/base/crypto.hpp>
#include <gingerdyke/routing/replica_set.hpp>
#include <set>

namespace gingerdyke::routing
{
std::uint64_t process_hash(const replica& process) noexcept
{
	return mix_hash(stable_hash(process.id.str()), static_cast<std::uint64_t>(process.incarnation.value()));
}

const char* name_of(replica_change change) noexcept
{
	switch (change)
	{
	case replica_change::added:
		return "added";
	case replica_change::changed:
		return "changed";
	case replica_change::remaining_warmup_changed:
		return "cold time";
	case replica_change::restarted:
		return "restarted";
	case replica_change::draining:
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
	if (now.is_draining && !before.is_draining)
	{
		return replica_change::draining;
	}
	auto with_old_warmup = now;
	with_old_warmup.remaining_warmup = before.remaining_warmup;
	return with_old_warmup == before ? replica_change::remaining_warmup_changed : replica_change::changed;
}
} // namespace

replica_set::replica_set(change_hook changed, replica_set_tuning tuning)
	: changed_(std::move(changed)), tuning_(tuning)
{
}

void replica_set::put(replica entry, instant now)
{
	suspected_.erase(entry.id);
	drop_old_announcements(now);
	const auto announced = drain_announcements_.find(entry.id);
	if (announced != drain_announcements_.end() && announced->second.incarnation == entry.incarnation)
	{
		entry.is_draining = true;
	}
	const auto current = find(entry.id);
	// A registry that returned from an older copy shows entries from before their replicas began to drain.
	if (current && current->is_same_process(entry) && current->is_draining)
	{
		entry.is_draining = true;
	}
	if (current && *current == entry)
	{
		return;
	}
	const auto change = current ? change_from(*current, entry) : replica_change::added;
	replace(current, std::move(entry), change);
}

void replica_set::replace(const replica_ptr& current, replica entry, replica_change change)
{
	if (current)
	{
		unindex(current);
	}
	const auto stored = std::make_shared<const replica>(std::move(entry));
	index(stored);
	changed_(*stored, change);
}

bool replica_set::mark_draining(const replica& target, instant now)
{
	const auto current = find(target.id);
	const bool is_previous_process = current && !current->is_same_process(target);
	const auto announced = drain_announcements_.find(target.id);
	const bool is_already_announced =
		announced != drain_announcements_.end() && announced->second.incarnation == target.incarnation;
	if (is_previous_process || is_already_announced)
	{
		return false;
	}
	drain_announcements_[target.id] = {target.incarnation, now};
	if (current && !current->is_draining)
	{
		auto entry = *current;
		entry.is_draining = true;
		replace(current, std::move(entry), replica_change::draining);
	}
	return true;
}

void replica_set::drop_old_announcements(instant now)
{
	std::erase_if(drain_announcements_,
		[&](const auto& entry) {
			return !by_id_.contains(entry.first) &&
				   now - entry.second.at > tuning_.drain_announcement_lifetime;
		});
}

void replica_set::remove(const replica_id& id, instant now)
{
	const auto current = find(id);
	if (!current)
	{
		return;
	}
	if (is_registry_stable(now) || current->is_draining)
	{
		drop(id);
		return;
	}
	if (suspected_.try_emplace(id, previous_uptime_ + tuning_.reregistration_time).second)
	{
		changed_(*current, replica_change::suspected);
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
	is_loaded_ = true;
}

void replica_set::mark_registry_unavailable(instant now)
{
	previous_uptime_ = registry_uptime(now);
	is_registry_available_ = false;
	registry_down_since_ = now;
}

void replica_set::mark_registry_available(instant at)
{
	if (!is_registry_available_)
	{
		is_registry_available_ = true;
		// A response from before the registry was lost does not show that it is available again.
		registry_up_since_ = std::max(at, registry_down_since_);
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
	if (!is_registry_available_)
	{
		return std::nullopt;
	}
	const auto uptime = registry_uptime(now);
	std::optional<instant> next;
	std::vector<replica_id> expired;
	for (const auto& [id, due] : suspected_)
	{
		if (due <= uptime)
		{
			expired.push_back(id);
			continue;
		}
		const auto at = now + (due - uptime);
		next = std::min(next.value_or(at), at);
	}
	for (const auto& id : expired)
	{
		drop(id);
	}
	return next;
}

bool replica_set::excludes_suspected(const service_id& service) const
{
	if (suspected_.empty())
	{
		return false;
	}
	const auto missing = std::count_if(suspected_.begin(), suspected_.end(),
		[&](const auto& entry)
		{
			const auto candidate = find(entry.first);
			return candidate && candidate->service == service;
		});
	const auto all = of_service(service).size();
	return static_cast<double>(missing) <= tuning_.max_excluded_share * static_cast<double>(all);
}

const std::vector<replica_ptr>& replica_set::of_service(const service_id& service) const
{
	static const std::vector<replica_ptr> none;
	const auto found = by_service_.find(service);
	return found == by_service_.end() ? none : found->second;
}

std::vector<replica_ptr> replica_set::all() const
{
	std::vector<replica_ptr> found;
	found.reserve(by_id_.size());
	for (const auto& [id, entry] : by_id_)
	{
		found.push_back(entry);
	}
	return found;
}

replica_ptr replica_set::find(const replica_id& id) const
{
	const auto found = by_id_.find(id);
	return found == by_id_.end() ? nullptr : found->second;
}

bool replica_set::accepts_requests(const replica& target) const
{
	const auto current = find(target.id);
	if (!current || current->is_draining || !current->is_same_process(target))
	{
		return false;
	}
	return !is_suspected(target.id) || !excludes_suspected(current->service);
}

bool replica_set::is_current(const replica& target) const
{
	const auto current = find(target.id);
	return current && current->is_same_process(target);
}

duration replica_set::registry_uptime(instant now) const
{
	return is_registry_available_ ? previous_uptime_ + std::max(now - registry_up_since_, duration{0})
								  : previous_uptime_;
}

bool replica_set::is_registry_stable(instant now) const
{
	return is_registry_available_ && now - registry_up_since_ >= tuning_.reregistration_time;
}

void replica_set::drop(const replica_id& id)
{
	const auto current = find(id);
	suspected_.erase(id);
	unindex(current);
	changed_(*current, replica_change::gone);
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
