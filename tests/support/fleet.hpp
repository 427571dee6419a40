// SPDX-License-Identifier: MIT
// Lists of VMs for tests of what VMs share out among themselves.
#pragma once

#include <gingerdyke/routing/fleet_list.hpp>
#include <string>

namespace gingerdyke::test
{
[[nodiscard]] inline vm_id vm_named(std::size_t number)
{
	return vm_id{"vm" + std::to_string(number)};
}

/// \brief The first VMs of a deployment, in three failure domains.
[[nodiscard]] inline std::vector<routing::fleet_member> vms_up_to(std::size_t count)
{
	constexpr std::size_t domains = 3;
	std::vector<routing::fleet_member> all;
	for (std::size_t i = 0; i < count; ++i)
	{
		all.push_back({vm_named(i), failure_domain_id{"d" + std::to_string(i % domains)}});
	}
	return all;
}
} // namespace gingerdyke::test
