// SPDX-License-Identifier: MIT
// Several VMs with one registry, between callers and replicas that crash under certain requests.
#pragma once

#include "controlled_vm.hpp"
#include "crashing_fleet.hpp"
#include <sstream>

namespace gingerdyke::test
{
/// \brief The replicas of a fleet, as those of the plain service.
[[nodiscard]] inline std::vector<std::pair<std::string, const scripted_replica*>> plain_replicas(
	const crashing_fleet& fleet)
{
	std::vector<std::pair<std::string, const scripted_replica*>> all;
	for (std::size_t i = 0; i < fleet.size(); ++i)
	{
		all.emplace_back("plain", &fleet.at(i));
	}
	return all;
}

/// \brief The metrics of a VM.
[[nodiscard]] inline std::string metrics_of(proxy_world& world)
{
	std::ostringstream out;
	world.gateway().write_metrics(out, proxy::steady_now());
	return out.str();
}

/// \brief A configuration with one route, whose requests are not repeatable, to the service of the fleet.
[[nodiscard]] inline json one_route_configuration()
{
	return {{"version", 1},
		{"routes",
			json::array({{{"name", "r"}, {"host", "example"}, {"path_prefix", "/unsafe/"}, {"kind", "unsafe"},
				{"timeout_ms", 30000}, {"target_latency_ms", 20000}, {"priority", 1},
				{"traffic_split", {{{"service", "plain"}, {"weight", 1}}}}, {"max_attempts", 1}}})},
		{"services", json::array({{{"name", "plain"}, {"max_connections", 360}}})},
		{"limits", {{"max_header_bytes", 4096}, {"max_body_bytes", 10000}, {"header_timeout_ms", 10000},
					   {"idle_timeout_ms", 10000}}}};
}

/// \brief The registry entry of a replica.
[[nodiscard]] inline json entry_of(const scripted_replica& instance)
{
	return {{"service", "plain"}, {"address", instance.at().str()}, {"zone", "a"}, {"version", "v1"},
		{"slots", 4}, {"state", "ready"}, {"sequence", 1}};
}

/// \brief Several VMs, each on an event loop of its own, with one registry. The replicas run on the event
/// loop of `backend`.
struct crashing_deployment
{
	/// \param marker Text of the requests that crash the replicas.
	explicit crashing_deployment(std::size_t vms, const std::string& marker = crashing_body)
		: fleet(
			  backend.context, 16,
			  [](const std::string&) { return scripted_answer{answer_with("200 OK", "well")}; }, marker)
	{
		registry.put("op", "config", one_route_configuration());
		for (std::size_t i = 0; i < fleet.size(); ++i)
		{
			registry.put("servers", "r" + std::to_string(i), entry_of(fleet.at(i)));
		}
		for (std::size_t i = 0; i < vms; ++i)
		{
			add_vm();
		}
	}

	void add_vm(const std::string& domain = "a")
	{
		auto& world = *worlds.emplace_back(std::make_unique<proxy_world>());
		controls.push_back(std::make_unique<controlled_vm>(
			world, registry, "vm" + std::to_string(worlds.size()), free_address(world.context), domain));
		run_until([&] { return world.gateway().ready(); });
	}

	void run_until(const std::function<bool()>& condition)
	{
		test::run_until(backend.context,
			[&]
			{
				for (const auto& world : worlds)
				{
					world->context.restart();
					world->context.poll();
				}
				return condition();
			});
	}

	std::string ask(std::size_t vm, const std::string& request)
	{
		scripted_caller caller{backend.context, worlds[vm]->port()};
		caller.send(request);
		run_until([&] { return caller.has_answer() || caller.ended(); });
		return caller.received();
	}

	/// Event loop of the registry and the replicas.
	proxy_world backend;
	platform::standin::registry registry{backend.context};
	crashing_fleet fleet;
	std::vector<std::unique_ptr<proxy_world>> worlds;
	std::vector<std::unique_ptr<controlled_vm>> controls;
};
} // namespace gingerdyke::test
