// SPDX-License-Identifier: MIT
// This VM's share of each workspace's request limit.
#pragma once

#include <gingerdyke/limits/token_bucket.hpp>
#include <gingerdyke/membership/membership_view.hpp>
#include <gingerdyke/table/table.hpp>
#include <map>
#include <optional>

namespace gingerdyke::limits
{
/// \brief Splits each workspace's limit evenly over the failure domains of the table and, within a domain,
/// over its live entry VMs. The split over failure domains is fixed, so a network partition cannot raise
/// the total rate.
class workspace_limiter
{
  public:
	explicit workspace_limiter(const membership::membership_view& live) : live_(live) {}

	/// \brief Takes one request from the workspace's limit.
	/// \returns None if the request may pass, otherwise the time until the next request may.
	[[nodiscard]] std::optional<duration> admit(
		const table::table& table, const table::workspace_row& workspace, instant now);

  private:
	[[nodiscard]] double local_rate(const table::table& table, const table::workspace_row& workspace) const;

	const membership::membership_view& live_;
	std::map<workspace_id, token_bucket> buckets_;
};
} // namespace gingerdyke::limits
