// SPDX-License-Identifier: MIT
// Compression of full tables.
#include "../support/control_world.hpp"
#include <gingerdyke/control/relay_codec.hpp>
#include <gingerdyke/control/row_packing.hpp>

using namespace gingerdyke;
using namespace gingerdyke::test;

namespace
{
/// Replica entries in the format that replicas write.
std::vector<row> replicas(unsigned count)
{
	std::vector<row> rows;
	for (unsigned i = 0; i < count; ++i)
	{
		const auto scrambled = std::to_string(i * 2654435761U);
		rows.push_back({"t", "i-" + scrambled,
			R"({"service":"pool","address":"10.)" + std::to_string(i % 5) + ".64." + scrambled.substr(0, 2) +
				R"(:8326","zone":"hall-)" + std::to_string(i % 5) +
				R"(","version":"v1","slots":12,"state":"ready","cold_remaining_ms":0,"sequence":)" +
				scrambled.substr(0, 3) + "}",
			row_version{1000 + i}, i % 97 == 0});
	}
	return rows;
}
} // namespace

TEST_CASE("packed rows round-trip and take less than a sixth of the bytes", "[packing]")
{
	const auto rows = replicas(3000);
	std::size_t bytes = 0;
	for (const auto& table_row : rows)
	{
		bytes += table_row.key.size() + table_row.value.size();
	}
	const auto packed = pack_rows(rows);
	CHECK(packed.size() * 6 < bytes);
	const auto unpacked = unpack_rows(packed);
	REQUIRE(unpacked);
	REQUIRE(unpacked->size() == rows.size());
	for (std::size_t i = 0; i < rows.size(); ++i)
	{
		REQUIRE((*unpacked)[i].key == rows[i].key);
		REQUIRE((*unpacked)[i].value == rows[i].value);
		REQUIRE((*unpacked)[i].version == rows[i].version);
		REQUIRE((*unpacked)[i].removed == rows[i].removed);
	}
	CHECK(unpack_rows(pack_rows({}))->empty());
}

TEST_CASE("malformed packed rows are rejected", "[packing]")
{
	CHECK_FALSE(unpack_rows(""));
	CHECK_FALSE(unpack_rows("not packed"));
	auto truncated = pack_rows(replicas(100));
	truncated.resize(truncated.size() / 2);
	CHECK_FALSE(unpack_rows(truncated));
	auto corrupted = pack_rows(replicas(100));
	corrupted[corrupted.size() / 2] = static_cast<char>(corrupted[corrupted.size() / 2] ^ 0x55);
	const auto unpacked = unpack_rows(corrupted);
	CHECK((!unpacked || unpacked->size() <= 100));
}

TEST_CASE("another VM sends a full table packed and changes unpacked", "[packing][relay]")
{
	relay_pair pair;
	pair.client->call({0, "t", std::nullopt, milliseconds{200}, {}, {}}, seconds{20},
		[&](store_result<row_batch> result) { pair.got = std::move(result); });
	pair.await_answer();
	CHECK(keys_of(*pair.got) == std::vector<std::string>{"a"});
	CHECK((*pair.got)->newest == row_version{3});
	pair.cache.apply({make_row("b", 5)}, row_version{5});
	pair.poll(row_version{3}, milliseconds{200});
	pair.await_answer();
	CHECK(keys_of(*pair.got) == std::vector<std::string>{"b"});
	pair.got.reset();
	pair.client->call({0, "t", std::nullopt, milliseconds{200}, {}, {}}, seconds{20},
		[&](store_result<row_batch> result) { pair.got = std::move(result); });
	pair.await_answer();
	CHECK(keys_of(*pair.got).size() == 2);
}
