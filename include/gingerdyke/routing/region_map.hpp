// SPDX-License-Identifier: MIT
// The region of each failure domain, and where requests may be served.
#pragma once

#include <algorithm>
#include <gingerdyke/base/ids.hpp>
#include <map>
#include <utility>
#include <vector>

namespace gingerdyke::routing
{
/// \brief Regions in which something may be served; empty: anywhere.
using allowed_regions = std::vector<region_id>;

/// \brief Maps failure domains to regions.
class region_map
{
  public:
	region_map() = default;

	explicit region_map(std::map<failure_domain_id, region_id> regions) : regions_(std::move(regions)) {}

	/// \brief Whether a failure domain lies in one of the allowed regions. If its region is unknown, it only
	/// does if all regions are allowed.
	[[nodiscard]] bool allows(const failure_domain_id& domain, const allowed_regions& allowed) const
	{
		if (allowed.empty())
		{
			return true;
		}
		const auto found = regions_.find(domain);
		return found != regions_.end() &&
			   std::find(allowed.begin(), allowed.end(), found->second) != allowed.end();
	}

  private:
	std::map<failure_domain_id, region_id> regions_;
};
} // namespace gingerdyke::routing
