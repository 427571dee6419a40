// SPDX-License-Identifier: MIT
// Observations of the responses of an old and a new version, as counts that can be summed over VMs.
#include <algorithm>
#include <gingerdyke/rollout/version_evidence.hpp>

namespace gingerdyke::rollout
{
namespace
{
void add(latencies_by_model& to, const latencies_by_model& other)
{
	for (const auto& [model, seen] : other)
	{
		to[model] += seen;
	}
}

void subtract(latencies_by_model& from, const latencies_by_model& other)
{
	for (const auto& [model, seen] : other)
	{
		from[model] -= seen;
	}
}

std::uint64_t size_of(const latencies_by_model& latencies)
{
	std::uint64_t sum = 0;
	for (const auto& [model, seen] : latencies)
	{
		sum += seen.baseline.size() + seen.pre_trial.size() + seen.old_version.sum().size() +
			   seen.new_version.sum().size();
	}
	return sum;
}
} // namespace

// The constants for idle engines give the order of magnitude for typical engines; precision is not needed,
// since only ratios of two versions are compared.

double relative_first_byte_latency(duration took, double prompt_tokens) noexcept
{
	constexpr double idle_ms = 20;
	constexpr double tokens_per_ms = 50;
	return to_milliseconds(took) / (idle_ms + prompt_tokens / tokens_per_ms);
}

double relative_event_interval(duration between_events) noexcept
{
	constexpr double idle_ms = 20;
	return to_milliseconds(between_events) / idle_ms;
}

route_evidence& route_evidence::operator+=(const route_evidence& other)
{
	pre_trial += other.pre_trial;
	old_version += other.old_version;
	new_version += other.new_version;
	return *this;
}

route_evidence& route_evidence::operator-=(const route_evidence& other)
{
	pre_trial -= other.pre_trial;
	old_version -= other.old_version;
	new_version -= other.new_version;
	return *this;
}

latency_evidence& latency_evidence::operator+=(const latency_evidence& other)
{
	baseline += other.baseline;
	pre_trial += other.pre_trial;
	old_version += other.old_version;
	new_version += other.new_version;
	return *this;
}

latency_evidence& latency_evidence::operator-=(const latency_evidence& other)
{
	baseline -= other.baseline;
	pre_trial -= other.pre_trial;
	old_version -= other.old_version;
	new_version -= other.new_version;
	return *this;
}

version_evidence& version_evidence::operator+=(const version_evidence& other)
{
	for (const auto& [route, seen] : other.by_route)
	{
		by_route[route] += seen;
	}
	add(first_byte_by_model, other.first_byte_by_model);
	add(event_intervals_by_model, other.event_intervals_by_model);
	peak_load_phase += other.peak_load_phase;
	return *this;
}

version_evidence& version_evidence::operator-=(const version_evidence& other)
{
	for (const auto& [route, seen] : other.by_route)
	{
		by_route[route] -= seen;
	}
	subtract(first_byte_by_model, other.first_byte_by_model);
	subtract(event_intervals_by_model, other.event_intervals_by_model);
	peak_load_phase -= other.peak_load_phase;
	return *this;
}

route_evidence version_evidence::all_routes() const
{
	route_evidence all;
	for (const auto& [route, seen] : by_route)
	{
		all += seen;
	}
	return all;
}

std::uint64_t version_evidence::new_version_responses() const
{
	return all_routes().new_version.sum().responses;
}

std::uint64_t version_evidence::size() const
{
	const auto all = all_routes();
	const auto responses =
		all.pre_trial.responses + all.old_version.sum().responses + all.new_version.sum().responses;
	return responses + size_of(first_byte_by_model) + size_of(event_intervals_by_model);
}

std::uint64_t version_evidence::failures() const
{
	const auto all = all_routes();
	return all.pre_trial.failed + all.old_version.sum().failed + all.new_version.sum().failed;
}

bool version_evidence::is_newer_than(const version_evidence& other) const
{
	const auto own_size = size();
	const auto other_size = other.size();
	return own_size > other_size || (own_size == other_size && failures() > other.failures());
}
} // namespace gingerdyke::rollout
