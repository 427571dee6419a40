// SPDX-License-Identifier: MIT
// The soft owner of a version's trial in one failure domain.
#include <algorithm>
#include <cmath>
#include <gingerdyke/rollout/permit_owner.hpp>
#include <gingerdyke/rollout/trial_gate.hpp>

namespace gingerdyke::rollout
{
namespace
{
/// Counts only grow, so the higher of two reports is the newer one.
void merge(const peer::evidence& newer, peer::evidence& into)
{
	into.version = newer.version;
	into.row_revision = newer.row_revision;
	into.answers = std::max(into.answers, newer.answers);
	into.failures = std::max(into.failures, newer.failures);
}

void add(const peer::evidence& one, peer::evidence& sum)
{
	sum.version = one.version;
	sum.row_revision = one.row_revision;
	sum.answers += one.answers;
	sum.failures += one.failures;
}
} // namespace

permit_owner::permit_owner(const membership::membership_view& live, owner_tuning tuning)
	: live_(live), tuning_(tuning)
{
}

permit_owner::trial* permit_owner::trial_of(
	const version_ref& ref, revision row, const table::table& table, instant now)
{
	const auto* version = table.version(ref);
	if (version == nullptr || version->at != row)
	{
		return nullptr;
	}
	auto found = trials_.find(ref);
	if (found == trials_.end() || found->second.row_revision != row)
	{
		trials_.erase(ref);
		found = trials_.emplace(ref, trial{version->tolerated_failures}).first;
		found->second.row_revision = row;
		found->second.owned_since = now;
	}
	return &found->second;
}

owner_step permit_owner::on_request(
	const vm_id& from, const peer::permit_request& request, const table::table& table, instant now)
{
	owner_step step;
	auto* trial = trial_of(request.seen.version, request.seen.row_revision, table, now);
	if (trial == nullptr)
	{
		return step;
	}
	const bool first_report = !trial->by_vm.contains(from);
	auto& known = trial->by_vm[from];
	const auto before = known;
	merge(request.seen, known);
	if (first_report)
	{
		trial->answers_at_start += known.answers;
	}
	else
	{
		trial->changes.add(known.answers - before.answers, known.failures - before.failures);
	}
	const auto& version = *table.version(request.seen.version);
	judge(*trial, version, step);
	if (request.wanted == 0 || trial->suspended || version.state != table::version_state::trial)
	{
		return step;
	}
	const auto permits = grant(*trial, request.wanted, table.settings().permit_batch, now);
	if (permits > 0)
	{
		step.out.emplace_back(send_peer{
			from, peer::permit_grant{version.ref, trial->row_revision, permits, tuning_.permit_lifetime}});
	}
	return step;
}

std::uint32_t permit_owner::grant(trial& trial, std::uint32_t wanted, unsigned batch, instant now) const
{
	// Permits of the owner before may still be out.
	if (now - trial.owned_since < tuning_.permit_lifetime)
	{
		return 0;
	}
	const auto sum = domain_sum(trial);
	const auto judged = sum.answers - std::min(sum.answers, trial.answers_at_start);
	if (trial.last_grant && now - *trial.last_grant >= tuning_.permit_lifetime)
	{
		// Whatever was granted and not judged has expired by now.
		trial.granted = judged;
	}
	const auto good = whole_sum(trial).answers - whole_sum(trial).failures;
	const auto ramp = std::min<std::uint64_t>(tuning_.highest_ramp, 1 + good / tuning_.ramp_answers);
	const auto allowed = judged + batch * ramp;
	const auto room = allowed - std::min(allowed, trial.granted);
	const auto permits = static_cast<std::uint32_t>(std::min<std::uint64_t>(room, wanted));
	trial.granted += permits;
	if (permits > 0)
	{
		trial.last_grant = now;
	}
	return permits;
}

void permit_owner::judge(trial& trial, const table::version_row& version, owner_step& step) const
{
	if (trial.suspended)
	{
		return;
	}
	const auto sum = whole_sum(trial);
	const bool failed_trial = version.state == table::version_state::trial &&
							  log_evidence_against(sum.answers, sum.failures, version.tolerated_failures) >
								  -std::log(tuning_.false_alarm);
	const bool turned_bad = trial.changes.log_score() > tuning_.log_change_alarm;
	if (failed_trial || turned_bad)
	{
		trial.suspended = true;
		step.suspended.push_back({version.ref, trial.row_revision});
	}
}

owner_step permit_owner::on_sum(const peer::evidence_sum& sum, const table::table& table, instant now)
{
	owner_step step;
	auto* trial = trial_of(sum.sum.version, sum.sum.row_revision, table, now);
	if (trial == nullptr || sum.failure_domain == live_.self().failure_domain)
	{
		return step;
	}
	merge(sum.sum, trial->other_domains[sum.failure_domain]);
	judge(*trial, *table.version(sum.sum.version), step);
	return step;
}

owner_step permit_owner::on_tick(const table::table& table, instant now)
{
	owner_step step;
	if (last_exchange_ && now - *last_exchange_ < tuning_.exchange_interval)
	{
		return step;
	}
	last_exchange_ = now;
	std::erase_if(trials_,
		[&](const auto& item)
		{
			const auto* version = table.version(item.first);
			return version == nullptr || version->at != item.second.row_revision;
		});
	const auto& own_domain = live_.self().failure_domain;
	for (const auto& [ref, trial] : trials_)
	{
		const bool owned = live_.owner_in(own_domain, permit_key(ref)) == live_.self().vm;
		const auto sum = domain_sum(trial);
		if (!owned || sum.answers == 0 || table.version(ref)->state != table::version_state::trial)
		{
			continue;
		}
		for (const auto& domain : live_.domains())
		{
			if (domain != own_domain)
			{
				step.out.emplace_back(
					send_peer{live_.owner_in(domain, permit_key(ref)), peer::evidence_sum{sum, own_domain}});
			}
		}
	}
	return step;
}

peer::evidence permit_owner::domain_sum(const trial& trial)
{
	peer::evidence sum;
	for (const auto& [vm, one] : trial.by_vm)
	{
		add(one, sum);
	}
	return sum;
}

peer::evidence permit_owner::whole_sum(const trial& trial)
{
	auto sum = domain_sum(trial);
	for (const auto& [domain, one] : trial.other_domains)
	{
		add(one, sum);
	}
	return sum;
}

std::map<version_ref, peer::evidence> permit_owner::sums() const
{
	std::map<version_ref, peer::evidence> result;
	for (const auto& [ref, trial] : trials_)
	{
		result[ref] = whole_sum(trial);
	}
	return result;
}
} // namespace gingerdyke::rollout
