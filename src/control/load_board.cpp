// SPDX-License-Identifier: MIT
// Sums the loads of services that VMs report.
#include <algorithm>
#include <cmath>
#include <gingerdyke/control/load_board.hpp>

namespace gingerdyke::control
{
namespace
{
/// VMs report with their polls, about once a second.
constexpr duration report_lifetime = std::chrono::milliseconds{2500};

constexpr double permille = 1000;

double whole(double value)
{
	return std::round(value * permille);
}
} // namespace

void load_board::add(load_sum& to, const limits::service_load& load, double sign)
{
	for (limits::admission_rank rank = 0; rank < limits::rank_count; ++rank)
	{
		to.arrivals[rank] += sign * whole(load.arrivals_per_s[rank]);
	}
	to.responses += sign * whole(load.responses_per_s);
	to.in_time += sign * whole(load.in_time_per_s);
	to.rejections += sign * whole(load.rejections_per_s);
	to.response_us += sign * whole(load.responses_per_s) * static_cast<double>(load.mean_response.count());
}

limits::service_load load_board::load_from(const service_id& service, const load_sum& sum, std::size_t vms)
{
	limits::service_load load;
	load.service = service;
	for (limits::admission_rank rank = 0; rank < limits::rank_count; ++rank)
	{
		load.arrivals_per_s[rank] = sum.arrivals[rank] / permille;
	}
	load.responses_per_s = sum.responses / permille;
	load.in_time_per_s = sum.in_time / permille;
	load.rejections_per_s = sum.rejections / permille;
	if (sum.responses > 0)
	{
		load.mean_response = duration{std::llround(sum.response_us / sum.responses)};
	}
	load.vms = static_cast<unsigned>(vms);
	return load;
}

void load_board::add(const std::vector<limits::service_load>& loads)
{
	for (const auto& load : loads)
	{
		auto& sum = sums_[load.service];
		add(sum, load, 1);
		++sum.reports;
	}
}

void load_board::subtract(const std::vector<limits::service_load>& loads)
{
	for (const auto& load : loads)
	{
		const auto found = sums_.find(load.service);
		add(found->second, load, -1);
		if (--found->second.reports == 0)
		{
			sums_.erase(found);
		}
	}
}

void load_board::drop_expired(instant now)
{
	std::erase_if(by_reporter_,
		[&](const auto& entry)
		{
			const bool is_expired = now - entry.second.at > report_lifetime;
			if (is_expired)
			{
				subtract(entry.second.loads);
			}
			return is_expired;
		});
}

void load_board::set(const std::string& reporter, std::vector<limits::service_load> loads, instant now)
{
	auto& kept = by_reporter_[reporter];
	subtract(kept.loads);
	add(loads);
	kept = {std::move(loads), now};
}

std::vector<limits::service_load> load_board::sum_excluding(const std::string& reporter, instant now)
{
	drop_expired(now);
	const auto own = by_reporter_.find(reporter);
	const bool has_own = own != by_reporter_.end();
	if (has_own)
	{
		subtract(own->second.loads);
	}
	const auto vms = by_reporter_.size() - (has_own ? 1 : 0);
	std::vector<limits::service_load> all;
	all.reserve(sums_.size());
	for (const auto& [service, sum] : sums_)
	{
		all.push_back(load_from(service, sum, vms));
	}
	if (has_own)
	{
		add(own->second.loads);
	}
	return all;
}
} // namespace gingerdyke::control
