// SPDX-License-Identifier: MIT
// What the operator allows for the number of replicas of a service, and what they cost.
#pragma once

#include <gingerdyke/base/ids.hpp>
#include <gingerdyke/base/units.hpp>
#include <map>

namespace gingerdyke::scaling
{
/// \brief Limits and prices of a service whose replicas are ordered.
struct scaling_limits
{
	/// Replicas of both kinds together in one failure domain.
	unsigned min_replicas{};
	unsigned max_replicas{};

	/// Time from an order until the replica serves.
	duration boot_time{};

	/// Price of a spot replica relative to one on demand.
	double spot_price{1};

	/// Price of a replica on demand in each failure domain that has any.
	std::map<failure_domain_id, double> domain_prices;
};
} // namespace gingerdyke::scaling
