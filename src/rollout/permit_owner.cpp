// SPDX-License-Identifier: MIT
// Owner of a version's trial in one failure domain.
#include <algorithm>
#include <cmath>
#include <gingerdyke/rollout/permit_owner.hpp>
#include <gingerdyke/rollout/trial_gate.hpp>

namespace gingerdyke::rollout
{
namespace
{
/// Counts are cumulative, so the larger of two reports is the newer one.
void merge(const peer::evidence& report, peer::evidence& merged)
{
	merged.version = report.version;
	merged.row_revision = report.row_revision;
	merged.answers = std::max(merged.answers, report.answers);
	merged.failures = std::max(merged.failures, report.failures);
}

void add(const peer::evidence& evidence, peer::evidence& sum)
{
	sum.version = evidence.version;
	sum.row_revision = evidence.row_revision;
	sum.answers += evidence.answers;
	sum.failures += evidence.failures;
}
} // namespace

permit_owner::permit_owner(const membership::membership_view& live, permit_owner_tuning tuning)
	: live_(live), tuning_(tuning)
{
}

permit_owner::trial* permit_owner::find_or_create_trial(
	const version_ref& ref, revision expected_revision, const table::table& table, instant now)
{
	const auto* version = table.version(ref);
	if (version == nullptr || version->at != expected_revision)
	{
		return nullptr;
	}
	auto found = trials_.find(ref);
	if (found == trials_.end() || found->second.row_revision != expected_revision)
	{
		trials_.erase(ref);
		found = trials_.emplace(ref, trial{version->tolerated_failures}).first;
		found->second.row_revision = expected_revision;
		found->second.owned_since = now;
	}
	return &found->second;
}

permit_owner_step permit_owner::on_request(
	const vm_id& from, const peer::permit_request& request, const table::table& table, instant now)
{
	permit_owner_step step;
	auto* trial = find_or_create_trial(request.seen.version, request.seen.row_revision, table, now);
	if (trial == nullptr)
	{
		return step;
	}
	const bool is_first_report = !trial->by_vm.contains(from);
	auto& vm_evidence = trial->by_vm[from];
	const auto previous = vm_evidence;
	merge(request.seen, vm_evidence);
	if (is_first_report)
	{
		trial->responses_at_start += vm_evidence.answers;
	}
	else
	{
		trial->changes.add(vm_evidence.answers - previous.answers, vm_evidence.failures - previous.failures);
	}
	const auto& version = *table.version(request.seen.version);
	suspend_if_bad(*trial, version, step);
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

std::uint32_t permit_owner::grant(
	trial& trial, std::uint32_t requested_permits, unsigned batch, instant now) const
{
	// Permits granted by the previous owner may still be in use.
	if (now - trial.owned_since < tuning_.permit_lifetime)
	{
		return 0;
	}
	const auto sum = domain_evidence(trial);
	const auto reported = sum.answers - std::min(sum.answers, trial.responses_at_start);
	if (trial.last_grant && now - *trial.last_grant >= tuning_.permit_lifetime)
	{
		// All permits that were granted and not reported on have expired by now.
		trial.granted = reported;
	}
	const auto succeeded = total_evidence(trial).answers - total_evidence(trial).failures;
	const auto ramp_factor =
		std::min<std::uint64_t>(tuning_.max_ramp_factor, 1 + succeeded / tuning_.responses_per_ramp_step);
	const auto permit_limit = reported + batch * ramp_factor;
	const auto available = permit_limit - std::min(permit_limit, trial.granted);
	const auto permits = static_cast<std::uint32_t>(std::min<std::uint64_t>(available, requested_permits));
	trial.granted += permits;
	if (permits > 0)
	{
		trial.last_grant = now;
	}
	return permits;
}

void permit_owner::suspend_if_bad(
	trial& trial, const table::version_row& version, permit_owner_step& step) const
{
	if (trial.suspended)
	{
		return;
	}
	const auto sum = total_evidence(trial);
	const bool has_failed_trial =
		version.state == table::version_state::trial &&
		log_evidence_against(sum.answers, sum.failures, version.tolerated_failures) >
			-std::log(tuning_.false_positive_probability);
	const bool has_become_bad = trial.changes.log_score() > tuning_.change_alarm_log_score;
	if (has_failed_trial || has_become_bad)
	{
		trial.suspended = true;
		step.suspended.push_back({version.ref, trial.row_revision});
	}
}

permit_owner_step permit_owner::on_evidence_sum(
	const peer::evidence_sum& sum, const table::table& table, instant now)
{
	permit_owner_step step;
	auto* trial = find_or_create_trial(sum.sum.version, sum.sum.row_revision, table, now);
	if (trial == nullptr || sum.failure_domain == live_.self().failure_domain)
	{
		return step;
	}
	merge(sum.sum, trial->other_domains[sum.failure_domain]);
	suspend_if_bad(*trial, *table.version(sum.sum.version), step);
	return step;
}

permit_owner_step permit_owner::on_tick(const table::table& table, instant now)
{
	permit_owner_step step;
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
		const bool is_owner = live_.owner_in(own_domain, permit_key(ref)) == live_.self().vm;
		const auto sum = domain_evidence(trial);
		if (!is_owner || sum.answers == 0 || table.version(ref)->state != table::version_state::trial)
		{
			continue;
		}
		for (const auto& failure_domain : live_.domains())
		{
			if (failure_domain != own_domain)
			{
				step.out.emplace_back(send_peer{
					live_.owner_in(failure_domain, permit_key(ref)), peer::evidence_sum{sum, own_domain}});
			}
		}
	}
	return step;
}

peer::evidence permit_owner::domain_evidence(const trial& trial)
{
	peer::evidence sum;
	for (const auto& [vm, evidence] : trial.by_vm)
	{
		add(evidence, sum);
	}
	return sum;
}

peer::evidence permit_owner::total_evidence(const trial& trial)
{
	auto sum = domain_evidence(trial);
	for (const auto& [failure_domain, evidence] : trial.other_domains)
	{
		add(evidence, sum);
	}
	return sum;
}

std::map<version_ref, peer::evidence> permit_owner::evidence_by_version() const
{
	std::map<version_ref, peer::evidence> result;
	for (const auto& [ref, trial] : trials_)
	{
		result[ref] = total_evidence(trial);
	}
	return result;
}
} // namespace gingerdyke::rollout
