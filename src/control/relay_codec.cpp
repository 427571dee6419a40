// SPDX-License-Identifier: MIT
// Wire format with which VMs read the registry through each other.
#include "report_message.hpp"

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

constexpr std::int32_t outcome_success = 0;

/// Encodes an error as an outcome number.
std::int32_t outcome_number(store_error error)
{
	return static_cast<std::int32_t>(error) + 1;
}

store_error outcome_error(std::int32_t outcome)
{
	for (const auto error : {store_error::unreachable, store_error::unavailable, store_error::history_gone})
	{
		if (outcome == outcome_number(error))
		{
			return error;
		}
	}
	return store_error::bad_response;
}

template <typename Message>
std::string encode_frame(const Message& message)
{
	const auto buffer = std::make_shared<TMemoryBuffer>();
	TCompactProtocol protocol{buffer};
	message.write(&protocol);
	const auto body = buffer->getBufferAsString();
	std::string frame;
	frame.reserve(frame_header_bytes + body.size());
	constexpr unsigned byte_bits = 8;
	constexpr unsigned byte_mask = 0xff;
	for (std::size_t i = frame_header_bytes; i-- > 0;)
	{
		frame.push_back(static_cast<char>((body.size() >> (i * byte_bits)) & byte_mask));
	}
	return frame + body;
}

template <typename Message>
std::optional<Message> decode_message(std::string_view frame)
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

wire::RelayCompressedRow to_wire(const compressed_row& compressed)
{
	wire::RelayCompressedRow message;
	message.key = compressed.key;
	message.version = compressed.version.value();
	message.bytes = *compressed.bytes;
	if (compressed.base)
	{
		message.__set_base(compressed.base->value());
	}
	return message;
}

compressed_row from_wire(const wire::RelayCompressedRow& message)
{
	compressed_row compressed;
	compressed.key = message.key;
	compressed.version = row_version{message.version};
	if (message.__isset.base)
	{
		compressed.base = row_version{message.base};
	}
	compressed.bytes = std::make_shared<const std::string>(message.bytes);
	return compressed;
}
} // namespace

std::string write_frame(const relay_poll& poll)
{
	wire::RelayPoll message;
	message.call = poll.call_id;
	message.table = poll.table;
	message.whole = !poll.after.has_value();
	message.after = poll.after.value_or(row_version{0}).value();
	message.wait_us = poll.wait.count();
	if (poll.max_age)
	{
		message.__set_oldest_us(poll.max_age->count());
	}
	if (poll.era)
	{
		message.__set_era(poll.era->value());
	}
	if (poll.report)
	{
		message.__set_report(to_wire(*poll.report));
	}
	if (poll.known_rows)
	{
		message.__isset.known_rows = true;
		for (const auto& known : *poll.known_rows)
		{
			auto& wire_row = message.known_rows.emplace_back();
			wire_row.key = known.key;
			wire_row.version = known.version.value();
		}
	}
	return encode_frame(message);
}

std::string write_frame(const relay_response& response)
{
	wire::RelayAnswer message;
	message.call = response.call_id;
	if (response.is_relayed)
	{
		message.__set_second_hand(true);
	}
	if (response.summary)
	{
		message.__set_summary(to_wire(*response.summary));
	}
	if (!response.result)
	{
		message.outcome = outcome_number(response.result.error());
		return encode_frame(message);
	}
	const auto& batch = *response.result;
	message.outcome = outcome_success;
	for (const auto& table_row : batch.rows)
	{
		auto& wire_row = message.rows.emplace_back();
		wire_row.key = table_row.key;
		wire_row.value = table_row.value;
		wire_row.version = table_row.version.value();
		wire_row.removed = table_row.removed;
	}
	if (response.packed)
	{
		message.__set_packed(*response.packed);
	}
	for (const auto& compressed : response.compressed_rows)
	{
		message.__isset.compressed = true;
		message.compressed.push_back(to_wire(compressed));
	}
	message.newest = batch.newest.value();
	if (batch.era)
	{
		message.__set_era(batch.era->value());
	}
	message.registry_time_us = batch.at.count();
	message.age_us = batch.age.count();
	return encode_frame(message);
}

std::optional<std::size_t> frame_length(std::string_view first_bytes)
{
	constexpr unsigned byte_bits = 8;
	std::size_t length = 0;
	for (const auto c : first_bytes.substr(0, frame_header_bytes))
	{
		length = (length << byte_bits) | static_cast<unsigned char>(c);
	}
	return length <= max_frame_bytes ? std::optional{length} : std::nullopt;
}

std::optional<relay_poll> read_poll(std::string_view frame)
{
	const auto message = decode_message<wire::RelayPoll>(frame);
	if (!message)
	{
		return std::nullopt;
	}
	relay_poll poll;
	poll.call_id = message->call;
	poll.table = message->table;
	if (!message->whole)
	{
		poll.after = row_version{message->after};
	}
	poll.wait = duration{message->wait_us};
	if (message->__isset.oldest_us)
	{
		poll.max_age = duration{message->oldest_us};
	}
	if (message->__isset.era)
	{
		poll.era = registry_era{message->era};
	}
	if (message->__isset.report)
	{
		poll.report = from_wire(message->report);
	}
	if (message->__isset.known_rows)
	{
		poll.known_rows.emplace();
		for (const auto& known : message->known_rows)
		{
			poll.known_rows->push_back({known.key, row_version{known.version}});
		}
	}
	return poll;
}

std::optional<relay_response> read_response(std::string_view frame)
{
	const auto message = decode_message<wire::RelayAnswer>(frame);
	if (!message)
	{
		return std::nullopt;
	}
	relay_response response;
	response.call_id = message->call;
	response.is_relayed = message->__isset.second_hand && message->second_hand;
	if (message->__isset.summary)
	{
		response.summary = from_wire(message->summary);
	}
	if (message->outcome != outcome_success)
	{
		response.result = tl::make_unexpected(outcome_error(message->outcome));
		return response;
	}
	row_batch batch;
	for (const auto& table_row : message->rows)
	{
		batch.rows.push_back(
			{{}, table_row.key, table_row.value, row_version{table_row.version}, table_row.removed});
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
	for (const auto& compressed : message->compressed)
	{
		response.compressed_rows.push_back(from_wire(compressed));
	}
	batch.newest = row_version{message->newest};
	if (message->__isset.era)
	{
		batch.era = registry_era{message->era};
	}
	batch.at = registry_time{message->registry_time_us};
	batch.age = std::max(duration{message->age_us}, duration{0});
	response.result = std::move(batch);
	return response;
}
} // namespace gingerdyke::control
