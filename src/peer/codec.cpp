// SPDX-License-Identifier: MIT
// Frames between entry VMs: typed messages to and from the generated Thrift structs.
#include "peer_types.h"
#include <gingerdyke/base/crypto.hpp>
#include <gingerdyke/peer/codec.hpp>
#include <thrift/protocol/TCompactProtocol.h>
#include <thrift/transport/TBufferTransports.h>

namespace gingerdyke::peer
{
namespace
{
using apache::thrift::TConfiguration;
using apache::thrift::protocol::TCompactProtocol;
using apache::thrift::transport::TMemoryBuffer;

wire::Bill to_wire(const ledger::bill& bill)
{
	wire::Bill result;
	result.request = bill.request.str();
	result.workspace = bill.workspace.str();
	result.state = static_cast<std::int32_t>(bill.state);
	for (const auto& line : bill.lines)
	{
		auto& written = result.lines.emplace_back();
		written.version = line.version.str();
		written.tokens = line.used.value();
		written.micro_cost = line.cost.value();
	}
	return result;
}

ledger::bill from_wire(const wire::Bill& bill)
{
	ledger::bill result;
	result.request = request_id{bill.request};
	result.workspace = workspace_id{bill.workspace};
	result.state = bill.state == 0 ? ledger::bill_state::intent : ledger::bill_state::final_amount;
	for (const auto& line : bill.lines)
	{
		result.lines.push_back(
			{version_ref::parse(line.version), tokens{line.tokens}, micro_cost{line.micro_cost}});
	}
	return result;
}

std::vector<std::string> to_wire(const std::vector<request_id>& ids)
{
	std::vector<std::string> result;
	result.reserve(ids.size());
	for (const auto& id : ids)
	{
		result.push_back(id.str());
	}
	return result;
}

std::vector<request_id> ids_from(const std::vector<std::string>& texts)
{
	return {texts.begin(), texts.end()};
}

wire::Evidence to_wire(const evidence& seen)
{
	wire::Evidence result;
	result.version = seen.version.str();
	result.row_revision = seen.row_revision.value();
	result.answers = static_cast<std::int64_t>(seen.answers);
	result.failures = static_cast<std::int64_t>(seen.failures);
	return result;
}

evidence from_wire(const wire::Evidence& seen)
{
	const auto answers = std::max<std::int64_t>(seen.answers, 0);
	const auto failures = std::clamp<std::int64_t>(seen.failures, 0, answers);
	return {version_ref::parse(seen.version), revision{seen.row_revision},
		static_cast<std::uint64_t>(answers), static_cast<std::uint64_t>(failures)};
}

/// Writes each kind of message into its field of the union.
struct body_writer
{
	wire::Body& body;

	void operator()(const digest& message) const
	{
		wire::Digest result;
		result.table = message.table.value();
		result.confirmed_age_us = message.confirmed_age.count();
		result.asked_at = message.asked_at;
		result.is_answer = message.is_answer;
		result.member_list_revision = message.member_list_revision;
		result.leaving = message.leaving;
		for (const auto& one : message.suspensions)
		{
			auto& written = result.suspensions.emplace_back();
			written.version = one.version.str();
			written.row_revision = one.row_revision.value();
		}
		body.__set_digest(result);
	}

	void operator()(const table_pull& message) const
	{
		wire::TablePull result;
		result.have = message.have.value();
		body.__set_table_pull(result);
	}

	void operator()(const table_push& message) const
	{
		wire::TablePush result;
		result.from_revision = message.from.value();
		result.to_revision = message.to.value();
		for (const auto& row : message.rows)
		{
			auto& written = result.rows.emplace_back();
			written.id = row.id.str();
			written.at = row.at.value();
			written.text = row.text;
			written.removed = row.removed;
		}
		body.__set_table_push(result);
	}

	void operator()(const member_push& message) const
	{
		wire::MemberPush result;
		result.list_revision = message.list.list_revision;
		for (const auto& one : message.list.members)
		{
			auto& written = result.members.emplace_back();
			written.vm = one.vm.str();
			written.failure_domain = one.failure_domain.str();
			written.kind = static_cast<std::int32_t>(one.kind);
			written.state = static_cast<std::int32_t>(one.state);
			written.address = one.address;
		}
		body.__set_member_push(result);
	}

	void operator()(const journal_put& message) const
	{
		wire::JournalPut result;
		for (const auto& bill : message.bills)
		{
			result.bills.push_back(to_wire(bill));
		}
		body.__set_journal_put(result);
	}

	void operator()(const journal_ack& message) const
	{
		wire::JournalAck result;
		result.requests = to_wire(message.requests);
		result.state = static_cast<std::int32_t>(message.state);
		body.__set_journal_ack(result);
	}

	void operator()(const journal_forget& message) const
	{
		wire::JournalForget result;
		result.requests = to_wire(message.requests);
		body.__set_journal_forget(result);
	}

	void operator()(const heartbeat& /*message*/) const { body.__set_heartbeat(wire::Heartbeat{}); }

	void operator()(const permit_request& message) const
	{
		wire::PermitRequest result;
		result.seen = to_wire(message.seen);
		result.wanted = static_cast<std::int32_t>(message.wanted);
		body.__set_permit_request(result);
	}

	void operator()(const permit_grant& message) const
	{
		wire::PermitGrant result;
		result.version = message.version.str();
		result.row_revision = message.row_revision.value();
		result.permits = static_cast<std::int32_t>(message.permits);
		result.lifetime_us = message.lifetime.count();
		body.__set_permit_grant(result);
	}

	void operator()(const evidence_sum& message) const
	{
		wire::EvidenceSum result;
		result.sum = to_wire(message.sum);
		result.failure_domain = message.failure_domain.str();
		body.__set_evidence_sum(result);
	}
};

digest from_wire(const wire::Digest& body)
{
	digest result;
	result.table = revision{body.table};
	result.confirmed_age = duration{body.confirmed_age_us};
	result.asked_at = body.asked_at;
	result.is_answer = body.is_answer;
	result.member_list_revision = body.member_list_revision;
	result.leaving = body.leaving;
	for (const auto& one : body.suspensions)
	{
		result.suspensions.push_back({version_ref::parse(one.version), revision{one.row_revision}});
	}
	return result;
}

table_push from_wire(const wire::TablePush& body)
{
	table_push result{revision{body.from_revision}, revision{body.to_revision}, {}};
	for (const auto& row : body.rows)
	{
		result.rows.push_back({row_id{row.id}, revision{row.at}, row.text, row.removed});
	}
	return result;
}

std::optional<message> from_wire(const wire::MemberPush& body)
{
	member_push result;
	result.list.list_revision = body.list_revision;
	for (const auto& one : body.members)
	{
		if (one.kind < 0 || one.kind > 1 || one.state < 0 || one.state > 2)
		{
			return std::nullopt;
		}
		result.list.members.push_back({vm_id{one.vm}, failure_domain_id{one.failure_domain},
			static_cast<membership::member_kind>(one.kind), static_cast<membership::member_state>(one.state),
			one.address});
	}
	return result;
}

std::optional<message> from_wire(const wire::Body& body)
{
	if (body.__isset.digest)
	{
		return from_wire(body.digest);
	}
	if (body.__isset.table_pull)
	{
		return table_pull{revision{body.table_pull.have}};
	}
	if (body.__isset.table_push)
	{
		return from_wire(body.table_push);
	}
	if (body.__isset.member_push)
	{
		return from_wire(body.member_push);
	}
	if (body.__isset.journal_put)
	{
		journal_put result;
		for (const auto& bill : body.journal_put.bills)
		{
			result.bills.push_back(from_wire(bill));
		}
		return result;
	}
	if (body.__isset.journal_ack)
	{
		const auto state =
			body.journal_ack.state == 0 ? ledger::bill_state::intent : ledger::bill_state::final_amount;
		return journal_ack{ids_from(body.journal_ack.requests), state};
	}
	if (body.__isset.journal_forget)
	{
		return journal_forget{ids_from(body.journal_forget.requests)};
	}
	if (body.__isset.heartbeat)
	{
		return heartbeat{};
	}
	if (body.__isset.permit_request)
	{
		const auto wanted = std::max(body.permit_request.wanted, 0);
		return permit_request{from_wire(body.permit_request.seen), static_cast<std::uint32_t>(wanted)};
	}
	if (body.__isset.permit_grant)
	{
		const auto& grant = body.permit_grant;
		return permit_grant{version_ref::parse(grant.version), revision{grant.row_revision},
			static_cast<std::uint32_t>(std::max(grant.permits, 0)), duration{grant.lifetime_us}};
	}
	if (body.__isset.evidence_sum)
	{
		return evidence_sum{
			from_wire(body.evidence_sum.sum), failure_domain_id{body.evidence_sum.failure_domain}};
	}
	return std::nullopt;
}
} // namespace

std::string encode(const envelope& envelope, std::string_view secret)
{
	wire::Envelope written;
	written.vm = envelope.from.vm.str();
	written.incarnation = static_cast<std::int64_t>(envelope.from.incarnation);
	written.failure_domain = envelope.failure_domain.str();
	std::visit(body_writer{written.body}, envelope.body);

	const auto buffer = std::make_shared<TMemoryBuffer>();
	TCompactProtocol protocol{buffer};
	written.write(&protocol);
	const auto payload = buffer->getBufferAsString();

	const auto size = mac_bytes + payload.size();
	std::string frame;
	frame.reserve(length_bytes + size);
	for (int shift = 24; shift >= 0; shift -= 8)
	{
		frame += static_cast<char>((size >> static_cast<unsigned>(shift)) & 0xffU);
	}
	frame += hmac_sha256(secret, payload);
	frame += payload;
	return frame;
}

std::optional<std::size_t> frame_length(std::string_view head)
{
	if (head.size() < length_bytes)
	{
		return std::nullopt;
	}
	std::size_t size = 0;
	for (std::size_t i = 0; i < length_bytes; ++i)
	{
		size = (size << 8U) | static_cast<unsigned char>(head[i]);
	}
	if (size <= mac_bytes || size > largest_frame)
	{
		return std::nullopt;
	}
	return size;
}

std::optional<envelope> decode(std::string_view frame, std::string_view secret)
{
	if (frame.size() <= mac_bytes || frame.size() > largest_frame)
	{
		return std::nullopt;
	}
	const auto payload = frame.substr(mac_bytes);
	if (!equal_in_constant_time(frame.substr(0, mac_bytes), hmac_sha256(secret, payload)))
	{
		return std::nullopt;
	}
	return decode_body(payload);
}

std::optional<envelope> decode_body(std::string_view bytes)
{
	try
	{
		const auto configuration = std::make_shared<TConfiguration>(largest_frame, largest_frame);
		auto* start = reinterpret_cast<std::uint8_t*>(const_cast<char*>(bytes.data()));
		const auto buffer = std::make_shared<TMemoryBuffer>(
			start, static_cast<std::uint32_t>(bytes.size()), TMemoryBuffer::OBSERVE, configuration);
		TCompactProtocol protocol{buffer};
		wire::Envelope read;
		read.read(&protocol);
		auto body = from_wire(read.body);
		if (!body)
		{
			return std::nullopt;
		}
		return envelope{{vm_id{read.vm}, static_cast<std::uint64_t>(read.incarnation)},
			failure_domain_id{read.failure_domain}, std::move(*body)};
	}
	catch (const std::exception&)
	{
		return std::nullopt;
	}
}
} // namespace gingerdyke::peer
