// SPDX-License-Identifier: MIT
// Compression of full tables that are sent between VMs.
#include "relay_types.h"
#include <boost/beast/zlib/deflate_stream.hpp>
#include <boost/beast/zlib/inflate_stream.hpp>
#include <boost/endian/conversion.hpp>
#include <gingerdyke/control/row_packing.hpp>
#include <thrift/protocol/TCompactProtocol.h>
#include <thrift/transport/TBufferTransports.h>

namespace gingerdyke::control
{
namespace
{
namespace zlib = boost::beast::zlib;
using apache::thrift::protocol::TCompactProtocol;
using apache::thrift::transport::TMemoryBuffer;

/// Similar content repeats within a few hundred bytes, so a small window finds it and uses little memory.
constexpr int window_bits = 12;
constexpr int deflate_memory_level = 6;

/// Fastest compression level: other VMs wait while this one compresses.
constexpr int compression_level = 1;

/// Prefix that holds the uncompressed size, in bytes.
using size_field = std::uint32_t;

std::string deflate(const std::string& bytes)
{
	const auto size = static_cast<size_field>(bytes.size());
	std::string packed(sizeof size + zlib::deflate_upper_bound(bytes.size()), '\0');
	boost::endian::store_big_u32(reinterpret_cast<unsigned char*>(packed.data()), size);
	zlib::deflate_stream stream;
	stream.reset(compression_level, window_bits, deflate_memory_level, zlib::Strategy::normal);
	zlib::z_params state;
	state.next_in = bytes.data();
	state.avail_in = bytes.size();
	state.next_out = packed.data() + sizeof size;
	state.avail_out = packed.size() - sizeof size;
	boost::beast::error_code ignored;
	stream.write(state, zlib::Flush::finish, ignored);
	packed.resize(sizeof size + state.total_out);
	return packed;
}

std::optional<std::string> inflate(std::string_view packed)
{
	if (packed.size() < sizeof(size_field))
	{
		return std::nullopt;
	}
	const auto size = boost::endian::load_big_u32(reinterpret_cast<const unsigned char*>(packed.data()));
	if (size > max_unpacked_bytes)
	{
		return std::nullopt;
	}
	std::string bytes(size, '\0');
	zlib::inflate_stream stream;
	stream.reset(window_bits);
	zlib::z_params state;
	state.next_in = packed.data() + sizeof(size_field);
	state.avail_in = packed.size() - sizeof(size_field);
	state.next_out = bytes.data();
	state.avail_out = bytes.size();
	boost::beast::error_code ignored;
	stream.write(state, zlib::Flush::finish, ignored);
	// Whether the end-of-stream marker is reported depends on the alignment of the last bits, so the output
	// size is checked instead.
	return state.total_out == size ? std::optional{std::move(bytes)} : std::nullopt;
}
} // namespace

std::string pack_rows(const std::vector<row>& rows)
{
	wire::RelayRows message;
	message.rows.reserve(rows.size());
	for (const auto& table_row : rows)
	{
		auto& added = message.rows.emplace_back();
		added.key = table_row.key;
		added.value = table_row.value;
		added.version = table_row.version.value();
		added.removed = table_row.removed;
	}
	const auto buffer = std::make_shared<TMemoryBuffer>();
	TCompactProtocol protocol{buffer};
	message.write(&protocol);
	return deflate(buffer->getBufferAsString());
}

std::optional<std::vector<row>> unpack_rows(std::string_view packed)
{
	auto bytes = inflate(packed);
	if (!bytes)
	{
		return std::nullopt;
	}
	wire::RelayRows message;
	try
	{
		const auto buffer = std::make_shared<TMemoryBuffer>(
			reinterpret_cast<std::uint8_t*>(bytes->data()), static_cast<std::uint32_t>(bytes->size()));
		TCompactProtocol protocol{buffer};
		message.read(&protocol);
	}
	catch (const apache::thrift::TException&)
	{
		return std::nullopt;
	}
	std::vector<row> rows;
	rows.reserve(message.rows.size());
	for (auto& table_row : message.rows)
	{
		rows.push_back({{}, std::move(table_row.key), std::move(table_row.value),
			row_version{table_row.version}, table_row.removed});
	}
	return rows;
}
} // namespace gingerdyke::control
