// SPDX-License-Identifier: MIT
// Distributes the replicas of a service over failure domains and kinds of capacity at the lowest price at
// which the loss of all spot replicas of any one failure domain can be borne.
#pragma once

#include <gingerdyke/scaling/replica_order.hpp>
#include <gingerdyke/scaling/scaling_limits.hpp>
#include <vector>

namespace gingerdyke::scaling
{
/// \brief State of one failure domain.
struct domain_capacity
{
	failure_domain_id domain;

	/// Replicas that take requests, by kind.
	unsigned on_demand{};
	unsigned spot{};

	/// More spot replicas can be had, as far as is known.
	bool has_spot{};

	/// Nothing may be sent to the failure domain.
	bool is_evacuated{};
};

/// \brief Replicas that a failure domain shall have.
struct domain_target
{
	failure_domain_id domain;
	unsigned on_demand{};
	unsigned spot{};
};

/// \brief Returns the numbers to order.
/// \param needed Replicas that have to be left after the loss of a failure domain's spot replicas.
/// \param domains State of all failure domains in which the service may run.
[[nodiscard]] std::vector<domain_target> plan_capacity(
	double needed, const scaling_limits& limits, const std::vector<domain_capacity>& domains);
} // namespace gingerdyke::scaling
