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

void evacuated_domains::replace_all(const std::set<failure_domain_id>& domains)
{
	const auto before = domains_;
	for (const auto& one : before)
	{
		if (!domains.contains(one))
		{
			remove(one);
		}
	}
	for (const auto& one : domains)
	{
		add(one);
	}
}
} // namespace gingerdyke::routing
