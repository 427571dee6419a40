// SPDX-License-Identifier: MIT
// The platform adapter: decoding of rows and settings, the registry client against a stand-in registry, and
// the coordinator of a VM as a whole.
#include "../support/controlled_vm.hpp"
#include <settings.hpp>

using namespace gingerdyke;
using namespace gingerdyke::test;

namespace
{
json configuration(int version, const std::string& prefix = "/a/")
{
	return {{"version", version},
		{"routes",
			json::array({{{"name", "r"}, {"host", "h"}, {"path_prefix", prefix}, {"kind", "stream"},
				{"timeout_ms", 8000}, {"target_latency_ms", 2000}, {"priority", 1}, {"sizes", {"s", "l"}},
				{"traffic_split", {{{"service", "x"}, {"weight", 9}}, {{"service", "y"}, {"weight", 1}}}},
				{"max_attempts", 3}, {"sticky", true}, {"stream_resume", true}, {"gap_aim_ms", 1000}}})},
		{"services", json::array({{{"name", "x"}, {"max_connections", 360},
						 {"engine", {{"slots", 64}, {"models", {{{"name", "s"}, {"cost", 0.018}}}}}}}})},
		{"limits", {{"max_header_bytes", 100}, {"max_body_bytes", 200}, {"header_timeout_ms", 3},
					   {"idle_timeout_ms", 4}}},
		{"tenants", json::array({{{"name", "t"}, {"api_keys", {"k1", "k2"}}, {"priority", 2}}})}};
}

json replica(const std::string& version = "v1", const std::string& state = "ready")
{
	return {{"service", "x"}, {"address", "127.0.0.1:9"}, {"zone", "a"}, {"version", version}, {"slots", 64},
		{"state", state}, {"sequence", 4}};
}

control::row row_of(const std::string& key, const json& value)
{
	return {"op", key, value.dump(), control::row_version{5}, false};
}
} // namespace

TEST_CASE("a configuration row is decoded into routes, services, keys and limits", "[platform]")
{
	const auto read = platform::read_configuration(row_of("config", configuration(7)));
	REQUIRE(read);
	const auto& catalog = **read;
	CHECK(catalog.version().value() == 7);
	const auto* route = catalog.find_route("h", "/a/b");
	REQUIRE(route != nullptr);
	CHECK(route->streams);
	CHECK(route->is_retryable());
	CHECK(route->models.size() == 2);
	CHECK(route->services.size() == 2);
	CHECK(route->max_event_interval == std::chrono::seconds{1});
	CHECK(catalog.find_workspace("k2")->priority == 2U);
	CHECK(catalog.find_workspace("k3") == nullptr);
	CHECK(catalog.find_service(service_id{"x"})->connections_per_replica == 360);
	CHECK(catalog.limits().header_bytes == 100);
}

TEST_CASE("rows that can't be decoded yield findings that name the row", "[platform]")
{
	auto broken = configuration(7);
	broken.erase("routes");
	const auto read = platform::read_configuration(row_of("config", broken));
	REQUIRE_FALSE(read);
	CHECK(read.error().front().location.source == "op/config");
	auto entry = replica();
	entry["address"] = "nowhere";
	CHECK_FALSE(platform::read_replica(row_of("i-1", entry)));
	CHECK_FALSE(platform::read_shift_order(row_of("rollout/x", {{"service", "x"}})));
}

TEST_CASE("all findings about invalid settings are reported at once", "[platform][settings]")
{
	const json good{{"vm", "v"}, {"failure_domain", "a"}, {"serve", "127.0.0.1:1"}, {"ready", "127.0.0.1:2"},
		{"registry", "127.0.0.1:3"}, {"relay", "127.0.0.1:4"}, {"stop_limit_ms", 8000},
		{"keys_revoked_ms", 5000}, {"keys_must_expire", true},
		{"attempts", {{"ratio", 0.9}, {"window_s", 10}, {"slack", 54}}}};
	const auto read = platform::read_settings(json_source::from_value("f", good));
	REQUIRE(read);
	CHECK(read->bounds.revocation_time == std::chrono::milliseconds{4700});
	CHECK(read->propagation_limit() == std::chrono::seconds{2});
	auto with_evacuation = good;
	with_evacuation["evacuation_limit_ms"] = 900;
	CHECK(platform::read_settings(json_source::from_value("f", with_evacuation))->propagation_limit() ==
		  std::chrono::milliseconds{900});
	CHECK(read->bounds.exposure_slack == 0);
	auto with_slack = good;
	with_slack["exposure_slack"] = 30;
	CHECK(platform::read_settings(json_source::from_value("f", with_slack))->bounds.exposure_slack == 30);
	with_slack["exposure_slack"] = -1;
	CHECK_FALSE(platform::read_settings(json_source::from_value("f", with_slack)));
	auto bad = good;
	bad["serve"] = 5;
	bad.erase("vm");
	const auto findings = platform::read_settings(json_source::from_value("f", bad));
	REQUIRE_FALSE(findings);
	CHECK(findings.error().size() >= 2);
	auto bad_port = good;
	bad_port["ready"] = "127.0.0.1:0";
	CHECK_FALSE(platform::read_settings(json_source::from_value("f", bad_port)));
}

TEST_CASE("the registry client reads paged tables, follows changes and writes conditionally",
	"[platform][registry]")
{
	proxy::asio::io_context context{1};
	platform::standin::registry registry{context};
	platform::registry_client client{context, registry.at()};
	for (int i = 0; i < 1200; ++i)
	{
		registry.put("t", "key/" + std::to_string(i), i);
	}
	std::optional<control::store_result<control::row_batch>> batch;
	const auto store_batch = [&](control::store_result<control::row_batch> result)
	{ batch = std::move(result); };
	client.read_all("t", store_batch);
	run_until(context, [&] { return batch.has_value(); });
	REQUIRE(*batch);
	CHECK((*batch)->rows.size() == 1200);
	const auto newest = (*batch)->newest;

	batch.reset();
	client.follow("t", newest, std::chrono::seconds{10}, store_batch);
	registry.remove("t", "key/3");
	run_until(context, [&] { return batch.has_value(); });
	REQUIRE(*batch);
	REQUIRE((*batch)->rows.size() == 1);
	CHECK((*batch)->rows.front().removed);

	std::optional<control::store_result<control::change_result>> changed;
	client.change({{{"own", "k", control::row_version{0}}}, {{"own", "k", "\"value\""}}, {}},
		[&](control::store_result<control::change_result> result) { changed = std::move(result); });
	run_until(context, [&] { return changed.has_value(); });
	CHECK((*changed)->committed);
	CHECK(registry.value("own", "k") == "value");

	changed.reset();
	client.change({{{"own", "k", control::row_version{0}}}, {{"own", "k", "\"other\""}}, {}},
		[&](control::store_result<control::change_result> result) { changed = std::move(result); });
	run_until(context, [&] { return changed.has_value(); });
	CHECK_FALSE((*changed)->committed);
	REQUIRE((*changed)->rows.size() == 1);
	CHECK((*changed)->rows.front().value == "\"value\"");

	batch.reset();
	registry.compact();
	client.follow("t", newest, std::chrono::seconds{10}, store_batch);
	run_until(context, [&] { return batch.has_value(); });
	CHECK(batch->error() == control::store_error::history_gone);

	batch.reset();
	registry.set_fault(platform::standin::registry_fault::no_response);
	client.follow("t", newest, std::chrono::milliseconds{10}, store_batch);
	run_until(context, [&] { return batch.has_value(); });
	CHECK(batch->error() == control::store_error::unreachable);
}

TEST_CASE("a VM becomes ready and applies configuration changes, drained replicas and shift orders",
	"[platform][control]")
{
	proxy_world world;
	platform::standin::registry registry{world.context};
	registry.put("op", "config", configuration(1));
	registry.put("servers", "i-1", replica());
	controlled_vm vm{world, registry, "vm1"};
	world.run_until([&] { return world.gateway().ready(); });
	world.run_until([&] { return !registry.value("gingerdyke", "vm/vm1").is_null(); });

	registry.put("op", "config", configuration(4, "/b/"));
	world.run_until([&] { return world.gateway().catalog()->version().value() == 4; });
	registry.put("op", "config", configuration(3, "/old/"));
	registry.put("servers", "i-1", replica("v1", "draining"));
	world.run_until([&] { return world.gateway().replicas().find(replica_id{"i-1"})->is_draining; });
	CHECK(world.gateway().catalog()->version().value() == 4);

	registry.put("servers", "i-2", replica());
	registry.put("op", "rollout/x", {{"service", "x"}, {"target_version", "v2"}, {"duration_s", 60}});
	world.run_until([&] { return registry.value("status", "rollout/x").is_object(); });
	CHECK(registry.value("status", "rollout/x") == json{{"state", "running"}, {"target_version", "v2"}});
	world.run_until([&] { return world.gateway().versions().plan_of(service_id{"x"}) != nullptr; });
}

TEST_CASE("a VM rereads the registry after lost history and recovers from an outage", "[platform][control]")
{
	proxy_world world;
	platform::standin::registry registry{world.context};
	registry.put("op", "config", configuration(1));
	controlled_vm vm{world, registry, "vm1"};
	world.run_until([&] { return world.gateway().ready(); });
	registry.set_fault(platform::standin::registry_fault::unavailable);
	registry.put("op", "config", configuration(2));
	world.context.restart();
	world.context.run_for(std::chrono::milliseconds{30});
	registry.compact();
	registry.set_fault(platform::standin::registry_fault::none);
	world.run_until([&] { return world.gateway().catalog()->version().value() == 2; });
}

TEST_CASE("a VM that restarts at the same address does not rewrite its registration", "[platform][control]")
{
	proxy_world world;
	platform::standin::registry registry{world.context};
	const auto at = free_address(world.context);
	registry.put("gingerdyke", "vm/vm1",
		{{"vm", "vm1"}, {"domain", "a"}, {"address", at.str()}, {"link_mbps", 0}, {"mark", 1}});
	registry.put("op", "config", configuration(1));
	controlled_vm vm{world, registry, "vm1", at};
	world.run_until([&] { return world.gateway().ready(); });
	world.context.restart();
	world.context.run_for(std::chrono::milliseconds{20});
	CHECK(registry.value("gingerdyke", "vm/vm1").at("mark") == 1);
}

TEST_CASE(
	"evidence against a bad version reaches the registry through the VM that reads it", "[platform][control]")
{
	proxy_world reader_world;
	platform::standin::registry registry{reader_world.context};
	registry.put("op", "config", configuration(1));
	registry.put("servers", "i-1", replica("v1"));
	registry.put("servers", "i-2", replica("v2"));
	registry.put("op", "rollout/x", {{"service", "x"}, {"target_version", "v2"}, {"duration_s", 60}});
	controlled_vm reader{reader_world, registry, "vm1"};
	reader_world.run_until([&] { return registry.value("status", "rollout/x").is_object(); });
	reader_world.run_until(
		[&] { return reader_world.gateway().versions().plan_of(service_id{"x"}) != nullptr; });
	const auto order = reader_world.gateway().versions().plan_of(service_id{"x"})->order;
	rollout::shift_evidence seen{service_id{"x"}, order, {}};
	seen.seen.by_route["r"].new_version[2] = {12, 12};
	reader_world.gateway().versions().on_relayed_evidence("vm2-1", seen, proxy::steady_now());
	reader.coordinator.schedule_write();
	reader_world.run_until([&] { return registry.value("gingerdyke-evidence", "x/vm2-1").is_object(); });
	reader_world.run_until(
		[&] { return registry.value("status", "rollout/x").at("state") == "rolled_back"; });
}

TEST_CASE("the limits and prices of a service's replicas are decoded", "[platform]")
{
	auto value = configuration(7);
	value["services"][0]["scale"] = {{"min", 1}, {"max", 40}, {"boot_s", 4.0}, {"spot_price", 0.18},
		{"zone_prices", {{"a", 1.0}, {"b", 0.8}}}};
	const auto read = platform::read_configuration(row_of("config", value));
	REQUIRE(read);
	const auto& limits = (*read)->find_service(service_id{"x"})->scaling;
	REQUIRE(limits);
	CHECK(limits->max_replicas == 40);
	CHECK(limits->boot_time == std::chrono::seconds{4});
	CHECK(limits->domain_prices.at(failure_domain_id{"b"}) == 0.8);
}

TEST_CASE("regions in which a route or workspace may be served are decoded", "[platform]")
{
	auto value = configuration(7);
	value["routes"][0]["allowed_regions"] = {"north"};
	value["tenants"][0]["allowed_regions"] = {"north", "south"};
	const auto read = platform::read_configuration(row_of("config", value));
	REQUIRE(read);
	CHECK((*read)->find_route("h", "/a/b")->regions == routing::allowed_regions{region_id{"north"}});
	CHECK((*read)->find_workspace("k1")->regions.size() == 2);
}

TEST_CASE("spot capacity is decoded from a replica's entry", "[platform]")
{
	auto value = replica();
	CHECK_FALSE(platform::read_replica(row_of("r1", value))->is_spot);
	value["spot"] = true;
	CHECK(platform::read_replica(row_of("r1", value))->is_spot);
}

TEST_CASE("the duties that a deployment has are read from its settings", "[platform]")
{
	const json duties{{"address", "127.0.0.1:7"}, {"names", {"usage_report", "unknown"}}, {"lease_ms", 3000},
		{"usage_window_s", 5}, {"usage_due_s", 10}, {"tokens_checked", false}};
	const json value{{"vm", "n"}, {"failure_domain", "a"}, {"serve", "127.0.0.1:1"}, {"ready", "127.0.0.1:2"},
		{"registry", "127.0.0.1:3"}, {"relay", "127.0.0.1:4"}, {"stop_limit_ms", 8000},
		{"attempts", {{"ratio", 0.9}, {"window_s", 10}, {"slack", 50}}}, {"duties", duties}};
	const auto settings = platform::read_settings(json_source::from_value("f", value));
	REQUIRE(settings);
	CHECK(settings->duty_address->port == 7);
	CHECK(settings->duties.usage_duty);
	CHECK_FALSE(settings->duties.scaling_duty);
	CHECK(settings->duties.lease.settling_time == std::chrono::seconds{3});
	CHECK(settings->duties.usage.reporting.window_length == std::chrono::seconds{5});
}

TEST_CASE("overload is shed where the settings name that feature, and nowhere else", "[platform][settings]")
{
	json value{{"vm", "n"}, {"failure_domain", "a"}, {"serve", "127.0.0.1:1"}, {"ready", "127.0.0.1:2"},
		{"registry", "127.0.0.1:3"}, {"relay", "127.0.0.1:4"}, {"stop_limit_ms", 8000},
		{"attempts", {{"ratio", 0.9}, {"window_s", 10}, {"slack", 50}}}};
	CHECK_FALSE(platform::read_settings(json_source::from_value("f", value))->bounds.sheds_overload);
	value["features"] = {"base", "places"};
	CHECK_FALSE(platform::read_settings(json_source::from_value("f", value))->bounds.sheds_overload);
	value["features"] = {"base", "pressure"};
	CHECK(platform::read_settings(json_source::from_value("f", value))->bounds.sheds_overload);
	value["features"] = {"base", 3};
	CHECK_FALSE(platform::read_settings(json_source::from_value("f", value)));
}
