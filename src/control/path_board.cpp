// SPDX-License-Identifier: MIT
// Summarizes which VMs can't reach a service.
#include <algorithm>
#include <gingerdyke/base/crypto.hpp>
#include <gingerdyke/control/path_board.hpp>
#include <iterator>
#include <set>

namespace gingerdyke::control
{
namespace
{
routing::unreachable_service list_vms(service_id service, const std::set<vm_id>& vms)
{
	return {std::move(service), {}, {vms.begin(), vms.end()}};
}

/// Splits the VMs of a service so that those of the failure domain are listed by their exceptions.
std::vector<routing::unreachable_service> list_exceptions(const service_id& service,
	const std::set<vm_id>& vms, const failure_domain_id& domain, const std::vector<vm_id>& domain_vms)
{
	routing::unreachable_service by_domain{service, domain, {}};
	std::set_difference(
		domain_vms.begin(), domain_vms.end(), vms.begin(), vms.end(), std::back_inserter(by_domain.vms));
	routing::unreachable_service others{service, {}, {}};
	std::set_difference(
		vms.begin(), vms.end(), domain_vms.begin(), domain_vms.end(), std::back_inserter(others.vms));
	std::vector<routing::unreachable_service> lists{std::move(by_domain)};
	if (!others.vms.empty())
	{
		lists.push_back(std::move(others));
	}
	return lists;
}
} // namespace

path_digest digest_of(const std::vector<routing::unreachable_service>& unreachable)
{
	path_digest digest = 0;
	for (const auto& entry : unreachable)
	{
		digest = mix_hash(digest, stable_hash(entry.service.str()));
		digest = mix_hash(digest, stable_hash(entry.domain.value_or(failure_domain_id{}).str()));
		for (const auto& vm : entry.vms)
		{
			digest = mix_hash(digest, stable_hash(vm.str()));
		}
	}
	return digest;
}

void path_board::set(const std::string& reporter, path_report report, instant now)
{
	if (report.unreachable.empty() && report.known == 0)
	{
		reports_.erase(reporter);
		return;
	}
	reports_[reporter] = {std::move(report), now};
}

std::vector<routing::unreachable_service> path_board::unreachable(
	const failure_domain_id& domain, const std::vector<vm_id>& domain_vms, instant now) const
{
	std::map<service_id, std::set<vm_id>> vms_by_service;
	for (const auto& [reporter, kept] : reports_)
	{
		if (now - kept.at > tuning_.lifetime)
		{
			continue;
		}
		for (const auto& service : kept.report.unreachable)
		{
			vms_by_service[service].insert(kept.report.vm);
		}
	}
	std::vector<routing::unreachable_service> all;
	for (const auto& entry : vms_by_service)
	{
		const auto& [service, vms] = entry;
		const auto listed = static_cast<std::size_t>(std::count_if(domain_vms.begin(), domain_vms.end(),
			[&](const vm_id& vm) { return entry.second.contains(vm); }));
		if (2 * listed <= domain_vms.size())
		{
			all.push_back(list_vms(service, vms));
			continue;
		}
		auto lists = list_exceptions(service, vms, domain, domain_vms);
		std::move(lists.begin(), lists.end(), std::back_inserter(all));
	}
	return all;
}

path_summary path_board::summary_for(
	const std::string& reporter, std::vector<routing::unreachable_service> current) const
{
	path_summary summary{digest_of(current), std::move(current)};
	const auto found = reports_.find(reporter);
	if (found != reports_.end() && found->second.report.known == summary.digest)
	{
		summary.unreachable.clear();
	}
	return summary;
}
} // namespace gingerdyke::control
