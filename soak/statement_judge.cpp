// SPDX-License-Identifier: MIT
// Whether VMs kept what replicas said of themselves in answers.
#include "statement_judge.hpp"

#include <algorithm>
#include <map>

namespace gingerdyke::soak
{
namespace
{
/// What was under way when a VM heard of it may still arrive.
constexpr std::chrono::milliseconds under_way{500};

/// From its first statement a limit must be kept after this time, in any span of the window.
constexpr std::chrono::seconds limit_grace{3};
constexpr std::chrono::seconds limit_window{4};
constexpr double limit_excess = 1.5;
constexpr double limit_slack = 5;

/// After its word that it leaves, a replica may still get requests for this time.
constexpr std::chrono::seconds leave_grace{2};

/// Requests that a VM may send to a replica at rest, after what was under way.
constexpr std::size_t most_at_rest = 2;

/// When each VM was first told.
using first_told = std::map<std::string, instant>;

bool was_told(const first_told& told, const told_arrival& one, duration before)
{
	const auto found = told.find(one.vm_life);
	return found != told.end() && one.at > found->second + before;
}

std::vector<std::string> judge_leave(const std::string& replica, const std::vector<told_arrival>& arrivals)
{
	first_told told;
	for (const auto& one : arrivals)
	{
		if (one.said.draining && was_told(told, one, leave_grace))
		{
			return {
				"a replica that said that it leaves gets nothing: " + replica + " through " + one.vm_life};
		}
		if (one.said.draining)
		{
			told.try_emplace(one.vm_life, one.at);
		}
	}
	return {};
}

std::vector<std::string> judge_limit(const std::string& replica, const std::vector<told_arrival>& arrivals)
{
	first_told told;
	std::optional<instant> first;
	std::vector<instant> counted;
	for (const auto& one : arrivals)
	{
		if (!one.said.requests_per_s)
		{
			continue;
		}
		first = first.value_or(one.at);
		if (was_told(told, one, under_way) && one.at > *first + limit_grace)
		{
			counted.push_back(one.at);
			std::erase_if(counted, [&](instant at) { return one.at - at > limit_window; });
		}
		told.try_emplace(one.vm_life, one.at);
		const auto seconds = static_cast<double>(limit_window.count());
		const auto most = limit_excess * *one.said.requests_per_s * seconds + limit_slack;
		if (static_cast<double>(counted.size()) > most)
		{
			return {"a replica gets no more than its limit: " + replica + " got " +
					std::to_string(counted.size()) + " in 4 s"};
		}
	}
	return {};
}

std::vector<std::string> judge_rest(const std::string& replica, const std::vector<told_arrival>& arrivals)
{
	for (const auto& asked : arrivals)
	{
		if (!asked.said.retry_after)
		{
			continue;
		}
		const auto during = std::count_if(arrivals.begin(), arrivals.end(),
			[&](const told_arrival& one)
			{
				return one.vm_life == asked.vm_life && one.at > asked.at + under_way &&
					   one.at < asked.at + *asked.said.retry_after;
			});
		if (static_cast<std::size_t>(during) > most_at_rest)
		{
			return {"a replica at rest gets nothing: " + replica + " got " + std::to_string(during) +
					" through " + asked.vm_life};
		}
	}
	return {};
}
} // namespace

std::vector<std::string> judge_statements(const std::vector<told_arrival>& arrivals)
{
	std::map<std::string, std::vector<told_arrival>> by_replica;
	for (const auto& one : arrivals)
	{
		by_replica[one.replica].push_back(one);
	}
	std::vector<std::string> found;
	for (const auto& [replica, of_one] : by_replica)
	{
		for (const auto judge : {judge_leave, judge_limit, judge_rest})
		{
			for (auto& one : judge(replica, of_one))
			{
				found.push_back(std::move(one));
			}
		}
	}
	return found;
}
} // namespace gingerdyke::soak
