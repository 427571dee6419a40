// SPDX-License-Identifier: MIT
// Aggregates the reports of other VMs.
#include <gingerdyke/control/report_board.hpp>

namespace gingerdyke::control
{
void report_board::set_work(const std::string& reporter, std::vector<routing::replica_work> work, instant now)
{
	work_by_reporter_[reporter] = {std::move(work), now};
}

std::vector<routing::replica_work> report_board::work_excluding(const std::string& reporter, instant now)
{
	std::erase_if(
		work_by_reporter_, [&](const auto& entry) { return now - entry.second.at > tuning_.lifetime; });
	std::map<replica_id, routing::replica_work> sums;
	for (const auto& [name, report] : work_by_reporter_)
	{
		if (name == reporter)
		{
			continue;
		}
		for (const auto& entry : report.work)
		{
			auto& sum = sums[entry.replica];
			sum.replica = entry.replica;
			sum.tokens += entry.tokens;
			sum.requests += entry.requests;
		}
	}
	std::vector<routing::replica_work> all;
	all.reserve(sums.size());
	for (auto& [replica, sum] : sums)
	{
		all.push_back(std::move(sum));
	}
	return all;
}

void report_board::set_limits(
	const std::string& reporter, std::vector<routing::limit_update> limits, instant now)
{
	if (limits.empty())
	{
		limits_by_reporter_.erase(reporter);
		return;
	}
	limits_by_reporter_[reporter] = {std::move(limits), now};
}

std::vector<routing::limit_update> report_board::limits_excluding(const std::string& reporter, instant now)
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
		for (auto reported : kept.limits)
		{
			reported.age += now - kept.at;
			all.push_back(std::move(reported));
		}
	}
	return all;
}
} // namespace gingerdyke::control
