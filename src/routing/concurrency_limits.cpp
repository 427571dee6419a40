// SPDX-License-Identifier: MIT
// Limits on the requests in progress at brittle replicas.
#include <algorithm>
#include <cmath>
#include <gingerdyke/base/crypto.hpp>
#include <gingerdyke/routing/concurrency_limits.hpp>

namespace gingerdyke::routing
{
concurrency_limits::concurrency_limits(
	const fleet_list& vms, change_hook changed, concurrency_limits_tuning tuning)
	: vms_(vms), changed_(std::move(changed)), tuning_(tuning)
{
}

const concurrency_limits::state* concurrency_limits::find(const replica& target) const
{
	const auto found = states_.find(target.id);
	const bool is_current = found != states_.end() && found->second.incarnation == target.incarnation;
	return is_current ? &found->second : nullptr;
}

void concurrency_limits::record_response(
	const replica& sender, std::optional<double> rejections_per_s, instant sent_at, instant now)
{
	const auto* current = find(sender);
	if (!rejections_per_s)
	{
		if (current != nullptr && sent_at > current->announced_at)
		{
			states_.erase(sender.id);
			changed_(sender, std::nullopt);
		}
		if (is_any_limited(sender.service) && find(sender) == nullptr)
		{
			sound_[sender.id] = sender.incarnation;
		}
		return;
	}
	const bool is_new = current == nullptr;
	sound_.erase(sender.id);
	const fleet_rank rank{stable_hash(sender.id.str())};
	states_.insert_or_assign(
		sender.id, state{sender.incarnation, sender.service, rank, *rejections_per_s, now});
	if (is_new)
	{
		changed_(sender, rejections_per_s);
	}
}

bool concurrency_limits::is_any_limited(const service_id& service) const
{
	return std::any_of(
		states_.begin(), states_.end(), [&](const auto& entry) { return entry.second.service == service; });
}

bool concurrency_limits::is_limited(const replica& target) const
{
	if (states_.empty() || find(target) != nullptr)
	{
		return !states_.empty();
	}
	const auto sound = sound_.find(target.id);
	const bool is_sound = sound != sound_.end() && sound->second == target.incarnation;
	return !is_sound && is_any_limited(target.service);
}

void concurrency_limits::forget(const replica_id& id)
{
	states_.erase(id);
	sound_.erase(id);
}

unsigned concurrency_limits::share_of(const replica& target) const
{
	const auto* current = find(target);
	const auto rank = current != nullptr ? current->rank.in(vms_) : vms_.rank(stable_hash(target.id.str()));
	const auto reserved = std::max(1.0, std::floor(tuning_.reserved_share * target.slots));
	const auto usable = std::max(1U, target.slots - std::min(target.slots, static_cast<unsigned>(reserved)));
	const auto vms = std::max<unsigned>(1, static_cast<unsigned>(vms_.size()));
	return usable / vms + (rank < usable % vms ? 1 : 0);
}

/// A VM that others do not know yet has no share: theirs add up to all slots.
bool concurrency_limits::allows_request(const replica& target, unsigned in_progress, instant now) const
{
	return !is_limited(target) || (vms_.is_known_to_others(now) && in_progress < share_of(target));
}

duration concurrency_limits::rejection_backoff(const replica& target) const
{
	const auto* current = find(target);
	const auto limit = current == nullptr ? 1.0 : std::max(current->rejections_per_s, 1.0);
	const auto vms_per_rejection = static_cast<double>(vms_.size()) / limit;
	return std::clamp(scaled(std::chrono::seconds{1}, vms_per_rejection), tuning_.min_rejection_backoff,
		tuning_.max_rejection_backoff);
}
} // namespace gingerdyke::routing
