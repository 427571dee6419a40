// SPDX-License-Identifier: MIT
// Pools the paces of engines that VMs report.
#include <algorithm>
#include <cmath>
#include <gingerdyke/control/pace_board.hpp>

namespace gingerdyke::control
{
namespace
{
/// VMs report with their polls, about once a second.
constexpr duration report_lifetime = std::chrono::milliseconds{2500};

/// Engines in one report and in one summary.
constexpr std::size_t max_engines = 512;

/// Bounds of what one VM may report: recent responses of one engine, and the logarithm of a ratio of times.
constexpr double max_weight = 256;
constexpr double max_log = 2.5;

std::vector<routing::replica_pace> bounded(const std::vector<routing::replica_pace>& observed)
{
	std::vector<routing::replica_pace> kept;
	for (const auto& seen : observed)
	{
		if (kept.size() < max_engines && std::isfinite(seen.mean_log) && seen.weight > 0)
		{
			kept.push_back(seen);
			kept.back().mean_log = std::clamp(seen.mean_log, -max_log, max_log);
			kept.back().weight = std::min(seen.weight, max_weight);
		}
	}
	return kept;
}
} // namespace

void pace_board::add(const std::vector<routing::replica_pace>& observed)
{
	for (const auto& seen : observed)
	{
		auto& sum = sums_[{seen.replica, seen.incarnation}];
		sum.weighted_log += seen.weight * seen.mean_log;
		sum.weight += seen.weight;
		++sum.vms;
	}
}

/// Sums without a VM are dropped, and with them the errors of rounding.
void pace_board::subtract(const std::vector<routing::replica_pace>& observed)
{
	for (const auto& seen : observed)
	{
		const auto found = sums_.find({seen.replica, seen.incarnation});
		auto& sum = found->second;
		sum.weighted_log -= seen.weight * seen.mean_log;
		sum.weight -= seen.weight;
		if (--sum.vms == 0)
		{
			sums_.erase(found);
		}
	}
}

void pace_board::drop_expired(instant now)
{
	std::erase_if(by_reporter_,
		[&](const auto& entry)
		{
			const bool is_expired = now - entry.second.at > report_lifetime;
			if (is_expired)
			{
				subtract(entry.second.observed);
			}
			return is_expired;
		});
}

void pace_board::set(
	const std::string& reporter, const std::vector<routing::replica_pace>& observed, instant now)
{
	auto& kept = by_reporter_[reporter];
	subtract(kept.observed);
	kept = {bounded(observed), now};
	add(kept.observed);
}

std::vector<routing::replica_pace> pace_board::pooled() const
{
	std::vector<routing::replica_pace> all;
	all.reserve(sums_.size());
	for (const auto& [key, sum] : sums_)
	{
		if (sum.weight > 0)
		{
			all.push_back({key.first, key.second, sum.weighted_log / sum.weight, sum.weight});
		}
	}
	return all;
}

std::vector<routing::replica_pace> pace_board::pooled_excluding(const std::string& reporter, instant now)
{
	drop_expired(now);
	const auto own = by_reporter_.find(reporter);
	const bool has_own = own != by_reporter_.end();
	if (has_own)
	{
		subtract(own->second.observed);
	}
	auto all = pooled();
	if (has_own)
	{
		add(own->second.observed);
	}
	if (all.size() > max_engines)
	{
		const auto end = all.begin() + max_engines;
		std::nth_element(all.begin(), end, all.end(),
			[](const auto& first, const auto& second) { return first.weight > second.weight; });
		all.erase(end, all.end());
	}
	return all;
}
} // namespace gingerdyke::control
