// SPDX-License-Identifier: MIT
// Registry rows of requests during which replicas exited.
#include "../support/control_world.hpp"
#include <gingerdyke/control/suspect_rows.hpp>

using namespace gingerdyke;
using namespace gingerdyke::test;
using quarantine::content_key;
using quarantine::process_instance;
using quarantine::suspicion;

namespace
{
/// A registry that records writes; the test answers them.
struct recording_registry : scripted_store
{
	void change(const row_change& transaction, std::function<void(store_result<change_result>)> done) override
	{
		changes.push_back(transaction);
		pending_changes.push_back(std::move(done));
	}

	void answer(store_result<change_result> result)
	{
		const auto done = std::move(pending_changes.front());
		pending_changes.erase(pending_changes.begin());
		done(std::move(result));
	}

	std::vector<row_change> changes;
	std::vector<std::function<void(store_result<change_result>)>> pending_changes;
};

/// A VM's list of suspects and its rows.
struct stored_suspects
{
	stored_suspects() { rows.record_registry_time(registry_time{seconds{500}}, proxy::steady_now()); }

	/// Records that a process exited while it was running a request.
	void record_exit(int process, const char* key)
	{
		const auto now = proxy::steady_now();
		list.presume(process_instance{process}, {content_key{key}}, now);
		list.confirm(process_instance{process}, {}, now);
		rows.schedule_store();
	}

	[[nodiscard]] row stored_row() const
	{
		const auto& put = store.changes.back().puts.front();
		return {put.table, put.key, put.value, row_version{9}, false};
	}

	proxy::asio::io_context context{1};
	recording_registry store;
	quarantine::suspect_list list{[](const suspicion&, double) {}};
	suspect_rows rows{
		context, store, list, "own", {.batch_delay = milliseconds{1}, .retry_delay = milliseconds{1}}};
};
} // namespace

TEST_CASE("a suspicion round-trips through its row and malformed rows are rejected", "[quarantine]")
{
	stored_suspicion content{
		{content_key{"k"},
			{{process_instance{-3}, {}}, {process_instance{4}, {process_instance{5}, process_instance{-6}}}},
			{process_instance{1}}},
		registry_time{77}};
	const row written{"own", "suspect/k", write_suspicion(content), row_version{1}, false};
	const auto read = read_suspicion(written);
	REQUIRE(read);
	CHECK(read->evidence == content.evidence);
	CHECK(read->last_exit_at == content.last_exit_at);
	for (const auto* broken : {"", "[]", "{}", R"({"ended":["x"],"survived":[],"last_end_us":1})",
			 R"({"ended":[{"life":1,"together":["x"]}],"survived":[],"last_end_us":1})"})
	{
		CHECK_FALSE(read_suspicion({"own", "suspect/k", broken, row_version{1}, false}));
	}
}

TEST_CASE("rows hold the times of a part's evidence on the registry's clock", "[quarantine]")
{
	const duration ahead = seconds{500};
	stored_suspicion content{
		{quarantine::key_of_part(service_id{"s"}, "p"), {{process_instance{4}, {}}}, {process_instance{1}}},
		registry_time{77}};
	content.evidence.exit_times[process_instance{4}] = instant{seconds{20}};
	content.evidence.completion_times[process_instance{1}] = instant{seconds{10}};
	const auto key = "suspect/" + content.evidence.key.str();
	const auto value = write_suspicion(content, ahead);
	const auto read = read_suspicion({"own", key, value, row_version{1}, false}, ahead + seconds{1});
	REQUIRE(read);
	CHECK(read->evidence.exit_time(process_instance{4}) == instant{seconds{19}});
	CHECK(read->evidence.completion_time(process_instance{1}) == instant{seconds{9}});
}

TEST_CASE("rows and reports of a part's evidence without times are read", "[quarantine]")
{
	const auto key = "suspect/" + quarantine::key_of_part(service_id{"s"}, "p").str();
	const auto read = read_suspicion({"own", key,
		R"({"ended":[{"life":1,"together":[]}],"survived":[2],"last_end_us":1})", row_version{1}, false});
	REQUIRE(read);
	CHECK(read->evidence.exit_times.empty());
	quarantine::suspect_list list{[](const suspicion&, double) {}};
	const auto now = proxy::steady_now();
	list.merge(read->evidence, now, now);
	const auto merged = list.recent_changes(1, now);
	REQUIRE(merged.size() == 1);
	CHECK(merged.front().exit_time(process_instance{1}) == now);
	CHECK(merged.front().completion_time(process_instance{2}) == now);
}

TEST_CASE("two exits seen by one VM are stored once, and a failed write is retried", "[quarantine]")
{
	stored_suspects vm;
	vm.record_exit(1, "k");
	CHECK(vm.list.unstored(false, proxy::steady_now()).empty());
	vm.record_exit(2, "k");
	run_until(vm.context, [&] { return vm.store.changes.size() == 1; });
	CHECK(vm.store.changes.front().puts.front().key == "suspect/k");
	vm.store.answer(tl::make_unexpected(store_error::unavailable));
	run_until(vm.context, [&] { return vm.store.changes.size() == 2; });
	vm.store.answer(change_result{true, {}});
	CHECK(vm.list.unstored(false, proxy::steady_now()).empty());
	vm.rows.schedule_store();
	vm.context.restart();
	vm.context.run_for(milliseconds{20});
	CHECK(vm.store.changes.size() == 2);
}

TEST_CASE("changes made during a write are stored by the next write", "[quarantine]")
{
	stored_suspects vm;
	vm.record_exit(1, "k");
	vm.record_exit(2, "k");
	run_until(vm.context, [&] { return vm.store.changes.size() == 1; });
	vm.record_exit(3, "k");
	vm.store.answer(change_result{true, {}});
	run_until(vm.context, [&] { return vm.store.changes.size() == 2; });
	CHECK(read_suspicion(vm.stored_row())->evidence.ended.size() == 3);
}

// Guards against overwriting concurrent writes. Two VMs wrote the row of one request at the same time, the
// later write contained fewer exits, and both VMs took the row for complete. After a restart of all VMs 4 s
// later the row contained two of three exits, and four more replicas exited.
TEST_CASE("exits stored concurrently by another VM are not overwritten", "[quarantine]")
{
	stored_suspects vm;
	vm.record_exit(1, "k");
	vm.record_exit(2, "k");
	run_until(vm.context, [&] { return vm.store.changes.size() == 1; });
	const auto& first = vm.store.changes.front();
	REQUIRE(first.conditions.size() == 1);
	CHECK(first.conditions.front().key == "suspect/k");
	CHECK(first.conditions.front().version == row_version{0});
	stored_suspects other;
	for (const int process : {2, 7, 8})
	{
		other.record_exit(process, "k");
	}
	run_until(other.context, [&] { return other.store.changes.size() == 1; });
	vm.store.answer(change_result{false, {other.stored_row()}});
	run_until(vm.context, [&] { return vm.store.changes.size() == 2; });
	REQUIRE(vm.store.changes.back().conditions.size() == 1);
	CHECK(vm.store.changes.back().conditions.front().version == other.stored_row().version);
	CHECK(read_suspicion(vm.stored_row())->evidence.ended.size() == 4);
}

// The registry rejects transactions of more than 100 entries, conditions included, as a whole.
TEST_CASE("many rows are written and removed in transactions within the registry's limit", "[quarantine]")
{
	constexpr std::size_t max_entries = 100;
	const auto entries = [](const row_change& change)
	{ return change.conditions.size() + change.puts.size() + change.removals.size(); };
	stored_suspects vm;
	std::vector<content_key> many;
	for (int i = 0; i < 150; ++i)
	{
		many.emplace_back("k" + std::to_string(i));
		const stored_suspicion old{{content_key{"old" + std::to_string(i)}, {{process_instance{1}, {}}}, {}},
			registry_time{seconds{500} - std::chrono::minutes{11}}};
		vm.rows.on_row(
			{"own", "suspect/" + old.evidence.key.str(), write_suspicion(old), row_version{1}, false},
			proxy::steady_now());
	}
	for (const int process : {1, 2})
	{
		vm.list.presume(process_instance{process}, many, proxy::steady_now());
		vm.list.confirm(process_instance{process}, {}, proxy::steady_now());
	}
	vm.rows.schedule_store();
	for (std::size_t written = 0; written < many.size(); written += vm.store.changes.front().puts.size())
	{
		const auto before = vm.store.changes.size();
		run_until(vm.context, [&] { return vm.store.changes.size() >= before + 2; });
		REQUIRE(vm.store.pending_changes.size() == 2);
		for (int i = 0; i < 2; ++i)
		{
			vm.store.answer(change_result{true, {}});
		}
	}
	for (const auto& change : vm.store.changes)
	{
		CHECK(entries(change) <= max_entries);
	}
	CHECK(vm.list.unstored(false, proxy::steady_now()).empty());
}

TEST_CASE("a row that an operator removes during a write is not created again", "[quarantine]")
{
	stored_suspects vm;
	vm.record_exit(1, "k");
	vm.record_exit(2, "k");
	run_until(vm.context, [&] { return vm.store.changes.size() == 1; });
	vm.store.answer(change_result{true, {}});
	vm.rows.on_row(vm.stored_row(), proxy::steady_now());
	vm.record_exit(3, "k");
	run_until(vm.context, [&] { return vm.store.changes.size() == 2; });
	vm.store.answer(change_result{false, {}});
	CHECK_FALSE(vm.list.is_quarantined({content_key{"k"}, {}}, proxy::steady_now()));
	vm.context.restart();
	vm.context.run_for(milliseconds{20});
	CHECK(vm.store.changes.size() == 2);
}

TEST_CASE("a starting VM quarantines requests with stored suspicions until an operator removes the row",
	"[quarantine]")
{
	stored_suspects vm;
	for (const int process : {1, 2, 3})
	{
		vm.record_exit(process, "k");
	}
	run_until(vm.context, [&] { return !vm.store.changes.empty(); });
	stored_suspects other;
	auto stored = vm.stored_row();
	other.rows.on_row(stored, proxy::steady_now());
	CHECK(other.list.is_quarantined({content_key{"k"}, {}}, proxy::steady_now()));
	CHECK(other.list.unstored(true, proxy::steady_now()).empty());
	stored.removed = true;
	other.rows.on_row(stored, proxy::steady_now());
	CHECK_FALSE(other.list.last_exit(content_key{"k"}));
}

TEST_CASE("rows received before the registry's clock is known are applied later with their true age",
	"[quarantine]")
{
	proxy::asio::io_context context{1};
	recording_registry store;
	quarantine::suspect_list list{[](const suspicion&, double) {}};
	suspect_rows rows{context, store, list, "own"};
	const auto row_of = [](const char* key, duration age)
	{
		const stored_suspicion content{
			{content_key{key},
				{{process_instance{1}, {}}, {process_instance{2}, {}}, {process_instance{3}, {}}}, {}},
			registry_time{seconds{5000}} - age};
		return row{
			"own", std::string{suspect_key_prefix} + key, write_suspicion(content), row_version{1}, false};
	};
	rows.on_row(row_of("new", seconds{10}), proxy::steady_now());
	rows.on_row(row_of("old", std::chrono::minutes{11}), proxy::steady_now());
	const auto now = proxy::steady_now();
	rows.record_registry_time(registry_time{seconds{5000}}, now);
	CHECK(list.is_quarantined({content_key{"new"}, {}}, now));
	CHECK_FALSE(list.last_exit(content_key{"old"}));
}

TEST_CASE("an expired row quarantines no request and is removed with the next write", "[quarantine]")
{
	stored_suspects vm;
	const stored_suspicion old{
		{content_key{"old"},
			{{process_instance{1}, {}}, {process_instance{2}, {}}, {process_instance{3}, {}}}, {}},
		registry_time{seconds{500} - std::chrono::minutes{11}}};
	vm.rows.on_row({"own", "suspect/old", write_suspicion(old), row_version{1}, false}, proxy::steady_now());
	CHECK_FALSE(vm.list.last_exit(content_key{"old"}));
	vm.record_exit(1, "k");
	vm.record_exit(2, "k");
	run_until(vm.context, [&] { return vm.store.changes.size() == 2; });
	REQUIRE(vm.store.changes.back().removals.size() == 1);
	CHECK(vm.store.changes.back().removals.front().key == "suspect/old");
}
