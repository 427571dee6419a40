// SPDX-License-Identifier: MIT
// The failure domains that operators evacuate; their replicas get no requests.
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

void evacuated_domains::retain(const std::set<failure_domain_id>& active)
{
	const auto before = domains_;
	for (const auto& domain : before)
	{
		if (!active.contains(domain))
		{
			remove(domain);
		}
	}
}
} // namespace gingerdyke::routing
