// SPDX-License-Identifier: MIT
// Reports between VMs as the messages that carry them.
#include "report_message.hpp"

#include <algorithm>
#include <gingerdyke/control/row_store.hpp>

namespace gingerdyke::control
{
namespace
{
std::vector<wire::RelayWork> written(const std::vector<routing::replica_work>& work)
{
	std::vector<wire::RelayWork> all;
	all.reserve(work.size());
	for (const auto& one : work)
	{
		auto& added = all.emplace_back();
		added.replica = one.replica.str();
		added.tokens = static_cast<std::int64_t>(one.tokens);
	}
	return all;
}

std::vector<routing::replica_work> read(const std::vector<wire::RelayWork>& work)
{
	std::vector<routing::replica_work> all;
	all.reserve(work.size());
	for (const auto& one : work)
	{
		all.push_back({replica_id{one.replica}, static_cast<double>(one.tokens)});
	}
	return all;
}

wire::RelayCounts written(const rollout::response_counts& counts)
{
	wire::RelayCounts message;
	message.answers = static_cast<std::int64_t>(counts.responses);
	message.failed = static_cast<std::int64_t>(counts.failed);
	return message;
}

rollout::response_counts read(const wire::RelayCounts& message)
{
	return {static_cast<std::uint64_t>(message.answers), static_cast<std::uint64_t>(message.failed)};
}

std::vector<wire::RelayCellCounts> written(const rollout::by_cell<rollout::response_counts>& seen)
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

rollout::by_cell<rollout::response_counts> read(const std::vector<wire::RelayCellCounts>& cells)
{
	rollout::by_cell<rollout::response_counts> seen;
	for (const auto& one : cells)
	{
		seen[static_cast<rollout::cell_index>(one.cell)] +=
			{static_cast<std::uint64_t>(one.answers), static_cast<std::uint64_t>(one.failed)};
	}
	return seen;
}

wire::RelayRouteEvidence written(const std::string& route, const rollout::route_evidence& seen)
{
	wire::RelayRouteEvidence message;
	message.route = route;
	message.before = written(seen.pre_trial);
	message.old_version = written(seen.old_version);
	message.new_version = written(seen.new_version);
	return message;
}

rollout::route_evidence read(const wire::RelayRouteEvidence& message)
{
	return {read(message.before), read(message.old_version), read(message.new_version)};
}

std::vector<std::int32_t> written(const rollout::latency_histogram& times)
{
	std::vector<std::int32_t> counts{times.counts().begin(), times.counts().end()};
	while (!counts.empty() && counts.back() == 0)
	{
		counts.pop_back();
	}
	return counts;
}

rollout::latency_histogram read(const std::vector<std::int32_t>& counts)
{
	rollout::latency_histogram times;
	for (std::size_t level = 0; level < counts.size(); ++level)
	{
		times.set_count(level, static_cast<std::uint32_t>(counts[level]));
	}
	return times;
}

std::vector<wire::RelayCellTimes> written(const rollout::by_cell<rollout::latency_histogram>& seen)
{
	std::vector<wire::RelayCellTimes> all;
	for (const auto& [cell, times] : seen)
	{
		auto& added = all.emplace_back();
		added.cell = static_cast<std::int32_t>(cell);
		added.levels = written(times);
	}
	return all;
}

rollout::by_cell<rollout::latency_histogram> read(const std::vector<wire::RelayCellTimes>& cells)
{
	rollout::by_cell<rollout::latency_histogram> seen;
	for (const auto& one : cells)
	{
		seen[static_cast<rollout::cell_index>(one.cell)] += read(one.levels);
	}
	return seen;
}

std::vector<wire::RelayTimeEvidence> written(const rollout::latencies_by_model& times)
{
	std::vector<wire::RelayTimeEvidence> all;
	for (const auto& [model, seen] : times)
	{
		auto& added = all.emplace_back();
		added.model = model;
		added.usual = written(seen.baseline);
		added.before = written(seen.pre_trial);
		added.old_version = written(seen.old_version);
		added.new_version = written(seen.new_version);
	}
	return all;
}

rollout::latencies_by_model read(const std::vector<wire::RelayTimeEvidence>& times)
{
	rollout::latencies_by_model all;
	for (const auto& one : times)
	{
		all[one.model] = {read(one.usual), read(one.before), read(one.old_version), read(one.new_version)};
	}
	return all;
}

wire::RelayEvidence written(const rollout::shift_evidence& evidence)
{
	wire::RelayEvidence message;
	message.service_name = evidence.service.str();
	message.order = evidence.order.value();
	for (const auto& [route, seen] : evidence.seen.by_route)
	{
		message.routes.push_back(written(route, seen));
	}
	message.late = written({}, evidence.seen.peak_load_phase);
	message.models = written(evidence.seen.first_byte_by_model);
	message.paces = written(evidence.seen.event_intervals_by_model);
	return message;
}

rollout::shift_evidence read(const wire::RelayEvidence& message)
{
	rollout::shift_evidence evidence{service_id{message.service_name}, row_version{message.order}, {}};
	for (const auto& one : message.routes)
	{
		evidence.seen.by_route[one.route] = read(one);
	}
	evidence.seen.peak_load_phase = read(message.late);
	evidence.seen.first_byte_by_model = read(message.models);
	evidence.seen.event_intervals_by_model = read(message.paces);
	return evidence;
}

std::vector<wire::RelaySuspension> written(const std::vector<rollout::shift_suspension>& suspended)
{
	std::vector<wire::RelaySuspension> all;
	all.reserve(suspended.size());
	for (const auto& one : suspended)
	{
		auto& added = all.emplace_back();
		added.service_name = one.service.str();
		added.order = one.order.value();
	}
	return all;
}

std::vector<rollout::shift_suspension> read(const std::vector<wire::RelaySuspension>& suspended)
{
	std::vector<rollout::shift_suspension> all;
	all.reserve(suspended.size());
	for (const auto& one : suspended)
	{
		all.push_back({service_id{one.service_name}, row_version{one.order}});
	}
	return all;
}

std::vector<std::int64_t> written(const std::set<quarantine::process_life>& lives)
{
	std::vector<std::int64_t> all;
	all.reserve(lives.size());
	for (const auto life : lives)
	{
		all.push_back(life.value());
	}
	return all;
}

std::set<quarantine::process_life> read_lives(const std::vector<std::int64_t>& lives)
{
	std::set<quarantine::process_life> all;
	for (const auto life : lives)
	{
		all.insert(quarantine::process_life{life});
	}
	return all;
}

std::vector<wire::RelaySuspicion> written(const std::vector<quarantine::suspicion>& suspects)
{
	std::vector<wire::RelaySuspicion> all;
	all.reserve(suspects.size());
	for (const auto& one : suspects)
	{
		auto& added = all.emplace_back();
		added.key = one.key.str();
		for (const auto& [life, together] : one.ended)
		{
			auto& end = added.ended.emplace_back();
			end.life = life.value();
			end.together = written(together);
		}
		added.survived = written(one.survived);
	}
	return all;
}

std::vector<quarantine::suspicion> read(const std::vector<wire::RelaySuspicion>& suspects)
{
	std::vector<quarantine::suspicion> all;
	all.reserve(suspects.size());
	for (const auto& one : suspects)
	{
		auto& added = all.emplace_back();
		added.key = quarantine::request_key{one.key};
		for (const auto& end : one.ended)
		{
			added.ended[quarantine::process_life{end.life}] = read_lives(end.together);
		}
		added.survived = read_lives(one.survived);
	}
	return all;
}
std::vector<wire::RelayLimit> written(const std::vector<routing::limit_news>& limits)
{
	std::vector<wire::RelayLimit> all;
	all.reserve(limits.size());
	for (const auto& one : limits)
	{
		auto& added = all.emplace_back();
		added.replica = one.replica.str();
		added.incarnation = one.incarnation.value();
		if (one.requests_per_s)
		{
			added.__set_requests_per_s(*one.requests_per_s);
		}
		added.age_us = one.age.count();
	}
	return all;
}

std::vector<routing::limit_news> read(const std::vector<wire::RelayLimit>& limits)
{
	std::vector<routing::limit_news> all;
	all.reserve(limits.size());
	for (const auto& one : limits)
	{
		const auto limit = one.__isset.requests_per_s ? std::optional{one.requests_per_s} : std::nullopt;
		all.push_back({replica_id{one.replica}, routing::replica_incarnation{one.incarnation}, limit,
			duration{one.age_us}});
	}
	return all;
}
} // namespace

wire::RelayReport written(const peer_report& report)
{
	wire::RelayReport message;
	message.reporter = report.reporter;
	message.work = written(report.work);
	for (const auto& one : report.evidence)
	{
		message.evidence.push_back(written(one));
	}
	if (!report.suspended.empty())
	{
		message.__set_suspended(written(report.suspended));
	}
	if (!report.suspects.empty())
	{
		message.__set_suspects(written(report.suspects));
	}
	if (!report.limits.empty())
	{
		message.__set_limits(written(report.limits));
	}
	return message;
}

peer_report read(const wire::RelayReport& message)
{
	peer_report report{message.reporter, read(message.work), {}, read(message.suspended),
		read(message.suspects), read(message.limits)};
	for (const auto& one : message.evidence)
	{
		report.evidence.push_back(read(one));
	}
	return report;
}

wire::RelaySummary written(const peer_summary& summary)
{
	wire::RelaySummary message;
	message.work = written(summary.work);
	message.suspended = written(summary.suspended);
	if (!summary.suspects.empty())
	{
		message.__set_suspects(written(summary.suspects));
	}
	if (!summary.limits.empty())
	{
		message.__set_limits(written(summary.limits));
	}
	return message;
}

peer_summary read(const wire::RelaySummary& message)
{
	return {read(message.work), read(message.suspended), read(message.suspects), read(message.limits)};
}
} // namespace gingerdyke::control
