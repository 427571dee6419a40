// SPDX-License-Identifier: MIT
// This VM's part of each workspace's request limit.
#pragma once

#include <gingerdyke/limits/token_bucket.hpp>
#include <gingerdyke/membership/membership_view.hpp>
#include <gingerdyke/table/table.hpp>
#include <map>
#include <optional>

namespace gingerdyke::limits
{
/// \brief Splits each workspace's limit evenly over the failure domains of the table and, within one, over
/// its live entry VMs. The split over failure domains is fixed, so a cut can't raise the sum.
class workspace_limiter
{
  public:
	explicit workspace_limiter(const membership::membership_view& live) : live_(live) {}

	/// \brief Lets one request pass.
	/// \returns Nothing where it may pass, else how long to wait until the next may.
	[[nodiscard]] std::optional<duration> admit(
		const table::table& table, const table::workspace_row& workspace, instant now);

  private:
	[[nodiscard]] double own_rate(const table::table& table, const table::workspace_row& workspace) const;

	const membership::membership_view& live_;
	std::map<workspace_id, token_bucket> buckets_;
};
} // namespace gingerdyke::limits
