// SPDX-License-Identifier: MIT
// Conversion between peer reports and their Thrift messages.
#include "report_message.hpp"

#include <algorithm>
#include <cmath>
#include <gingerdyke/control/row_store.hpp>
#include <gingerdyke/proxy/asio.hpp>

namespace gingerdyke::control
{
namespace
{
std::vector<wire::RelayWork> to_wire(const std::vector<routing::replica_work>& work)
{
	std::vector<wire::RelayWork> all;
	all.reserve(work.size());
	for (const auto& entry : work)
	{
		auto& added = all.emplace_back();
		added.replica = entry.replica.str();
		added.tokens = static_cast<std::int64_t>(entry.tokens);
		if (entry.requests > 0)
		{
			added.__set_requests(static_cast<std::int32_t>(std::lround(entry.requests)));
		}
	}
	return all;
}

std::vector<routing::replica_work> from_wire(const std::vector<wire::RelayWork>& work)
{
	std::vector<routing::replica_work> all;
	all.reserve(work.size());
	for (const auto& entry : work)
	{
		const auto requests = entry.__isset.requests ? entry.requests : 0;
		all.push_back({replica_id{entry.replica}, static_cast<double>(entry.tokens),
			static_cast<double>(std::max(0, requests))});
	}
	return all;
}

constexpr double permille = 1000;

std::int32_t to_permille(double value)
{
	return static_cast<std::int32_t>(std::lround(value * permille));
}

std::vector<wire::RelayPace> to_wire(const std::vector<routing::replica_pace>& paces)
{
	std::vector<wire::RelayPace> all;
	all.reserve(paces.size());
	for (const auto& pace : paces)
	{
		auto& added = all.emplace_back();
		added.replica = pace.replica.str();
		added.incarnation = pace.incarnation.value();
		added.mean_log_permille = to_permille(pace.mean_log);
		added.weight_permille = to_permille(pace.weight);
	}
	return all;
}

std::vector<routing::replica_pace> from_wire(const std::vector<wire::RelayPace>& paces)
{
	std::vector<routing::replica_pace> all;
	all.reserve(paces.size());
	for (const auto& pace : paces)
	{
		all.push_back({replica_id{pace.replica}, routing::replica_incarnation{pace.incarnation},
			pace.mean_log_permille / permille, std::max(0, pace.weight_permille) / permille});
	}
	return all;
}

std::vector<wire::RelayServiceLoad> to_wire(const std::vector<limits::service_load>& loads)
{
	std::vector<wire::RelayServiceLoad> all;
	all.reserve(loads.size());
	for (const auto& load : loads)
	{
		auto& added = all.emplace_back();
		added.service_name = load.service.str();
		for (const auto arrivals : load.arrivals_per_s)
		{
			added.arrivals.push_back(to_permille(arrivals));
		}
		while (!added.arrivals.empty() && added.arrivals.back() == 0)
		{
			added.arrivals.pop_back();
		}
		added.responses = to_permille(load.responses_per_s);
		added.in_time = to_permille(load.in_time_per_s);
		added.rejections = to_permille(load.rejections_per_s);
		added.response_us = static_cast<std::int32_t>(load.mean_response.count());
		added.vms = static_cast<std::int32_t>(load.vms);
	}
	return all;
}

double from_permille(std::int32_t value)
{
	return std::max(0, value) / permille;
}

std::vector<limits::service_load> from_wire(const std::vector<wire::RelayServiceLoad>& loads)
{
	std::vector<limits::service_load> all;
	all.reserve(loads.size());
	for (const auto& load : loads)
	{
		auto& added = all.emplace_back();
		added.service = service_id{load.service_name};
		const auto ranks = std::min(load.arrivals.size(), limits::rank_count);
		for (std::size_t rank = 0; rank < ranks; ++rank)
		{
			added.arrivals_per_s[rank] = from_permille(load.arrivals[rank]);
		}
		added.responses_per_s = from_permille(load.responses);
		added.in_time_per_s = from_permille(load.in_time);
		added.rejections_per_s = from_permille(load.rejections);
		added.mean_response = duration{std::max(0, load.response_us)};
		added.vms = static_cast<unsigned>(std::max(0, load.vms));
	}
	return all;
}

std::vector<wire::RelaySilence> to_wire(const std::vector<routing::replica_silence>& silences)
{
	std::vector<wire::RelaySilence> all;
	all.reserve(silences.size());
	for (const auto& silence : silences)
	{
		auto& added = all.emplace_back();
		added.replica = silence.replica.str();
		added.incarnation = silence.incarnation.value();
		added.silent_vms = static_cast<std::int32_t>(silence.silent_vms);
		added.answered_vms = static_cast<std::int32_t>(silence.answered_vms);
	}
	return all;
}

std::vector<routing::replica_silence> from_wire(const std::vector<wire::RelaySilence>& silences)
{
	std::vector<routing::replica_silence> all;
	all.reserve(silences.size());
	for (const auto& silence : silences)
	{
		all.push_back({replica_id{silence.replica}, routing::replica_incarnation{silence.incarnation},
			static_cast<unsigned>(std::max(0, silence.silent_vms)),
			static_cast<unsigned>(std::max(0, silence.answered_vms))});
	}
	return all;
}

wire::RelayCounts to_wire(const rollout::response_counts& counts)
{
	wire::RelayCounts message;
	message.answers = static_cast<std::int64_t>(counts.responses);
	message.failed = static_cast<std::int64_t>(counts.failed);
	return message;
}

rollout::response_counts from_wire(const wire::RelayCounts& message)
{
	return {static_cast<std::uint64_t>(message.answers), static_cast<std::uint64_t>(message.failed)};
}

std::vector<wire::RelayCellCounts> to_wire(const rollout::by_cell<rollout::response_counts>& seen)
{
	std::vector<wire::RelayCellCounts> all;
	for (const auto& [cell, counts] : seen)
	{
		auto& added = all.emplace_back();
		added.cell = static_cast<std::int32_t>(cell);
		added.answers = static_cast<std::int64_t>(counts.responses);
		added.failed = static_cast<std::int64_t>(counts.failed);
	}
	return all;
}

rollout::by_cell<rollout::response_counts> from_wire(const std::vector<wire::RelayCellCounts>& cells)
{
	rollout::by_cell<rollout::response_counts> seen;
	for (const auto& entry : cells)
	{
		seen[static_cast<rollout::cell_index>(entry.cell)] +=
			{static_cast<std::uint64_t>(entry.answers), static_cast<std::uint64_t>(entry.failed)};
	}
	return seen;
}

wire::RelayRouteEvidence to_wire(const std::string& route, const rollout::route_evidence& seen)
{
	wire::RelayRouteEvidence message;
	message.route = route;
	message.before = to_wire(seen.pre_trial);
	message.old_version = to_wire(seen.old_version);
	message.new_version = to_wire(seen.new_version);
	return message;
}

rollout::route_evidence from_wire(const wire::RelayRouteEvidence& message)
{
	return {from_wire(message.before), from_wire(message.old_version), from_wire(message.new_version)};
}

std::vector<std::int32_t> to_wire(const rollout::latency_histogram& times)
{
	std::vector<std::int32_t> counts{times.counts().begin(), times.counts().end()};
	while (!counts.empty() && counts.back() == 0)
	{
		counts.pop_back();
	}
	return counts;
}

rollout::latency_histogram from_wire(const std::vector<std::int32_t>& counts)
{
	rollout::latency_histogram times;
	for (std::size_t level = 0; level < counts.size(); ++level)
	{
		times.set_count(level, static_cast<std::uint32_t>(counts[level]));
	}
	return times;
}

std::vector<wire::RelayCellTimes> to_wire(const rollout::by_cell<rollout::latency_histogram>& seen)
{
	std::vector<wire::RelayCellTimes> all;
	for (const auto& [cell, times] : seen)
	{
		auto& added = all.emplace_back();
		added.cell = static_cast<std::int32_t>(cell);
		added.levels = to_wire(times);
	}
	return all;
}

rollout::by_cell<rollout::latency_histogram> from_wire(const std::vector<wire::RelayCellTimes>& cells)
{
	rollout::by_cell<rollout::latency_histogram> seen;
	for (const auto& entry : cells)
	{
		seen[static_cast<rollout::cell_index>(entry.cell)] += from_wire(entry.levels);
	}
	return seen;
}

std::vector<wire::RelayTimeEvidence> to_wire(const rollout::latencies_by_model& times)
{
	std::vector<wire::RelayTimeEvidence> all;
	for (const auto& [model, seen] : times)
	{
		auto& added = all.emplace_back();
		added.model = model;
		added.usual = to_wire(seen.baseline);
		added.before = to_wire(seen.pre_trial);
		added.old_version = to_wire(seen.old_version);
		added.new_version = to_wire(seen.new_version);
	}
	return all;
}

rollout::latencies_by_model from_wire(const std::vector<wire::RelayTimeEvidence>& times)
{
	rollout::latencies_by_model all;
	for (const auto& model_times : times)
	{
		all[model_times.model] = {from_wire(model_times.usual), from_wire(model_times.before),
			from_wire(model_times.old_version), from_wire(model_times.new_version)};
	}
	return all;
}

wire::RelayEvidence to_wire(const rollout::shift_evidence& evidence)
{
	wire::RelayEvidence message;
	message.service_name = evidence.service.str();
	message.order = evidence.order.value();
	for (const auto& [route, seen] : evidence.seen.by_route)
	{
		message.routes.push_back(to_wire(route, seen));
	}
	message.late = to_wire({}, evidence.seen.peak_load_phase);
	message.models = to_wire(evidence.seen.first_byte_by_model);
	message.paces = to_wire(evidence.seen.event_intervals_by_model);
	return message;
}

rollout::shift_evidence from_wire(const wire::RelayEvidence& message)
{
	rollout::shift_evidence evidence{service_id{message.service_name}, row_version{message.order}, {}};
	for (const auto& route : message.routes)
	{
		evidence.seen.by_route[route.route] = from_wire(route);
	}
	evidence.seen.peak_load_phase = from_wire(message.late);
	evidence.seen.first_byte_by_model = from_wire(message.models);
	evidence.seen.event_intervals_by_model = from_wire(message.paces);
	return evidence;
}

std::vector<wire::RelaySuspension> to_wire(const std::vector<rollout::shift_suspension>& suspended)
{
	std::vector<wire::RelaySuspension> all;
	all.reserve(suspended.size());
	for (const auto& suspension : suspended)
	{
		auto& added = all.emplace_back();
		added.service_name = suspension.service.str();
		added.order = suspension.order.value();
	}
	return all;
}

std::vector<rollout::shift_suspension> from_wire(const std::vector<wire::RelaySuspension>& suspended)
{
	std::vector<rollout::shift_suspension> all;
	all.reserve(suspended.size());
	for (const auto& suspension : suspended)
	{
		all.push_back({service_id{suspension.service_name}, row_version{suspension.order}});
	}
	return all;
}

std::vector<std::int64_t> to_wire(const std::set<quarantine::process_instance>& processes)
{
	std::vector<std::int64_t> all;
	all.reserve(processes.size());
	for (const auto process : processes)
	{
		all.push_back(process.value());
	}
	return all;
}

std::set<quarantine::process_instance> processes_from_wire(const std::vector<std::int64_t>& processes)
{
	std::set<quarantine::process_instance> all;
	for (const auto process : processes)
	{
		all.insert(quarantine::process_instance{process});
	}
	return all;
}

std::vector<wire::RelaySuspicion> to_wire(const std::vector<quarantine::suspicion>& suspects)
{
	const auto now = proxy::steady_now();
	std::vector<wire::RelaySuspicion> all;
	all.reserve(suspects.size());
	for (const auto& suspicion : suspects)
	{
		auto& added = all.emplace_back();
		added.key = suspicion.key.str();
		for (const auto& [process, simultaneous] : suspicion.ended)
		{
			auto& wire_exit = added.ended.emplace_back();
			wire_exit.life = process.value();
			wire_exit.together = to_wire(simultaneous);
			if (suspicion.exit_times.contains(process))
			{
				wire_exit.__set_age_us((now - suspicion.exit_time(process)).count());
			}
		}
		added.survived = to_wire(suspicion.survived);
		if (suspicion.last_exit)
		{
			added.__set_last_end_age_us((now - *suspicion.last_exit).count());
		}
		if (!suspicion.completion_times.empty())
		{
			added.__set_survived_age_us({});
			for (const auto completion : suspicion.survived)
			{
				added.survived_age_us.push_back((now - suspicion.completion_time(completion)).count());
			}
		}
	}
	return all;
}

std::vector<quarantine::suspicion> from_wire(const std::vector<wire::RelaySuspicion>& suspects)
{
	const auto now = proxy::steady_now();
	std::vector<quarantine::suspicion> all;
	all.reserve(suspects.size());
	for (const auto& suspicion : suspects)
	{
		auto& added = all.emplace_back();
		added.key = quarantine::content_key{suspicion.key};
		for (const auto& wire_exit : suspicion.ended)
		{
			const quarantine::process_instance process{wire_exit.life};
			added.ended[process] = processes_from_wire(wire_exit.together);
			if (wire_exit.__isset.age_us)
			{
				added.exit_times[process] = now - duration{wire_exit.age_us};
			}
		}
		added.survived = processes_from_wire(suspicion.survived);
		if (suspicion.__isset.last_end_age_us)
		{
			added.last_exit = now - duration{std::max<std::int64_t>(0, suspicion.last_end_age_us)};
		}
		const auto timed = std::min(suspicion.survived.size(), suspicion.survived_age_us.size());
		for (std::size_t i = 0; i < timed; ++i)
		{
			added.completion_times[quarantine::process_instance{suspicion.survived[i]}] =
				now - duration{suspicion.survived_age_us[i]};
		}
	}
	return all;
}

std::vector<wire::RelayLimit> to_wire(const std::vector<routing::limit_update>& limits)
{
	std::vector<wire::RelayLimit> all;
	all.reserve(limits.size());
	for (const auto& reported : limits)
	{
		auto& added = all.emplace_back();
		added.replica = reported.replica.str();
		added.incarnation = reported.incarnation.value();
		if (reported.requests_per_s)
		{
			added.__set_requests_per_s(*reported.requests_per_s);
		}
		added.age_us = reported.age.count();
	}
	return all;
}

std::vector<routing::limit_update> from_wire(const std::vector<wire::RelayLimit>& limits)
{
	std::vector<routing::limit_update> all;
	all.reserve(limits.size());
	for (const auto& reported : limits)
	{
		const auto limit =
			reported.__isset.requests_per_s ? std::optional{reported.requests_per_s} : std::nullopt;
		all.push_back({replica_id{reported.replica}, routing::replica_incarnation{reported.incarnation},
			limit, duration{reported.age_us}});
	}
	return all;
}

std::vector<wire::RelayUsage> to_wire(const std::vector<usage::usage_cell>& cells)
{
	std::vector<wire::RelayUsage> all;
	all.reserve(cells.size());
	for (const auto& cell : cells)
	{
		auto& added = all.emplace_back();
		added.window = cell.window.value();
		added.workspace = cell.workspace.str();
		added.requests = static_cast<std::int64_t>(cell.requests);
	}
	return all;
}

std::vector<usage::usage_cell> from_wire(const std::vector<wire::RelayUsage>& cells)
{
	std::vector<usage::usage_cell> all;
	all.reserve(cells.size());
	for (const auto& cell : cells)
	{
		all.push_back({usage::window_index{cell.window}, workspace_id{cell.workspace},
			static_cast<std::uint64_t>(cell.requests)});
	}
	return all;
}
wire::RelayPaths to_wire(const path_report& report)
{
	wire::RelayPaths message;
	message.vm = report.vm.str();
	for (const auto& service : report.unreachable)
	{
		message.services.push_back(service.str());
	}
	message.known = static_cast<std::int64_t>(report.known);
	return message;
}

path_report from_wire(const wire::RelayPaths& message)
{
	path_report report{vm_id{message.vm}, {}, static_cast<path_digest>(message.known)};
	for (const auto& service : message.services)
	{
		report.unreachable.emplace_back(service);
	}
	return report;
}

std::vector<wire::RelayUnreachable> to_wire(const std::vector<routing::unreachable_service>& unreachable)
{
	std::vector<wire::RelayUnreachable> all;
	all.reserve(unreachable.size());
	for (const auto& entry : unreachable)
	{
		auto& added = all.emplace_back();
		added.service_name = entry.service.str();
		if (entry.domain)
		{
			added.__set_domain(entry.domain->str());
		}
		for (const auto& vm : entry.vms)
		{
			added.vms.push_back(vm.str());
		}
	}
	return all;
}

std::vector<routing::unreachable_service> from_wire(const std::vector<wire::RelayUnreachable>& unreachable)
{
	std::vector<routing::unreachable_service> all;
	all.reserve(unreachable.size());
	for (const auto& entry : unreachable)
	{
		auto& added = all.emplace_back();
		added.service = service_id{entry.service_name};
		if (entry.__isset.domain)
		{
			added.domain = failure_domain_id{entry.domain};
		}
		for (const auto& vm : entry.vms)
		{
			added.vms.emplace_back(vm);
		}
		std::sort(added.vms.begin(), added.vms.end());
	}
	return all;
}
} // namespace

wire::RelayReport to_wire(const peer_report& report)
{
	wire::RelayReport message;
	message.reporter = report.reporter;
	message.work = to_wire(report.work);
	for (const auto& evidence : report.evidence)
	{
		message.evidence.push_back(to_wire(evidence));
	}
	if (!report.suspended.empty())
	{
		message.__set_suspended(to_wire(report.suspended));
	}
	if (!report.suspects.empty())
	{
		message.__set_suspects(to_wire(report.suspects));
	}
	if (!report.limits.empty())
	{
		message.__set_limits(to_wire(report.limits));
	}
	if (!report.usage.empty())
	{
		message.__set_usage(to_wire(report.usage));
	}
	if (report.clock_offset)
	{
		message.__set_clock_offset_us(report.clock_offset->count());
	}
	if (!report.paths.unreachable.empty() || report.paths.known != 0)
	{
		message.__set_paths(to_wire(report.paths));
	}
	if (!report.paces.empty())
	{
		message.__set_paces(to_wire(report.paces));
	}
	if (!report.silences.empty())
	{
		message.__set_silences(to_wire(report.silences));
	}
	if (!report.loads.empty())
	{
		message.__set_loads(to_wire(report.loads));
	}
	return message;
}

peer_report from_wire(const wire::RelayReport& message)
{
	peer_report report{message.reporter, from_wire(message.work), {}, from_wire(message.suspended),
		from_wire(message.suspects), from_wire(message.limits), from_wire(message.usage), {}};
	if (message.__isset.clock_offset_us)
	{
		report.clock_offset = duration{message.clock_offset_us};
	}
	if (message.__isset.paths)
	{
		report.paths = from_wire(message.paths);
	}
	report.paces = from_wire(message.paces);
	report.silences = from_wire(message.silences);
	report.loads = from_wire(message.loads);
	for (const auto& evidence : message.evidence)
	{
		report.evidence.push_back(from_wire(evidence));
	}
	return report;
}

wire::RelaySummary to_wire(const peer_summary& summary)
{
	wire::RelaySummary message;
	message.work = to_wire(summary.work);
	message.suspended = to_wire(summary.suspended);
	if (!summary.suspects.empty())
	{
		message.__set_suspects(to_wire(summary.suspects));
	}
	if (!summary.limits.empty())
	{
		message.__set_limits(to_wire(summary.limits));
	}
	if (summary.usage_stored_before)
	{
		message.__set_usage_stored_before(summary.usage_stored_before->value());
	}
	if (summary.clock_offset)
	{
		message.__set_clock_offset_us(summary.clock_offset->count());
	}
	if (summary.paths.digest != 0)
	{
		message.__set_paths_digest(static_cast<std::int64_t>(summary.paths.digest));
		message.__set_unreachable(to_wire(summary.paths.unreachable));
	}
	if (!summary.paces.empty())
	{
		message.__set_paces(to_wire(summary.paces));
	}
	if (!summary.silences.empty())
	{
		message.__set_silences(to_wire(summary.silences));
	}
	if (!summary.loads.empty())
	{
		message.__set_loads(to_wire(summary.loads));
	}
	return message;
}

peer_summary from_wire(const wire::RelaySummary& message)
{
	peer_summary summary{from_wire(message.work), from_wire(message.suspended), from_wire(message.suspects),
		from_wire(message.limits), {}, {}};
	if (message.__isset.usage_stored_before)
	{
		summary.usage_stored_before = usage::window_index{message.usage_stored_before};
	}
	if (message.__isset.clock_offset_us)
	{
		summary.clock_offset = duration{message.clock_offset_us};
	}
	if (message.__isset.paths_digest)
	{
		summary.paths = {static_cast<path_digest>(message.paths_digest), from_wire(message.unreachable)};
	}
	summary.paces = from_wire(message.paces);
	summary.silences = from_wire(message.silences);
	summary.loads = from_wire(message.loads);
	return summary;
}
} // namespace gingerdyke::control
