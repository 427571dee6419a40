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
} // namespace gingerdyke::control
