// SPDX-License-Identifier: MIT
// Copies of tables, VMs that answer from them, and a registry that waits: for tests of control.
#pragma once

#include "event_loop.hpp"
#include <gingerdyke/control/relay_client.hpp>
#include <gingerdyke/control/relay_server.hpp>
#include <gingerdyke/control/shared_store.hpp>
#include <gingerdyke/control/table_cache.hpp>

namespace gingerdyke::test
{
using namespace control;
using std::chrono::milliseconds;
using std::chrono::seconds;

inline row make_row(const char* key, std::int64_t version, const char* value = "x", bool removed = false)
{
	return {"t", key, removed ? "" : value, row_version{version}, removed};
}

inline std::vector<std::string> keys_of(const store_result<row_batch>& batch)
{
	REQUIRE(batch);
	std::vector<std::string> keys;
	for (const auto& one : batch->rows)
	{
		keys.push_back((one.removed ? "-" : "") + one.key);
	}
	return keys;
}

inline peer make_peer(const char* name, const char* domain = "a", std::uint16_t port = 1)
{
	return {vm_id{name}, failure_domain_id{domain}, {"127.0.0.1", port}, 0};
}

/// For callers without a copy of the table.
inline const std::string* no_values(const std::string&, const known_row&)
{
	return nullptr;
}

/// A server of one copy that has nothing to do with reports.
inline relay_server_hooks serving(const table_cache& cache)
{
	relay_server_hooks hooks;
	hooks.find_table = [&cache](const std::string& table)
	{ return table == cache.table() ? &cache : nullptr; };
	hooks.reads_registry = [](const std::string&) { return true; };
	hooks.report_received = [](const std::string&, const peer_report&) {};
	hooks.make_summary = [](const std::string&, const std::string&) { return peer_summary{}; };
	return hooks;
}

/// A port that is free: the kernel's own choice, found by binding once.
inline std::uint16_t free_port(proxy::asio::io_context& context)
{
	proxy::tcp::acceptor probe{context, {proxy::asio::ip::address_v4::loopback(), 0}};
	return probe.local_endpoint().port();
}

/// A copy of a table "t" with one row, at version 3.
inline table_cache copy_of_one_row(duration age = {})
{
	table_cache cache{"t"};
	cache.replace({make_row("a", 3)}, row_version{3});
	cache.confirm(proxy::steady_now() - age, registry_time{1}, proxy::steady_now());
	return cache;
}

/// A VM that answers from its copy, and another one that polls it.
struct relay_pair
{
	explicit relay_pair(duration copy_age = {}) : cache(copy_of_one_row(copy_age))
	{
		REQUIRE_FALSE(server.listen({"127.0.0.1", port}));
	}

	~relay_pair()
	{
		server.stop();
		client->abandon();
	}

	/// Asks for the changes of the table "t" after a version; the answer comes to `got`.
	void poll(row_version after, duration wait, std::optional<duration> oldest = {})
	{
		got.reset();
		client->call({0, "t", after, wait, oldest, {}}, 2 * wait,
			[this](store_result<row_batch> result) { got = std::move(result); });
	}

	void await_answer()
	{
		run_until(context, [this] { return got.has_value(); });
	}

	proxy::asio::io_context context{1};
	table_cache cache;
	relay_server server{context, serving(cache)};
	std::uint16_t port = free_port(context);
	std::shared_ptr<relay_client> client = std::make_shared<relay_client>(
		context, make_peer("other", "a", port), [](const peer_summary&) {}, no_values);
	std::optional<store_result<row_batch>> got;
};

/// A registry whose calls wait until the test answers them.
struct scripted_store : row_store
{
	using done_hook = std::function<void(store_result<row_batch>)>;

	void read_all(const std::string&, done_hook done) override { whole_reads.push_back(std::move(done)); }
	void follow(const std::string& table, row_version, duration wait, done_hook done) override
	{
		follows.push_back({table, wait, std::move(done)});
	}
	void abandon() override { ++abandoned; }
	void change(const row_change&, std::function<void(store_result<change_result>)>) override {}

	/// Answers the oldest call for a whole table.
	void answer_whole(row_version newest, std::optional<registry_era> era = {})
	{
		const auto done = std::move(whole_reads.front());
		whole_reads.erase(whole_reads.begin());
		row_batch batch;
		batch.newest = newest;
		batch.era = era;
		done(batch);
	}

	struct follow_call
	{
		std::string table;
		duration wait{};
		done_hook done;
	};

	std::vector<done_hook> whole_reads;
	std::vector<follow_call> follows;
	int abandoned = 0;
};

/// Nothing is reported, and nobody listens.
inline shared_store_hooks quiet_hooks()
{
	shared_store_hooks hooks;
	hooks.report = [](const std::string&, bool) { return std::nullopt; };
	hooks.find_copy = [](const std::string&) { return nullptr; };
	hooks.summary_received = [](const peer_summary&) {};
	hooks.reader_role_changed = [](bool) {};
	hooks.copy_confirmed = [](const std::string&, instant) {};
	return hooks;
}

inline const instant start{seconds{100}};
} // namespace gingerdyke::test
