// SPDX-License-Identifier: MIT
// Consistency of tables: a VM that reads the registry and one that reads that VM's copy end up with the same
// rows.
#include "../support/control_world.hpp"
#include "../support/drawn.hpp"

using namespace gingerdyke;
using namespace gingerdyke::test;

namespace
{
using row_values = std::map<std::string, std::string>;

/// Applies rows in order, as the consumers of a followed table do.
void apply_rows(row_values& into, const std::vector<row>& rows)
{
	for (const auto& table_row : rows)
	{
		if (table_row.removed)
		{
			into.erase(table_row.key);
			continue;
		}
		into[table_row.key] = table_row.value;
	}
}

/// A VM that follows a table.
struct follower
{
	table_cache cache{"t"};
	row_values rows;
	row_version resume_version;

	void apply_changes(const std::vector<row>& changes, row_version newest)
	{
		apply_rows(rows, cache.apply(changes, newest));
		resume_version = std::max(resume_version, newest);
		cache.confirm(start, registry_time{1}, start);
	}

	void apply_full_table(const std::vector<row>& full_table, row_version newest)
	{
		cache.replace(full_table, newest);
		rows.clear();
		apply_rows(rows, full_table);
		resume_version = std::max(resume_version, newest);
		cache.confirm(start, registry_time{1}, start);
	}
};

/// The registry: all changes of a table in order. Rows are added, removed and added again.
struct table_history
{
	std::vector<row> changes;

	void change(int key, int value)
	{
		const bool is_removed = value == 0;
		const auto version = static_cast<std::int64_t>(changes.size()) + 1;
		const auto name = "k" + std::to_string(key);
		changes.push_back(make_row(name.c_str(), version,
			std::to_string(value + 10 * static_cast<int>(version)).c_str(), is_removed));
	}

	[[nodiscard]] row_version newest() const
	{
		return row_version{static_cast<std::int64_t>(changes.size())};
	}

	[[nodiscard]] std::vector<row> after(row_version from) const
	{
		return {changes.begin() + static_cast<std::ptrdiff_t>(from.value()), changes.end()};
	}

	[[nodiscard]] std::vector<row> full_table() const
	{
		std::map<std::string, row> now;
		for (const auto& change : changes)
		{
			now[change.key] = change;
		}
		std::vector<row> all;
		for (const auto& [key, latest] : now)
		{
			if (!latest.removed)
			{
				all.push_back(latest);
			}
		}
		return all;
	}
};
} // namespace

TEST_CASE("VMs that read the registry and VMs that read their copies converge to the same rows", "[cache]")
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
				// Most steps are changes, so that one response often holds several changes of a row.
				constexpr int changes = 32;
				if (step < changes)
				{
					registry.change(step % 4, step / 4 % 3);
				}
				else if (step < changes + 4)
				{
					// Repeats part of the history: a response may contain changes that are already known.
					const auto from =
						row_version{std::max<std::int64_t>(0, reader.resume_version.value() - step % 3)};
					reader.apply_changes(registry.after(from), registry.newest());
				}
				else if (step < changes + 6)
				{
					reader.apply_full_table(registry.full_table(), registry.newest());
				}
				else if (const auto batch = reader.cache.read(peer.resume_version, start))
				{
					peer.apply_changes(batch->rows, batch->newest);
				}
			}
			reader.apply_changes(registry.after(reader.resume_version), registry.newest());
			const auto batch = reader.cache.read(peer.resume_version, start);
			RC_ASSERT(batch.has_value() || peer.resume_version < reader.resume_version);
			if (batch)
			{
				peer.apply_changes(batch->rows, batch->newest);
				RC_ASSERT(peer.rows == reader.rows);
			}
			row_values expected;
			apply_rows(expected, registry.changes);
			RC_ASSERT(reader.rows == expected);
		});
}

TEST_CASE("only the last of several changes of a row in one response is applied", "[cache]")
{
	table_cache cache{"t"};
	const auto changed_rows =
		cache.apply({make_row("a", 1), make_row("b", 2), make_row("a", 3, "", true)}, row_version{3});
	REQUIRE(changed_rows.size() == 2);
	CHECK(changed_rows[0].key == "b");
	CHECK(changed_rows[1].key == "a");
	CHECK(changed_rows[1].removed);
}

TEST_CASE("a change older than the known row is ignored", "[cache]")
{
	table_cache cache{"t"};
	cache.replace({make_row("a", 7, "new")}, row_version{5});
	CHECK(cache.apply({make_row("a", 6, "old")}, row_version{6}).empty());
	CHECK(cache.apply({make_row("a", 8, "newer")}, row_version{8}).size() == 1);
}
