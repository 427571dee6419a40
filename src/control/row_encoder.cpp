// SPDX-License-Identifier: MIT
// Encodes the rows of a table for the VMs that poll them.
#include <algorithm>
#include <gingerdyke/control/row_encoder.hpp>
#include <gingerdyke/control/row_packing.hpp>
#include <gingerdyke/control/value_compression.hpp>
#include <limits>

namespace gingerdyke::control
{
namespace
{
/// Encodings kept of one table or row: VMs poll from a few different versions.
constexpr std::size_t max_encodings = 8;

template <typename Encoding>
Encoding& keep(std::vector<Encoding>& encodings, Encoding added)
{
	if (encodings.size() >= max_encodings)
	{
		encodings.erase(encodings.begin());
	}
	return encodings.emplace_back(std::move(added));
}

/// Returns the size from which the values of rows are sent compressed.
std::size_t max_value_bytes_for(const relay_poll& poll)
{
	return poll.known_rows ? large_value_bytes : std::numeric_limits<std::size_t>::max();
}

/// Returns the version of a row that the caller has and whose value this VM still knows.
std::optional<row_version> base_for(const table_cache& from, const relay_poll& poll, const row& large)
{
	if (poll.era != from.era())
	{
		return std::nullopt;
	}
	const auto known = std::find_if(poll.known_rows->begin(), poll.known_rows->end(),
		[&](const known_row& candidate) { return candidate.key == large.key; });
	const bool is_usable =
		known != poll.known_rows->end() && from.find_value(large.key, known->version) != nullptr;
	return is_usable ? std::optional{known->version} : std::nullopt;
}
} // namespace

void row_encoder::add_rows(const table_cache& from, const relay_poll& poll, instant now, relay_response& to)
{
	const auto large_rows = from.large_rows(poll.after);
	const bool packs_changes = !poll.known_rows && !large_rows.empty();
	if (!poll.after || packs_changes)
	{
		add_packed_rows(from, poll, now, to);
	}
	else
	{
		to.result = from.read(poll.after, now, max_value_bytes_for(poll));
	}
	if (!to.result || !poll.known_rows)
	{
		return;
	}
	for (const auto* large : large_rows)
	{
		to.compressed_rows.push_back(compress(from, *large, base_for(from, poll, *large)));
	}
}

void row_encoder::add_packed_rows(
	const table_cache& from, const relay_poll& poll, instant now, relay_response& to)
{
	to.result = from.read_metadata(now);
	if (!to.result)
	{
		return;
	}
	const auto max_value_bytes = max_value_bytes_for(poll);
	auto& batches = packed_batches_[poll.table];
	std::erase_if(batches, [&](const packed_batch& batch)
		{ return batch.newest != to.result->newest || batch.era != to.result->era; });
	const auto found = std::find_if(batches.begin(), batches.end(),
		[&](const packed_batch& batch)
		{ return batch.after == poll.after && batch.max_value_bytes == max_value_bytes; });
	if (found != batches.end())
	{
		to.packed = found->bytes;
		return;
	}
	const auto rows = from.read(poll.after, now, max_value_bytes);
	if (!rows)
	{
		to.result = tl::make_unexpected(rows.error());
		return;
	}
	to.packed = std::make_shared<const std::string>(pack_rows(rows->rows));
	keep(batches, {to.result->era, poll.after, to.result->newest, max_value_bytes, to.packed});
}

compressed_row row_encoder::compress(
	const table_cache& from, const row& large, std::optional<row_version> base)
{
	if (base == large.version)
	{
		return {large.key, large.version, base, std::make_shared<const std::string>()};
	}
	auto& values = compressed_values_[{from.table(), large.key}];
	std::erase_if(values, [&](const compressed_value& value)
		{ return value.version != large.version || value.era != from.era(); });
	const auto found = std::find_if(
		values.begin(), values.end(), [&](const compressed_value& value) { return value.base == base; });
	if (found != values.end())
	{
		return {large.key, large.version, base, found->bytes};
	}
	const auto* base_value = base ? from.find_value(large.key, *base) : nullptr;
	const auto bytes = std::make_shared<const std::string>(compress_value(
		large.value, base_value == nullptr ? std::string_view{} : std::string_view{*base_value}));
	keep(values, {from.era(), large.version, base, bytes});
	return {large.key, large.version, base, bytes};
}
} // namespace gingerdyke::control
