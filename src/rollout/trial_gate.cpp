// SPDX-License-Identifier: MIT
// This VM's part in a trial: permits and reports.
#include <algorithm>
#include <gingerdyke/rollout/trial_gate.hpp>

namespace gingerdyke::rollout
{
std::string permit_key(const version_ref& version)
{
	return "permit/" + version.str();
}

trial_gate::trial_gate(const membership::membership_view& live, trial_gate_tuning tuning)
	: live_(live), tuning_(tuning)
{
}

trial_gate::entry& trial_gate::entry_of(const table::version_row& version)
{
	auto& entry = entries_[version.ref];
	if (entry.seen.row_revision != version.at)
	{
		// A new row starts a new trial: evidence and permits of the previous one no longer apply.
		entry = {};
		entry.seen.version = version.ref;
		entry.seen.row_revision = version.at;
	}
	return entry;
}

bool trial_gate::take_permit(const table::version_row& version, instant now)
{
	auto& entry = entry_of(version);
	if (now >= entry.permits_until)
	{
		entry.permits = 0;
	}
	if (entry.permits == 0)
	{
		entry.requested_permits = std::min(entry.requested_permits + 1, tuning_.max_permits_per_report);
		return false;
	}
	--entry.permits;
	return true;
}

void trial_gate::return_permit(const version_ref& version)
{
	const auto found = entries_.find(version);
	if (found != entries_.end())
	{
		++found->second.permits;
	}
}

void trial_gate::record_response(const table::version_row& version, bool failed)
{
	auto& entry = entry_of(version);
	++entry.seen.answers;
	entry.seen.failures += failed ? 1 : 0;
	entry.changed = true;
}

void trial_gate::on_grant(const peer::permit_grant& grant, instant now)
{
	const auto found = entries_.find(grant.version);
	if (found == entries_.end() || found->second.seen.row_revision != grant.row_revision)
	{
		return;
	}
	auto& entry = found->second;
	entry.permits = (now < entry.permits_until ? entry.permits : 0) + grant.permits;
	entry.permits_until = now + grant.lifetime;
}

effects trial_gate::on_tick(const table::table& table, instant now)
{
	if (last_report_ && now - *last_report_ < tuning_.report_interval)
	{
		return {};
	}
	last_report_ = now;
	effects result;
	std::erase_if(entries_, [&](const auto& item) { return table.version(item.first) == nullptr; });
	for (auto& [ref, entry] : entries_)
	{
		if (!entry.changed && entry.requested_permits == 0)
		{
			continue;
		}
		const auto owner = live_.owner_in(live_.self().failure_domain, permit_key(ref));
		result.emplace_back(send_peer{owner, peer::permit_request{entry.seen, entry.requested_permits}});
		entry.requested_permits = 0;
		entry.changed = false;
	}
	return result;
}

peer::evidence trial_gate::seen(const version_ref& version) const
{
	const auto found = entries_.find(version);
	return found == entries_.end() ? peer::evidence{} : found->second.seen;
}
} // namespace gingerdyke::rollout
