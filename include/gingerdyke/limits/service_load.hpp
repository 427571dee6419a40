// SPDX-License-Identifier: MIT
// Load of a service as VMs observe it and report it to each other.
#pragma once

#include <array>
#include <gingerdyke/base/ids.hpp>
#include <gingerdyke/base/units.hpp>

namespace gingerdyke::limits
{
/// \brief Number of ranks in which requests are admitted; 0 comes first.
inline constexpr std::size_t rank_count = 20;

/// \brief Place of a request among those that compete for the same room; a lower one is admitted first.
using admission_rank = std::size_t;

/// \brief Returns the rank of a request.
/// \param priority Its place in the order of priorities (`routing::priority_order`); 0 is the highest.
/// \param is_excess The request is beyond the usual share of its workspace: it comes after all others of its
/// priority, and before those of the next.
[[nodiscard]] constexpr admission_rank rank_of(unsigned priority, bool is_excess) noexcept
{
	constexpr unsigned ranks_per_priority = 2;
	constexpr unsigned last_priority = rank_count / ranks_per_priority - 1;
	const auto distinguished = priority < last_priority ? priority : last_priority;
	return distinguished * ranks_per_priority + (is_excess ? 1 : 0);
}

/// \brief Load of one service, as one VM or several together lately observed it.
struct service_load
{
	service_id service;

	/// What callers ask for per second, by rank, whether or not it was sent to a replica. This and the other
	/// rates are in units of work: requests, or for engines thousands of tokens.
	std::array<double, rank_count> arrivals_per_s{};

	/// What replicas responded to per second, without rejections.
	double responses_per_s{};

	/// What of that met the latency objective of its route.
	double in_time_per_s{};

	/// What replicas rejected per second because they were full.
	double rejections_per_s{};

	/// Mean time from sending a request to the first byte of its response.
	duration mean_response{};

	/// VMs that these figures are from.
	unsigned vms{};

	bool operator==(const service_load&) const = default;
};
} // namespace gingerdyke::limits
