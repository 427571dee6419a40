// SPDX-License-Identifier: MIT
// A request that crashes each engine that runs it must not be sent to one engine after the other. Without a
// quarantine every repetition by the caller, on any VM, was a new request that crashed as many replicas as
// its route has attempts: in a deployment of 7 VMs and 18 engines, one request crashed 68 engines within
// 20 s, and in the worst second 28 of 87 requests were served in time.
#include "../support/crashing_deployment.hpp"

using namespace gingerdyke;
using namespace gingerdyke::test;

namespace
{
constexpr std::size_t max_exits = 3;

scripted_answer respond_ok(const std::string&)
{
	return {answer_with("200 OK", "well")};
}

bool has_one_quarantined_request(proxy_world& world)
{
	return metrics_of(world).find("\ngingerdyke_requests_held 1\n") != std::string::npos;
}

} // namespace

TEST_CASE("a request that crashed three replicas is sent to no other replica, however often it is repeated",
	"[quarantine]")
{
	proxy_world world;
	crashing_fleet fleet{world.context, 10, respond_ok};
	world.start(plain_replicas(fleet));
	std::string response;
	for (int i = 0; i < 6; ++i)
	{
		response = world.ask(request_to("POST", "/safe/a", crashing_body));
	}
	CHECK(fleet.crashed() <= max_exits);
	// The response is final: it does not ask the caller to retry.
	CHECK(response.starts_with("HTTP/1.1 502 "));
	CHECK(response.find("Retry-After") == std::string::npos);
	CHECK(world.ask(request_to("POST", "/safe/a", "another prompt")).ends_with("well"));
}

TEST_CASE(
	"a request that crashed one replica through each of three VMs is quarantined on all VMs, including one "
	"that starts later",
	"[quarantine]")
{
	crashing_deployment vms{3};
	for (std::size_t vm = 0; vm < 3; ++vm)
	{
		const auto response = vms.ask(vm, request_to("POST", "/unsafe/a", crashing_body));
		CHECK(response.starts_with("HTTP/1.1 502 "));
	}
	CHECK(vms.fleet.crashed() == max_exits);
	vms.run_until(
		[&]
		{
			return std::all_of(vms.worlds.begin(), vms.worlds.end(),
				[](const auto& world) { return has_one_quarantined_request(*world); });
		});
	vms.add_vm();
	vms.run_until([&] { return has_one_quarantined_request(*vms.worlds.back()); });
	for (std::size_t vm = 0; vm < 4; ++vm)
	{
		const auto response = vms.ask(vm, request_to("POST", "/unsafe/a", crashing_body));
		CHECK(response.starts_with("HTTP/1.1 502 "));
	}
	CHECK(vms.fleet.crashed() == max_exits);
}

// While the registry stored nothing, exits that were seen in different failure domains did not add up.
TEST_CASE("exits seen in several failure domains add up while the registry stores nothing", "[quarantine]")
{
	const auto fault = GENERATE(
		platform::standin::registry_fault::refuses_changes, platform::standin::registry_fault::unavailable);
	crashing_deployment vms{0};
	for (const auto* domain : {"a", "b", "c"})
	{
		vms.add_vm(domain);
	}
	vms.run_until(
		[&]
		{
			return std::all_of(vms.worlds.begin(), vms.worlds.end(),
				[](const auto& world) { return world->gateway().vm_count() == 3; });
		});
	vms.registry.set_fault(fault);
	for (std::size_t vm = 0; vm < 3; ++vm)
	{
		static_cast<void>(vms.ask(vm, request_to("POST", "/unsafe/a", crashing_body)));
	}
	CHECK(vms.fleet.crashed() == max_exits);
	vms.run_until(
		[&]
		{
			return std::all_of(vms.worlds.begin(), vms.worlds.end(),
				[](const auto& world) { return has_one_quarantined_request(*world); });
		});
	for (std::size_t vm = 0; vm < 3; ++vm)
	{
		CHECK(vms.ask(vm, request_to("POST", "/unsafe/a", crashing_body)).starts_with("HTTP/1.1 502 "));
	}
	CHECK(vms.fleet.crashed() == max_exits);
}

// The rows of suspects were lost with the registry's copy, and a VM that started sent the request again.
TEST_CASE("a VM that starts is told of quarantined requests that the registry has lost", "[quarantine]")
{
	crashing_deployment vms{0};
	for (const auto* domain : {"a", "b"})
	{
		vms.add_vm(domain);
	}
	vms.run_until(
		[&]
		{
			return std::all_of(vms.worlds.begin(), vms.worlds.end(),
				[](const auto& world) { return world->gateway().vm_count() == 2; });
		});
	vms.registry.set_fault(platform::standin::registry_fault::refuses_changes);
	for (std::size_t i = 0; i < max_exits; ++i)
	{
		static_cast<void>(vms.ask(0, request_to("POST", "/unsafe/a", crashing_body)));
	}
	vms.add_vm("c");
	vms.run_until([&] { return has_one_quarantined_request(*vms.worlds.back()); });
	CHECK(vms.ask(2, request_to("POST", "/unsafe/a", crashing_body)).starts_with("HTTP/1.1 502 "));
	CHECK(vms.fleet.crashed() == max_exits);
}

TEST_CASE("exits of draining replicas do not count against the requests that ran on them", "[quarantine]")
{
	proxy_world world;
	crashing_fleet fleet{world.context, 6, respond_ok};
	world.start(plain_replicas(fleet));
	fleet.before_crash(
		[&](std::size_t index)
		{
			auto draining = *world.gateway().replicas().find(replica_id{"r" + std::to_string(index)});
			draining.is_draining = true;
			world.gateway().replicas().put(draining, proxy::steady_now());
		});
	for (std::size_t sent_count = 1; sent_count <= 5; ++sent_count)
	{
		static_cast<void>(world.ask(request_to("POST", "/unsafe/a", crashing_body)));
		CHECK(fleet.crashed() == sent_count);
	}
}

// A crashed replica restarted after 1.2 s, and the same request reached it within the 0.15 s before the VMs
// knew its new registry entry. They took the restarted process for the one whose exit they had recorded and
// did not count the second crash: one request crashed 14 replicas, 4 of them more than 3 s after the third.
// The log showed the replica as restarted, then exited with 0 requests.
TEST_CASE(
	"a restarted replica that crashes under a request again counts again, even before its new entry is known",
	"[quarantine]")
{
	proxy_world world;
	crashing_fleet fleet{world.context, 1, respond_ok};
	world.start(plain_replicas(fleet));
	std::size_t exits = 0;
	for (int i = 0; i < 6; ++i)
	{
		static_cast<void>(world.ask(request_to("POST", "/unsafe/a", crashing_body)));
		if (fleet.at(0).has_crashed())
		{
			++exits;
			fleet.restart(0);
		}
	}
	CHECK(exits == max_exits);
	CHECK(has_one_quarantined_request(world));
}

TEST_CASE("two requests that would be quarantined after one more exit are not sent to the same replica",
	"[quarantine]")
{
	proxy_world world;
	scripted_replica first{world.context, [](const std::string&) { return scripted_answer{}; }};
	scripted_replica second{world.context, [](const std::string&) { return scripted_answer{}; }};
	world.start({{"plain", &first}, {"plain", &second}});
	std::vector<quarantine::content_key> keys;
	for (const auto* body : {"one", "two"})
	{
		keys.push_back(quarantine::key_of({"POST", "example", "/unsafe/a", "", body}));
	}
	for (const int process_number : {1, 2})
	{
		world.gateway().suspects().presume(
			quarantine::process_instance{process_number}, keys, proxy::steady_now());
		world.gateway().suspects().confirm(
			quarantine::process_instance{process_number}, {}, proxy::steady_now());
	}
	scripted_caller a{world.context, world.port()};
	scripted_caller b{world.context, world.port()};
	a.send(request_to("POST", "/unsafe/a", "one"));
	world.run_until([&] { return first.requests().size() + second.requests().size() == 1; });
	// The free replica is given more load, so that it would not be chosen by load alone.
	const auto free = replica_id{first.requests().empty() ? "r0" : "r1"};
	for (int i = 0; i < 3; ++i)
	{
		world.gateway().selector().record_sent(*world.gateway().replicas().find(free), 0);
	}
	b.send(request_to("POST", "/unsafe/a", "two"));
	world.run_until([&] { return first.requests().size() + second.requests().size() == 2; });
	CHECK(first.requests().size() == 1);
	CHECK(second.requests().size() == 1);
	a.leave();
	b.leave();
	world.run_until([&] { return world.log().count(proxy::request_outcome::abandoned) == 2; });
}
