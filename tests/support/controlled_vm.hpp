// SPDX-License-Identifier: MIT
// A VM's control over a stand-in registry, for tests of the platform's adapter.
#pragma once

#include "proxy_world.hpp"
#include <gingerdyke/control/coordinator.hpp>
#include <layout.hpp>
#include <registry_client.hpp>
#include <standin/registry.hpp>
#include <unistd.h>

namespace gingerdyke::test
{
/// \brief An address of the loopback that nobody listens at.
[[nodiscard]] inline routing::address free_address(proxy::asio::io_context& context)
{
	// On an address that all processes use, the port may be taken before the VM listens.
	constexpr std::uint64_t numbers = 250;
	const auto process = static_cast<std::uint64_t>(::getpid());
	const auto ip = "127." + std::to_string(2 + process % numbers) + "." +
					std::to_string(process / numbers % numbers) + ".1";
	proxy::tcp::acceptor probe{context, {proxy::asio::ip::make_address_v4(ip), 0}};
	return {ip, probe.local_endpoint().port()};
}

/// \brief A VM's control over a stand-in registry.
struct controlled_vm
{
	controlled_vm(proxy_world& world, const platform::standin::registry& registry, const std::string& name)
		: controlled_vm(world, registry, name, free_address(world.context))
	{
	}

	controlled_vm(proxy_world& world, const platform::standin::registry& registry, const std::string& name,
		const routing::address& at, const std::string& domain = "a")
		: client(world.context, registry.at()),
		  coordinator(world.gateway(), client, platform::make_registry_layout(),
			  {vm_id{name}, failure_domain_id{domain}, at, 0}, name + "-1", seeded_random{4})
	{
		world.gateway().on_suspicion([this] { coordinator.on_suspicion(); });
		REQUIRE_FALSE(coordinator.start());
	}

	~controlled_vm() { coordinator.stop(); }

	platform::registry_client client;
	control::coordinator coordinator;
};
} // namespace gingerdyke::test
