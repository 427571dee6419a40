// SPDX-License-Identifier: MIT
// Reports and summaries exchanged between VMs.
#include "../support/control_world.hpp"
#include <gingerdyke/control/report_board.hpp>

using namespace gingerdyke;
using namespace gingerdyke::test;

namespace
{
quarantine::suspicion make_suspicion(const char* key)
{
	using quarantine::process_instance;
	return {quarantine::content_key{key},
		{{process_instance{-1}, {}}, {process_instance{5}, {process_instance{6}, process_instance{-7}}}},
		{process_instance{9}}};
}

const routing::replica_pace pace{replica_id{"r3"}, routing::replica_incarnation{8}, -0.25, 2.5};
const routing::replica_silence silence{replica_id{"r4"}, routing::replica_incarnation{9}, 3, 1};

limits::service_load make_load()
{
	limits::service_load load;
	load.service = service_id{"s"};
	load.arrivals_per_s[0] = 1.5;
	load.arrivals_per_s[3] = 0.25;
	load.responses_per_s = 1.25;
	load.in_time_per_s = 0.5;
	load.rejections_per_s = 0.75;
	load.mean_response = milliseconds{90};
	load.vms = 4;
	return load;
}

routing::limit_update make_limit(const char* replica, std::optional<double> requests_per_s, duration age)
{
	return {replica_id{replica}, routing::replica_incarnation{4}, requests_per_s, age};
}
} // namespace

TEST_CASE("work of other VMs is summed without the receiver's own and expires", "[reports]")
{
	report_board board;
	board.set_work("a", {{replica_id{"r1"}, 100}, {replica_id{"r2"}, 10}}, start);
	board.set_work("b", {{replica_id{"r1"}, 50}}, start);
	board.set_work("a", {{replica_id{"r1"}, 70}}, start + milliseconds{200});
	const auto for_c = board.work_excluding("c", start + milliseconds{300});
	REQUIRE(for_c.size() == 1);
	CHECK(for_c.front().tokens == 120);
	CHECK(board.work_excluding("a", start + milliseconds{300}).front().tokens == 50);
	CHECK(board.work_excluding("b", start + milliseconds{1600}).front().tokens == 70);
	CHECK(board.work_excluding("c", start + seconds{5}).empty());
}

TEST_CASE("rate limits of other VMs are returned with their age, without the receiver's own, and expire",
	"[reports]")
{
	report_board board;
	board.set_limits("a", {make_limit("r1", 1.5, milliseconds{40})}, start);
	board.set_limits("b", {make_limit("r2", std::nullopt, milliseconds{5})}, start);
	const auto for_b = board.limits_excluding("b", start + milliseconds{300});
	REQUIRE(for_b.size() == 1);
	CHECK(for_b.front().replica == replica_id{"r1"});
	CHECK(for_b.front().age == milliseconds{340});
	CHECK(board.limits_excluding("c", start + milliseconds{300}).size() == 2);
	board.set_limits("a", {}, start + milliseconds{300});
	CHECK(board.limits_excluding("b", start + milliseconds{300}).empty());
	CHECK(board.limits_excluding("c", start + seconds{2}).empty());
}

TEST_CASE("a poll carries a report and its response a summary", "[reports]")
{
	proxy::asio::io_context context{1};
	auto cache = copy_of_one_row();
	std::optional<peer_report> reported;
	auto hooks = serving(cache);
	hooks.report_received = [&](const std::string&, const peer_report& report) { reported = report; };
	hooks.make_summary = [](const std::string&, const std::string& reporter)
	{
		peer_summary made{{{replica_id{"for " + reporter}, 7}}, {{service_id{"s"}, row_version{12}}},
			{make_suspicion("held")}, {make_limit("r1", std::nullopt, milliseconds{7})}};
		made.paths = {path_digest{9}, {{service_id{"s"}, failure_domain_id{"a"}, {vm_id{"b"}, vm_id{"c"}}},
										  {service_id{"t"}, {}, {vm_id{"d"}}}}};
		made.paces = {pace};
		made.silences = {silence};
		made.loads = {make_load()};
		return made;
	};
	relay_server server{context, hooks};
	const auto port = free_port(context);
	REQUIRE_FALSE(server.listen({"127.0.0.1", port}));
	std::optional<peer_summary> summary;
	const auto client = std::make_shared<relay_client>(
		context, make_peer("other", "a", port),
		[&](const peer_summary& received_summary) { summary = received_summary; }, no_values);
	rollout::shift_evidence new_evidence{service_id{"s"}, row_version{12}, {}};
	new_evidence.seen.by_route["r"].pre_trial = {70, 2};
	new_evidence.seen.by_route["r"].old_version[30] = {50, 1};
	new_evidence.seen.by_route["r"].new_version[3] = {9, 2};
	new_evidence.seen.first_byte_by_model["m"].pre_trial.record(1);
	new_evidence.seen.first_byte_by_model["m"].old_version[31].record(2);
	new_evidence.seen.first_byte_by_model["m"].new_version[0].record(8);
	new_evidence.seen.event_intervals_by_model["m"].baseline.record(0.8);
	new_evidence.seen.event_intervals_by_model["m"].new_version[5].record(3);
	new_evidence.seen.peak_load_phase.new_version[1] = {4, 1};
	const rollout::shift_suspension suspension{service_id{"s"}, row_version{12}};
	peer_report report{"me", {{replica_id{"r1"}, 40, 2}}, {new_evidence}, {suspension},
		{make_suspicion("seen")}, {make_limit("r2", 1.5, milliseconds{20})}};
	report.paces = {pace};
	report.silences = {silence};
	report.loads = {make_load()};
	report.paths = {vm_id{"me"}, {service_id{"s"}, service_id{"t"}}, path_digest{1} << 63U};
	client->call({0, "t", row_version{3}, milliseconds{1}, {}, report}, seconds{20},
		[](const store_result<row_batch>&) {});
	test::run_until(context, [&] { return summary.has_value(); });
	CHECK(summary->work.front().replica.str() == "for me");
	CHECK(summary->suspended.front().order.value() == 12);
	CHECK(summary->suspects == std::vector{make_suspicion("held")});
	REQUIRE(summary->limits.size() == 1);
	CHECK_FALSE(summary->limits.front().requests_per_s);
	CHECK(summary->paths.digest == 9);
	REQUIRE(summary->paths.unreachable.size() == 2);
	CHECK(summary->paths.unreachable.front().domain == failure_domain_id{"a"});
	CHECK(summary->paths.unreachable.front().vms == std::vector{vm_id{"b"}, vm_id{"c"}});
	CHECK_FALSE(summary->paths.unreachable.back().domain);
	CHECK(summary->paces == std::vector{pace});
	CHECK(summary->silences == std::vector{silence});
	CHECK(summary->loads == std::vector{make_load()});
	REQUIRE(reported);
	CHECK(reported->paces == std::vector{pace});
	CHECK(reported->silences == std::vector{silence});
	CHECK(reported->loads == std::vector{make_load()});
	CHECK(reported->work.front().requests == 2);
	CHECK(reported->paths.vm == vm_id{"me"});
	CHECK(reported->paths.unreachable == report.paths.unreachable);
	CHECK(reported->paths.known == report.paths.known);
	CHECK(reported->work.front().tokens == 40);
	REQUIRE(reported->evidence.size() == 1);
	CHECK(reported->evidence.front().seen == new_evidence.seen);
	REQUIRE(reported->suspended.size() == 1);
	CHECK(reported->suspended.front().order.value() == 12);
	CHECK(reported->suspects == std::vector{make_suspicion("seen")});
	REQUIRE(reported->limits.size() == 1);
	CHECK(reported->limits.front().replica == replica_id{"r2"});
	CHECK(reported->limits.front().incarnation == routing::replica_incarnation{4});
	CHECK(reported->limits.front().requests_per_s == 1.5);
	CHECK(reported->limits.front().age == milliseconds{20});
	server.stop();
	client->abandon();
}

TEST_CASE("requests in progress of other VMs are summed with their work", "[reports]")
{
	report_board board;
	board.set_work("a", {{replica_id{"r1"}, 100, 2}}, start);
	board.set_work("b", {{replica_id{"r1"}, 50, 3}, {replica_id{"r2"}, 0, 1}}, start);
	const auto for_c = board.work_excluding("c", start);
	REQUIRE(for_c.size() == 2);
	CHECK(for_c.front().requests == 5);
	CHECK(for_c.back().requests == 1);
}
