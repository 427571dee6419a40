// SPDX-License-Identifier: MIT
// Moves a service's traffic from one software version to another: evidence of this VM and of others, and its
// evaluation. The verdict itself is computed in version_verdict.cpp.
#include <algorithm>
#include <gingerdyke/base/crypto.hpp>
#include <gingerdyke/rollout/version_shift.hpp>
#include <utility>

namespace gingerdyke::rollout
{
namespace
{
/// Makes the assignment of replicas to groups independent of the selection of replicas in use.
constexpr std::uint64_t group_hash_seed = 0x67726f757073;

/// Key that latencies are grouped by: the model or, for services without models, the route.
const std::string& latency_key(const response_sample& sample)
{
	return sample.model.empty() ? sample.route : sample.model;
}

latency_evidence& latencies_of(version_evidence& seen, const response_sample& sample)
{
	auto& latencies =
		sample.kind == sample_kind::event_interval ? seen.event_intervals_by_model : seen.first_byte_by_model;
	return latencies[latency_key(sample)];
}

bool has_latency(const response_sample& sample)
{
	return sample.kind != sample_kind::ending;
}

response_counts& counts_of(route_evidence& seen, const counted_response& counted)
{
	switch (counted.group)
	{
	case response_group::old_version:
		return seen.old_version[counted.cell];
	case response_group::new_version:
		return seen.new_version[counted.cell];
	case response_group::pre_trial:
		break;
	}
	return seen.pre_trial;
}

/// Calls a function with all counts that a response is part of.
template <typename Function>
void for_counts_of(version_evidence& seen, const counted_response& counted, Function apply)
{
	apply(counts_of(seen.by_route[counted.route], counted));
	if (counted.is_in_peak_load_phase)
	{
		apply(counts_of(seen.peak_load_phase, counted));
	}
}

void add_outcome(version_evidence& to, const counted_response& counted, bool failed)
{
	for_counts_of(to, counted,
		[failed](response_counts& counts)
		{
			++counts.responses;
			counts.failed += failed ? 1 : 0;
		});
}

void add_failure(version_evidence& to, const counted_response& counted)
{
	for_counts_of(to, counted,
		[](response_counts& counts) { counts.failed = std::min(counts.failed + 1, counts.responses); });
}
} // namespace

void version_shift::on_evidence(const std::string& reporter, const shift_evidence& evidence, instant now)
{
	auto& state = services_[evidence.service];
	if (merge_evidence(state, reporter, evidence))
	{
		evaluate_and_suspend(state, now);
	}
}

void version_shift::on_relayed_evidence(
	const std::string& reporter, const shift_evidence& evidence, instant now)
{
	auto& state = services_[evidence.service];
	if (merge_evidence(state, reporter, evidence))
	{
		relay(state, reporter);
		evaluate_and_suspend(state, now);
	}
}

/// \returns Whether the evidence is newer than the evidence of `reporter` that is known here; reports arrive
/// by several paths and may be out of order.
bool version_shift::merge_evidence(
	service_state& state, const std::string& reporter, const shift_evidence& evidence)
{
	if (!state.plan || state.plan->order != evidence.order)
	{
		return false;
	}
	auto& previous = state.by_reporter[reporter];
	if (!evidence.seen.is_newer_than(previous))
	{
		return false;
	}
	state.total -= previous;
	state.total += evidence.seen;
	if (state.relayed.contains(reporter))
	{
		state.to_write -= previous;
		state.to_write += evidence.seen;
	}
	previous = evidence.seen;
	return true;
}

/// From now on this VM writes the evidence of `reporter`.
void version_shift::relay(service_state& state, const std::string& reporter)
{
	state.unwritten.insert(reporter);
	if (state.relayed.insert(reporter).second)
	{
		state.to_write += state.by_reporter[reporter];
	}
}

void version_shift::on_suspension(const shift_suspension& suspension, instant now)
{
	const auto found = services_.find(suspension.service);
	if (found == services_.end())
	{
		return;
	}
	auto& state = found->second;
	const bool applies = is_running(state) && state.plan->order == suspension.order && !state.suspended;
	if (applies)
	{
		suspend(state, true);
		state.next_action_at = now + random_delay();
	}
}

std::vector<shift_evidence> version_shift::own_evidence() const
{
	std::vector<shift_evidence> all;
	for (const auto& [service, state] : services_)
	{
		if (is_running(state) && state.own.size() > 0)
		{
			all.push_back({service, state.plan->order, state.own});
		}
	}
	return all;
}

std::vector<shift_suspension> version_shift::suspensions() const
{
	std::vector<shift_suspension> all;
	for (const auto& [service, state] : services_)
	{
		if (is_running(state) && state.suspended)
		{
			all.push_back({service, state.plan->order});
		}
	}
	return all;
}

std::optional<counted_response> version_shift::record_response(
	const service_id& service, const std::string& version, const response_sample& sample, instant now)
{
	const auto found = services_.find(service);
	if (found == services_.end())
	{
		return std::nullopt;
	}
	auto& state = found->second;
	if (!is_running(state))
	{
		if (version == state.stable_version)
		{
			record_baseline(state, sample);
		}
		return std::nullopt;
	}
	const bool is_new = version == state.plan->to_version;
	auto counted = record_sample(state, is_new, sample, now);
	if (counted)
	{
		counted->service = service;
	}
	if (is_new)
	{
		state.unwritten.insert(std::string{});
		evaluate_and_suspend(state, now);
	}
	return counted && !sample.failed ? counted : std::nullopt;
}

void version_shift::record_broken_response(const counted_response& counted, instant now)
{
	const auto found = services_.find(counted.service);
	if (found == services_.end())
	{
		return;
	}
	auto& state = found->second;
	if (!is_running(state) || state.plan->order != counted.order)
	{
		return;
	}
	for (auto* sum : {&state.own, &state.total, &state.to_write})
	{
		add_failure(*sum, counted);
	}
	if (counted.group == response_group::new_version)
	{
		state.unwritten.insert(std::string{});
		evaluate_and_suspend(state, now);
	}
}

void version_shift::record_baseline(service_state& state, const response_sample& sample)
{
	if (sample.kind == sample_kind::event_interval)
	{
		state.baseline_event_intervals[latency_key(sample)].record(sample.relative_latency);
	}
}

void version_shift::record_pre_trial(version_evidence& to, const response_sample& sample)
{
	if (has_latency(sample))
	{
		latencies_of(to, sample).pre_trial.record(sample.relative_latency);
	}
}

bool version_shift::is_in_control_group(const service_state& state, std::uint64_t replica) const
{
	const auto count = static_cast<double>(std::max<std::size_t>(1, count_old_replicas(state)));
	return to_unit_interval(replica) < static_cast<double>(tuning_.control_replica_count) / count;
}

/// Latencies are compared during the trial only, and not in its peak-load phase: otherwise the engines of the
/// two versions carry different loads.
///
/// \returns Where the sample's outcome was counted; none if it has none, or is not compared.
std::optional<counted_response> version_shift::record_sample(
	service_state& state, bool is_new, const response_sample& sample, instant now) const
{
	const auto schedule = schedule_of(*state.plan);
	const auto elapsed = elapsed_fraction(*state.plan, now);
	const bool is_pre_trial = !is_new && elapsed < schedule.trial_starts_at();
	if (!is_pre_trial && !is_new && !is_in_control_group(state, sample.replica))
	{
		return std::nullopt;
	}
	counted_response counted;
	counted.order = state.plan->order;
	counted.route = sample.route;
	if (!is_pre_trial)
	{
		const auto group = mix_hash(sample.replica, group_hash_seed) % replica_group_count;
		counted.group = is_new ? response_group::new_version : response_group::old_version;
		counted.cell = cell_of(group, random_below(random_, fold_count));
		counted.is_in_peak_load_phase = schedule.is_peak_load_phase(elapsed);
	}
	const bool is_ramping_up = state.plan->promoted && elapsed >= schedule.trial_ends_at();
	const bool is_latency_compared = !is_ramping_up && !carries_peak_load(state, now);
	for (auto* sum : {&state.own, &state.total, &state.to_write})
	{
		if (has_outcome(sample))
		{
			add_outcome(*sum, counted, sample.failed);
		}
		if (is_pre_trial)
		{
			record_pre_trial(*sum, sample);
		}
		else if (has_latency(sample) && is_latency_compared)
		{
			auto& latencies = latencies_of(*sum, sample);
			(is_new ? latencies.new_version : latencies.old_version)[counted.cell].record(
				sample.relative_latency);
		}
	}
	return has_outcome(sample) ? std::optional{counted} : std::nullopt;
}

bool version_shift::has_evidence(const service_id& service) const
{
	const auto* state = find(service);
	return state != nullptr && evidence_due_at(*state).has_value();
}

/// Evidence is written as the number of its bad responses grows. It is also written at the end of a trial if
/// the responses known to this VM don't show that the version is good: together with the responses known to
/// other VMs they may show it.
std::optional<instant> version_shift::evidence_due_at(const service_state& state) const
{
	if (!reads_registry_ || !is_running(state) || state.unwritten.empty())
	{
		return std::nullopt;
	}
	const auto grown = static_cast<double>(state.last_written_bad) * tuning_.report_growth_factor;
	if (state.bad_to_write > state.last_written_bad && static_cast<double>(state.bad_to_write) >= grown)
	{
		return state.last_written_at + tuning_.min_report_interval;
	}
	if (state.plan->promoted || state.suspended || state.proof.is_noninferior)
	{
		return std::nullopt;
	}
	const auto final_report_at =
		time_at(*state.plan, schedule_of(*state.plan).trial_ends_at()) - tuning_.final_report_lead;
	return std::max(final_report_at, state.last_written_at + tuning_.final_report_interval);
}

std::vector<reported_evidence> version_shift::take_evidence(
	const service_id& service, service_state& state, instant now)
{
	state.last_written_bad = state.bad_to_write;
	state.last_written_at = now;
	std::vector<reported_evidence> taken;
	while (!state.unwritten.empty() && taken.size() < tuning_.max_reporters_per_write)
	{
		const auto reporter = state.unwritten.extract(state.unwritten.begin()).value();
		const auto& seen = reporter.empty() ? state.own : state.by_reporter[reporter];
		taken.push_back({reporter, {service, state.plan->order, seen}});
	}
	return taken;
}

/// Evaluates the known responses and stores the results.
void version_shift::evaluate(service_state& state) const
{
	if (!reads_registry_)
	{
		state.verdict = rollout::judge(state.total, tuning_.verdict);
		return;
	}
	auto assessed = assess(state.total, tuning_.verdict);
	state.verdict = std::move(assessed.verdict);
	state.proof = assessed.proof;
	auto reported = tuning_.verdict;
	reported.min_failures = tuning_.min_reported_bad;
	reported.min_slow_responses = tuning_.min_reported_bad;
	const auto to_write = rollout::judge(state.to_write, reported);
	state.bad_to_write = to_write.evidence > 0 ? to_write.bad_responses : 0;
}

/// A VM that reads the registry knows the evidence of many VMs, and applies the lower bound at the end of the
/// trial, after which the version would get all traffic. Other VMs know too few responses for the lower bound
/// and would have false positives.
void version_shift::evaluate_and_suspend(service_state& state, instant now)
{
	if (state.suspended || !is_running(state))
	{
		return;
	}
	evaluate(state);
	const bool is_trial_over = elapsed_fraction(*state.plan, now) >= schedule_of(*state.plan).trial_ends_at();
	const bool is_final_check = reads_registry_ && is_trial_over;
	const auto bound =
		is_final_check ? tuning_.verdict.end_of_trial_log_evidence : tuning_.verdict.conclusive_log_evidence;
	if (state.verdict.evidence > bound)
	{
		suspend(state, false);
		state.next_action_at = reads_registry_ ? now : now + random_delay();
		return;
	}
	if (!state.proof_deadline_start && state.proof.bad_responses >= tuning_.proof_deadline_bad_responses)
	{
		state.proof_deadline_start = now;
	}
	reschedule_if_sooner(state, now);
}

void version_shift::suspend(service_state& state, bool by_peer)
{
	state.suspended = true;
	event_callback_({*state.plan, true, by_peer, summary_of(state)});
	report_version(state.plan->service, state);
}

shift_summary version_shift::summary_of(const service_state& state) const
{
	const auto all = state.total.all_routes();
	shift_summary summary;
	summary.old_version = all.old_version.sum();
	summary.new_version = all.new_version.sum();
	summary.verdict = state.verdict;
	summary.proof = state.proof;
	summary.vms = state.by_reporter.size() + 1;
	return summary;
}
} // namespace gingerdyke::rollout
