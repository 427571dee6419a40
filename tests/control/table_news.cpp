// SPDX-License-Identifier: MIT
// Who reads a table from the registry and who reads it from another VM's copy believe the same of each row.
#include "../support/control_world.hpp"
#include "../support/drawn.hpp"

using namespace gingerdyke;
using namespace gingerdyke::test;

namespace
{
using believed = std::map<std::string, std::string>;

/// Takes rows one after the other, as those do that follow a table.
void take(believed& into, const std::vector<row>& rows)
{
	for (const auto& one : rows)
	{
		if (one.removed)
		{
			into.erase(one.key);
			continue;
		}
		into[one.key] = one.value;
	}
}

/// One VM that follows a table.
struct follower
{
	table_cache cache{"t"};
	believed rows;
	row_version next;

	void take_changes(const std::vector<row>& changes, row_version newest)
	{
		take(rows, cache.apply(changes, newest));
		next = std::max(next, newest);
		cache.confirm(start, registry_time{1}, start);
	}

	void take_whole(const std::vector<row>& whole, row_version newest)
	{
		cache.replace(whole, newest);
		rows.clear();
		take(rows, whole);
		next = std::max(next, newest);
		cache.confirm(start, registry_time{1}, start);
	}
};

/// The registry: all changes in their order, some rows of which come and go, and come again.
struct table_history
{
	std::vector<row> changes;

	void change(int key, int value)
	{
		const bool goes = value == 0;
		const auto version = static_cast<std::int64_t>(changes.size()) + 1;
		const auto name = "k" + std::to_string(key);
		changes.push_back(make_row(
			name.c_str(), version, std::to_string(value + 10 * static_cast<int>(version)).c_str(), goes));
	}

	[[nodiscard]] row_version newest() const
	{
		return row_version{static_cast<std::int64_t>(changes.size())};
	}

	[[nodiscard]] std::vector<row> after(row_version from) const
	{
		return {changes.begin() + static_cast<std::ptrdiff_t>(from.value()), changes.end()};
	}

	[[nodiscard]] std::vector<row> whole() const
	{
		std::map<std::string, row> now;
		for (const auto& one : changes)
		{
			now[one.key] = one;
		}
		std::vector<row> all;
		for (const auto& [key, one] : now)
		{
			if (!one.removed)
			{
				all.push_back(one);
			}
		}
		return all;
	}
};
} // namespace

TEST_CASE("readers of the registry and those who read from them believe the same", "[cache]")
{
	constexpr int cases = 300;
	check_drawn_cases(40, cases,
		[]
		{
			table_history registry;
			follower reader;
			follower peer;
			const auto steps = *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 40));
			for (const auto step : steps)
			{
				// Mostly changes, so that several of a row come in one answer.
				constexpr int changes = 32;
				if (step < changes)
				{
					registry.change(step % 4, step / 4 % 3);
				}
				else if (step < changes + 4)
				{
					// Part of what is new, again and again: an answer may repeat what is known.
					const auto from = row_version{std::max<std::int64_t>(0, reader.next.value() - step % 3)};
					reader.take_changes(registry.after(from), registry.newest());
				}
				else if (step < changes + 6)
				{
					reader.take_whole(registry.whole(), registry.newest());
				}
				else if (const auto batch = reader.cache.read(peer.next, start))
				{
					peer.take_changes(batch->rows, batch->newest);
				}
			}
			reader.take_changes(registry.after(reader.next), registry.newest());
			const auto batch = reader.cache.read(peer.next, start);
			RC_ASSERT(batch.has_value() || peer.next < reader.next);
			if (batch)
			{
				peer.take_changes(batch->rows, batch->newest);
				RC_ASSERT(peer.rows == reader.rows);
			}
			believed expected;
			take(expected, registry.changes);
			RC_ASSERT(reader.rows == expected);
		});
}

TEST_CASE("of several changes of a row in one answer the last one counts", "[cache]")
{
	table_cache cache{"t"};
	const auto news =
		cache.apply({make_row("a", 1), make_row("b", 2), make_row("a", 3, "", true)}, row_version{3});
	REQUIRE(news.size() == 2);
	CHECK(news[0].key == "b");
	CHECK(news[1].key == "a");
	CHECK(news[1].removed);
}

TEST_CASE("a change that is older than what is known of its row is no news", "[cache]")
{
	table_cache cache{"t"};
	cache.replace({make_row("a", 7, "new")}, row_version{5});
	CHECK(cache.apply({make_row("a", 6, "old")}, row_version{6}).empty());
	CHECK(cache.apply({make_row("a", 8, "newer")}, row_version{8}).size() == 1);
}
