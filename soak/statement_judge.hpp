// SPDX-License-Identifier: MIT
// Whether VMs kept what replicas said of themselves in answers, by what arrived at the replicas.
#pragma once

#include <gingerdyke/base/units.hpp>
#include <standin/replica.hpp>
#include <string>
#include <vector>

namespace gingerdyke::soak
{
/// \brief A request that reached a replica while that said something of itself.
struct told_arrival
{
	platform::standin::statement said;
	std::string replica;

	/// The VM that sent it there, with the life of its process.
	std::string vm_life;
	instant at;
};

/// \brief Judges all arrivals, the earliest first.
/// \returns Broken promises, each with the replica that shows it.
[[nodiscard]] std::vector<std::string> judge_statements(const std::vector<told_arrival>& arrivals);
} // namespace gingerdyke::soak
