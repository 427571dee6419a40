// SPDX-License-Identifier: MIT
// Frames with which VMs read the registry through each other.
#include "relay_types.h"
#include <algorithm>
#include <gingerdyke/control/relay_codec.hpp>
#include <gingerdyke/control/row_packing.hpp>
#include <thrift/protocol/TCompactProtocol.h>
#include <thrift/transport/TBufferTransports.h>

namespace gingerdyke::control
{
namespace
{
using apache::thrift::protocol::TCompactProtocol;
using apache::thrift::transport::TMemoryBuffer;

constexpr std::int32_t outcome_rows = 0;

/// The number that stands for an error on the wire.
std::int32_t outcome_of(store_error error)
{
	return static_cast<std::int32_t>(error) + 1;
}

store_error error_of(std::int32_t outcome)
{
	for (const auto error : {store_error::unreachable, store_error::unavailable, store_error::history_gone})
	{
		if (outcome == outcome_of(error))
		{
			return error;
		}
	}
	return store_error::bad_answer;
}

template <typename Message>
std::string frame_of(const Message& message)
{
	const auto buffer = std::make_shared<TMemoryBuffer>();
	TCompactProtocol protocol{buffer};
	message.write(&protocol);
	const auto body = buffer->getBufferAsString();
	std::string frame;
	frame.reserve(relay_length_bytes + body.size());
	constexpr unsigned byte_bits = 8;
	constexpr unsigned byte_mask = 0xff;
	for (std::size_t i = relay_length_bytes; i-- > 0;)
	{
		frame.push_back(static_cast<char>((body.size() >> (i * byte_bits)) & byte_mask));
	}
	return frame + body;
}

template <typename Message>
std::optional<Message> message_of(std::string_view frame)
{
	try
	{
		const auto buffer =
			std::make_shared<TMemoryBuffer>(reinterpret_cast<std::uint8_t*>(const_cast<char*>(frame.data())),
				static_cast<std::uint32_t>(frame.size()));
		TCompactProtocol protocol{buffer};
		Message message;
		message.read(&protocol);
		return message;
	}
	catch (const apache::thrift::TException&)
	{
		return std::nullopt;
	}
}

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

wire::RelayCounts written(const rollout::answer_counts& counts)
{
	wire::RelayCounts message;
	message.answers = static_cast<std::int64_t>(counts.answers);
	message.failed = static_cast<std::int64_t>(counts.failed);
	return message;
}

rollout::answer_counts read(const wire::RelayCounts& message)
{
	return {static_cast<std::uint64_t>(message.answers), static_cast<std::uint64_t>(message.failed)};
}

std::vector<wire::RelayCellCounts> written(const rollout::by_cell<rollout::answer_counts>& seen)
{
	std::vector<wire::RelayCellCounts> all;
	for (const auto& [cell, counts] : seen)
	{
		auto& added = all.emplace_back();
		added.cell = static_cast<std::int32_t>(cell);
		added.answers = static_cast<std::int64_t>(counts.answers);
		added.failed = static_cast<std::int64_t>(counts.failed);
	}
	return all;
}

rollout::by_cell<rollout::answer_counts> read(const std::vector<wire::RelayCellCounts>& cells)
{
	rollout::by_cell<rollout::answer_counts> seen;
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
	message.before = written(seen.before);
	message.old_version = written(seen.old_version);
	message.new_version = written(seen.new_version);
	return message;
}

rollout::route_evidence read(const wire::RelayRouteEvidence& message)
{
	return {read(message.before), read(message.old_version), read(message.new_version)};
}

std::vector<std::int32_t> written(const rollout::answer_times& times)
{
	std::vector<std::int32_t> counts{times.counts().begin(), times.counts().end()};
	while (!counts.empty() && counts.back() == 0)
	{
		counts.pop_back();
	}
	return counts;
}

rollout::answer_times read(const std::vector<std::int32_t>& counts)
{
	rollout::answer_times times;
	for (std::size_t level = 0; level < counts.size(); ++level)
	{
		times.set(level, static_cast<std::uint32_t>(counts[level]));
	}
	return times;
}

std::vector<wire::RelayCellTimes> written(const rollout::by_cell<rollout::answer_times>& seen)
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

rollout::by_cell<rollout::answer_times> read(const std::vector<wire::RelayCellTimes>& cells)
{
	rollout::by_cell<rollout::answer_times> seen;
	for (const auto& one : cells)
	{
		seen[static_cast<rollout::cell_index>(one.cell)] += read(one.levels);
	}
	return seen;
}

std::vector<wire::RelayTimeEvidence> written(const rollout::times_by_model& times)
{
	std::vector<wire::RelayTimeEvidence> all;
	for (const auto& [model, seen] : times)
	{
		auto& added = all.emplace_back();
		added.model = model;
		added.usual = written(seen.usual);
		added.before = written(seen.before);
		added.old_version = written(seen.old_version);
		added.new_version = written(seen.new_version);
	}
	return all;
}

rollout::times_by_model read(const std::vector<wire::RelayTimeEvidence>& times)
{
	rollout::times_by_model all;
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
	message.late = written({}, evidence.seen.late);
	message.models = written(evidence.seen.by_model);
	message.paces = written(evidence.seen.by_pace);
	return message;
}

rollout::shift_evidence read(const wire::RelayEvidence& message)
{
	rollout::shift_evidence evidence{service_id{message.service_name}, row_version{message.order}, {}};
	for (const auto& one : message.routes)
	{
		evidence.seen.by_route[one.route] = read(one);
	}
	evidence.seen.late = read(message.late);
	evidence.seen.by_model = read(message.models);
	evidence.seen.by_pace = read(message.paces);
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
	return message;
}

peer_report read(const wire::RelayReport& message)
{
	peer_report report{
		message.reporter, read(message.work), {}, read(message.suspended), read(message.suspects)};
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
	return message;
}

peer_summary read(const wire::RelaySummary& message)
{
	return {read(message.work), read(message.suspended), read(message.suspects)};
}
} // namespace

std::string write_frame(const relay_poll& poll)
{
	wire::RelayPoll message;
	message.call = poll.call;
	message.table = poll.table;
	message.whole = !poll.after.has_value();
	message.after = poll.after.value_or(row_version{0}).value();
	message.wait_us = poll.wait.count();
	if (poll.oldest)
	{
		message.__set_oldest_us(poll.oldest->count());
	}
	if (poll.report)
	{
		message.__set_report(written(*poll.report));
	}
	return frame_of(message);
}

std::string write_frame(const relay_answer& answer)
{
	wire::RelayAnswer message;
	message.call = answer.call;
	if (answer.is_second_hand)
	{
		message.__set_second_hand(true);
	}
	if (answer.summary)
	{
		message.__set_summary(written(*answer.summary));
	}
	if (!answer.result)
	{
		message.outcome = outcome_of(answer.result.error());
		return frame_of(message);
	}
	const auto& batch = *answer.result;
	message.outcome = outcome_rows;
	for (const auto& one : batch.rows)
	{
		auto& written = message.rows.emplace_back();
		written.key = one.key;
		written.value = one.value;
		written.version = one.version.value();
		written.removed = one.removed;
	}
	if (answer.packed)
	{
		message.__set_packed(*answer.packed);
	}
	message.newest = batch.newest.value();
	message.registry_time_us = batch.at.count();
	message.age_us = batch.age.count();
	return frame_of(message);
}

std::optional<std::size_t> frame_length(std::string_view first_bytes)
{
	constexpr unsigned byte_bits = 8;
	std::size_t length = 0;
	for (const auto c : first_bytes.substr(0, relay_length_bytes))
	{
		length = (length << byte_bits) | static_cast<unsigned char>(c);
	}
	return length <= largest_relay_frame ? std::optional{length} : std::nullopt;
}

std::optional<relay_poll> read_poll(std::string_view frame)
{
	const auto message = message_of<wire::RelayPoll>(frame);
	if (!message)
	{
		return std::nullopt;
	}
	relay_poll poll;
	poll.call = message->call;
	poll.table = message->table;
	if (!message->whole)
	{
		poll.after = row_version{message->after};
	}
	poll.wait = duration{message->wait_us};
	if (message->__isset.oldest_us)
	{
		poll.oldest = duration{message->oldest_us};
	}
	if (message->__isset.report)
	{
		poll.report = read(message->report);
	}
	return poll;
}

std::optional<relay_answer> read_answer(std::string_view frame)
{
	const auto message = message_of<wire::RelayAnswer>(frame);
	if (!message)
	{
		return std::nullopt;
	}
	relay_answer answer;
	answer.call = message->call;
	answer.is_second_hand = message->__isset.second_hand && message->second_hand;
	if (message->__isset.summary)
	{
		answer.summary = read(message->summary);
	}
	if (message->outcome != outcome_rows)
	{
		answer.result = tl::make_unexpected(error_of(message->outcome));
		return answer;
	}
	row_batch batch;
	for (const auto& one : message->rows)
	{
		batch.rows.push_back({{}, one.key, one.value, row_version{one.version}, one.removed});
	}
	if (message->__isset.packed)
	{
		auto rows = unpack_rows(message->packed);
		if (!rows)
		{
			return std::nullopt;
		}
		batch.rows = std::move(*rows);
	}
	batch.newest = row_version{message->newest};
	batch.at = registry_time{message->registry_time_us};
	batch.age = std::max(duration{message->age_us}, duration{0});
	answer.result = std::move(batch);
	return answer;
}
} // namespace gingerdyke::control
