// SPDX-License-Identifier: MIT
// Meters what this VM's callers ask of each service and what becomes of it.
#include <algorithm>
#include <cmath>
#include <gingerdyke/limits/load_meter.hpp>
#include <numeric>

namespace gingerdyke::limits
{
load_meter::service_rates& load_meter::rates_of(const service_id& service, instant now)
{
	if (!started_at_)
	{
		started_at_ = now;
	}
	return rates_.try_emplace(service, tuning_.time_constant).first->second;
}

/// The first event of a single service is no measure of the time: its rate would seem high just because it
/// has begun.
double load_meter::observed_share(instant now) const
{
	const auto observed = std::max<duration>(now - started_at_.value_or(now), tuning_.min_observed);
	return 1 - std::exp(-to_milliseconds(observed) / to_milliseconds(tuning_.time_constant));
}

void load_meter::record_arrival(const service_id& service, admission_rank rank, double work, instant now)
{
	rates_of(service, now).arrivals[rank].add(work, now);
}

void load_meter::record_response(
	const service_id& service, double work, duration took, bool is_in_time, instant now)
{
	auto& rates = rates_of(service, now);
	rates.responses.add(work, now);
	rates.response_count.add(1, now);
	rates.response_ms.add(to_milliseconds(took), now);
	if (is_in_time)
	{
		rates.in_time.add(work, now);
	}
}

void load_meter::record_rejection(const service_id& service, double work, instant now)
{
	rates_of(service, now).rejections.add(work, now);
}

/// A VM that has just started has metered for less than the averaging time.
service_load load_meter::load_from(const service_id& service, const service_rates& rates, instant now) const
{
	const auto share = observed_share(now);
	service_load load;
	load.service = service;
	for (admission_rank rank = 0; rank < rank_count; ++rank)
	{
		load.arrivals_per_s[rank] = rates.arrivals[rank].per_s(now) / share;
	}
	load.responses_per_s = rates.responses.per_s(now) / share;
	load.in_time_per_s = rates.in_time.per_s(now) / share;
	load.rejections_per_s = rates.rejections.per_s(now) / share;
	const auto responses = rates.response_count.per_s(now);
	if (responses > 0)
	{
		load.mean_response = scaled(std::chrono::milliseconds{1}, rates.response_ms.per_s(now) / responses);
	}
	load.vms = 1;
	return load;
}

service_load load_meter::load_of(const service_id& service, instant now) const
{
	const auto found = rates_.find(service);
	if (found == rates_.end())
	{
		service_load none;
		none.service = service;
		none.vms = 1;
		return none;
	}
	return load_from(service, found->second, now);
}

std::vector<service_load> load_meter::loads(instant now) const
{
	std::vector<service_load> all;
	for (const auto& [service, rates] : rates_)
	{
		auto load = load_from(service, rates, now);
		const auto arrivals = std::accumulate(load.arrivals_per_s.begin(), load.arrivals_per_s.end(), 0.0);
		const auto total = arrivals + load.responses_per_s + load.rejections_per_s;
		if (total >= tuning_.negligible_per_s)
		{
			all.push_back(std::move(load));
		}
	}
	return all;
}
} // namespace gingerdyke::limits
