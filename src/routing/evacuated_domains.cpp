// SPDX-License-Identifier: MIT
// The failure domains that operators evacuate.
#include <gingerdyke/routing/evacuated_domains.hpp>

namespace gingerdyke::routing
{
void evacuated_domains::add(const failure_domain_id& domain)
{
	if (domains_.insert(domain).second)
	{
		changed_(domain, true);
	}
}

void evacuated_domains::remove(const failure_domain_id& domain)
{
	if (domains_.erase(domain) > 0)
	{
		changed_(domain, false);
	}
}

void evacuated_domains::retain(const std::set<failure_domain_id>& standing)
{
	const auto before = domains_;
	for (const auto& one : before)
	{
		if (!standing.contains(one))
		{
			remove(one);
		}
	}
}
} // namespace gingerdyke::routing
