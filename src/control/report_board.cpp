// SPDX-License-Identifier: MIT
// The open work of the VMs that report to this one.
#include <gingerdyke/control/report_board.hpp>

namespace gingerdyke::control
{
void report_board::take(const std::string& reporter, std::vector<routing::replica_work> work, instant now)
{
	by_reporter_[reporter] = {std::move(work), now};
}

std::vector<routing::replica_work> report_board::work_of_others(const std::string& reporter, instant now)
{
	std::erase_if(by_reporter_, [&](const auto& entry) { return now - entry.second.at > tuning_.lifetime; });
	std::map<replica_id, double> sums;
	for (const auto& [name, report] : by_reporter_)
	{
		if (name == reporter)
		{
			continue;
		}
		for (const auto& one : report.work)
		{
			sums[one.replica] += one.tokens;
		}
	}
	std::vector<routing::replica_work> all;
	all.reserve(sums.size());
	for (const auto& [replica, tokens] : sums)
	{
		all.push_back({replica, tokens});
	}
	return all;
}

void report_board::take_limits(
	const std::string& reporter, std::vector<routing::limit_update> limits, instant now)
{
	if (limits.empty())
	{
		limits_by_reporter_.erase(reporter);
		return;
	}
	limits_by_reporter_[reporter] = {std::move(limits), now};
}

std::vector<routing::limit_update> report_board::limits_of_others(const std::string& reporter, instant now)
{
	std::erase_if(
		limits_by_reporter_, [&](const auto& entry) { return now - entry.second.at > tuning_.lifetime; });
	std::vector<routing::limit_update> all;
	for (const auto& [name, kept] : limits_by_reporter_)
	{
		if (name == reporter)
		{
			continue;
		}
		for (auto heard : kept.limits)
		{
			heard.age += now - kept.at;
			all.push_back(std::move(heard));
		}
	}
	return all;
}
} // namespace gingerdyke::control
