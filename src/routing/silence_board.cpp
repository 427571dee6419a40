// SPDX-License-Identifier: MIT
// Replicas that VMs lately got no response from.
#include <algorithm>
#include <gingerdyke/base/crypto.hpp>
#include <gingerdyke/routing/silence_board.hpp>

namespace gingerdyke::routing
{
silence_board::silence_board(const fleet_list& vms, change_hook changed, silence_tuning tuning)
	: vms_(vms), changed_(std::move(changed)), tuning_(tuning)
{
}

/// The state of the given process; that of another process under the same id is replaced.
silence_board::state& silence_board::state_of(const replica_id& id, replica_incarnation incarnation)
{
	const auto found = states_.find(id);
	if (found != states_.end() && found->second.incarnation == incarnation)
	{
		return found->second;
	}
	forget(id);
	const fleet_rank rank{stable_hash(id.str())};
	return states_.emplace(id, state{incarnation, rank, {}, {}, 0, 0, false}).first->second;
}

const silence_board::state* silence_board::find(const replica& target) const
{
	const auto found = states_.find(target.id);
	const bool is_current = found != states_.end() && found->second.incarnation == target.incarnation;
	return is_current ? &found->second : nullptr;
}

bool silence_board::has_own_silence(const state& of, instant now) const
{
	return of.silent_at && now - *of.silent_at <= tuning_.silence_lifetime;
}

bool silence_board::has_own_answer(const state& of, instant now) const
{
	return of.answered_at && now - *of.answered_at <= tuning_.answer_lifetime;
}

bool silence_board::are_reports_recent(instant now) const
{
	return reports_at_ && now - *reports_at_ <= tuning_.report_lifetime;
}

replica_silence silence_board::votes(const replica_id& id, const state& of, instant now) const
{
	const bool has_reports = are_reports_recent(now);
	replica_silence seen{
		id, of.incarnation, has_reports ? of.peers_silent : 0, has_reports ? of.peers_answered : 0};
	seen.silent_vms += has_own_silence(of, now) ? 1 : 0;
	seen.answered_vms += has_own_answer(of, now) ? 1 : 0;
	return seen;
}

bool silence_board::is_silent(const replica_silence& seen) const
{
	const auto vms = static_cast<unsigned>(std::max<std::size_t>(1, vms_.size()));
	const auto required = std::min(tuning_.min_silent_vms, vms);
	return seen.silent_vms >= required && seen.silent_vms > seen.answered_vms;
}

void silence_board::record_silent(const replica& target, instant now)
{
	auto& of = state_of(target.id, target.incarnation);
	of.silent_at = now;
	of.answered_at.reset();
	update(target.id, of, now);
}

/// Only matters for replicas that some VM found silent.
void silence_board::record_answered(const replica& target, instant now)
{
	const auto found = states_.find(target.id);
	if (found == states_.end() || found->second.incarnation != target.incarnation)
	{
		return;
	}
	found->second.silent_at.reset();
	found->second.answered_at = now;
	update(target.id, found->second, now);
}

bool silence_board::is_avoided(const replica& target, instant now) const
{
	const auto* of = states_.empty() ? nullptr : find(target);
	return of != nullptr && is_silent(votes(target.id, *of, now)) && of->rank.in(vms_) >= tuning_.trying_vms;
}

std::vector<replica_silence> silence_board::own(instant now) const
{
	std::vector<const std::pair<const replica_id, state>*> observed;
	for (const auto& entry : states_)
	{
		if (has_own_silence(entry.second, now) || has_own_answer(entry.second, now))
		{
			observed.push_back(&entry);
		}
	}
	const auto observed_at = [](const auto* entry)
	{ return std::max(entry->second.silent_at, entry->second.answered_at); };
	std::sort(observed.begin(), observed.end(),
		[&](const auto* first, const auto* second) { return observed_at(first) > observed_at(second); });
	observed.resize(std::min(observed.size(), tuning_.max_reported));
	std::vector<replica_silence> all;
	all.reserve(observed.size());
	for (const auto* entry : observed)
	{
		all.push_back({entry->first, entry->second.incarnation, has_own_silence(entry->second, now) ? 1U : 0U,
			has_own_answer(entry->second, now) ? 1U : 0U});
	}
	return all;
}

void silence_board::set_peer_observations(const std::vector<replica_silence>& observed, instant now)
{
	reports_at_ = now;
	for (auto& [id, of] : states_)
	{
		of.peers_silent = 0;
		of.peers_answered = 0;
	}
	for (const auto& seen : observed)
	{
		if (is_former(seen))
		{
			continue;
		}
		auto& of = state_of(seen.replica, seen.incarnation);
		of.peers_silent = seen.silent_vms;
		of.peers_answered = seen.answered_vms;
		// This VM's own silence is from before the others' responses.
		const bool is_outdated = of.silent_at && now - *of.silent_at > tuning_.report_lifetime;
		if (seen.answered_vms > 0 && is_outdated)
		{
			of.silent_at.reset();
		}
	}
	for (auto& [id, of] : states_)
	{
		update(id, of, now);
	}
	drop_unused(now);
}

/// Whether something is already known of a later process of the replica.
bool silence_board::is_former(const replica_silence& seen) const
{
	const auto found = states_.find(seen.replica);
	return found != states_.end() && found->second.incarnation > seen.incarnation;
}

void silence_board::retract(const replica& target, instant now)
{
	const auto found = states_.find(target.id);
	if (found != states_.end() && found->second.incarnation == target.incarnation)
	{
		found->second.silent_at.reset();
		update(target.id, found->second, now);
	}
}

void silence_board::update(const replica_id& id, state& of, instant now)
{
	const auto seen = votes(id, of, now);
	const bool is_avoided = is_silent(seen) && of.rank.in(vms_) >= tuning_.trying_vms;
	if (std::exchange(of.is_avoided, is_avoided) == is_avoided)
	{
		return;
	}
	avoided_count_ += is_avoided ? 1 : 0;
	avoided_count_ -= is_avoided ? 0 : 1;
	changed_(seen, is_avoided);
}

void silence_board::drop_unused(instant now)
{
	std::erase_if(states_,
		[&](const auto& entry)
		{
			const auto seen = votes(entry.first, entry.second, now);
			return !entry.second.is_avoided && seen.silent_vms + seen.answered_vms == 0;
		});
}

void silence_board::forget(const replica_id& id)
{
	const auto found = states_.find(id);
	if (found == states_.end())
	{
		return;
	}
	avoided_count_ -= found->second.is_avoided ? 1 : 0;
	states_.erase(found);
}
} // namespace gingerdyke::routing
