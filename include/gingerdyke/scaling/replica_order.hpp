// SPDX-License-Identifier: MIT
// An order for the number of replicas of a service in one failure domain.
#pragma once

#include <gingerdyke/base/ids.hpp>

namespace gingerdyke::scaling
{
/// \brief How replicas are paid for.
enum class capacity_kind
{
	/// Kept until it is ordered away.
	on_demand,
	/// Cheaper, but the platform may take all of a failure domain back at once.
	spot,
};

/// \brief Returns the name of a kind, as logged.
[[nodiscard]] constexpr const char* name_of(capacity_kind kind) noexcept
{
	return kind == capacity_kind::spot ? "spot" : "on demand";
}

/// \brief What an order is about; each such pool is ordered separately.
struct replica_pool
{
	service_id service;
	failure_domain_id domain;
	capacity_kind kind{capacity_kind::on_demand};

	auto operator<=>(const replica_pool&) const = default;
};

/// \brief The number of replicas that a pool shall have.
struct replica_order
{
	replica_pool pool;
	unsigned replicas{};
};
} // namespace gingerdyke::scaling
