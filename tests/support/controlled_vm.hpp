// SPDX-License-Identifier: MIT
// A VM's control over a stand-in registry, for tests of the platform's adapter.
#pragma once

#include "proxy_world.hpp"
#include <gingerdyke/control/coordinator.hpp>
#include <layout.hpp>
#include <registry_client.hpp>
#include <standin/registry.hpp>

namespace gingerdyke::test
{
/// \brief An address of the loopback that nobody listens at.
[[nodiscard]] inline routing::address free_address(proxy::asio::io_context& context)
{
	proxy::tcp::acceptor probe{context, {proxy::asio::ip::address_v4::loopback(), 0}};
	return {"127.0.0.1", probe.local_endpoint().port()};
}

/// \brief A VM's control over a stand-in registry.
struct controlled_vm
{
	controlled_vm(proxy_world& world, const platform::standin::registry& registry, const std::string& name)
		: controlled_vm(world, registry, name, free_address(world.context))
	{
	}

	controlled_vm(proxy_world& world, const platform::standin::registry& registry, const std::string& name,
		const routing::address& at)
		: client(world.context, registry.at()),
		  coordinator(world.gateway(), client, platform::make_registry_layout(),
			  {vm_id{name}, failure_domain_id{"a"}, at, 0}, name + "-1", seeded_random{4})
	{
		world.gateway().on_suspicion([this] { coordinator.on_suspicion(); });
		REQUIRE_FALSE(coordinator.start());
	}

	~controlled_vm() { coordinator.stop(); }

	platform::registry_client client;
	control::coordinator coordinator;
};
} // namespace gingerdyke::test
