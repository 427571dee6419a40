// SPDX-License-Identifier: MIT
// What the answers of an old and a new version tell, as counts that VMs add up.
#include <algorithm>
#include <gingerdyke/base/crypto.hpp>
#include <gingerdyke/rollout/version_evidence.hpp>

namespace gingerdyke::rollout
{
answer_counts& answer_counts::operator+=(const answer_counts& other) noexcept
{
	answers += other.answers;
	failed += other.failed;
	return *this;
}

answer_counts& answer_counts::operator-=(const answer_counts& other) noexcept
{
	answers -= std::min(answers, other.answers);
	failed -= std::min(failed, other.failed);
	return *this;
}

std::size_t replica_group_of(const replica_id& id) noexcept
{
	return stable_hash(id.str()) % replica_groups;
}

answer_counts route_evidence::all_new() const noexcept
{
	answer_counts sum;
	for (const auto& one : new_version)
	{
		sum += one;
	}
	return sum;
}

route_evidence& route_evidence::operator+=(const route_evidence& other) noexcept
{
	old_version += other.old_version;
	for (std::size_t i = 0; i < replica_groups; ++i)
	{
		new_version[i] += other.new_version[i];
	}
	return *this;
}

route_evidence& route_evidence::operator-=(const route_evidence& other) noexcept
{
	old_version -= other.old_version;
	for (std::size_t i = 0; i < replica_groups; ++i)
	{
		new_version[i] -= other.new_version[i];
	}
	return *this;
}

version_evidence& version_evidence::operator+=(const version_evidence& other)
{
	for (const auto& [route, seen] : other.by_route)
	{
		by_route[route] += seen;
	}
	for (const auto& [model, seen] : other.by_model)
	{
		auto& to = by_model[model];
		to.before += seen.before;
		to.old_version += seen.old_version;
		to.new_version += seen.new_version;
	}
	at_peak += other.at_peak;
	return *this;
}

version_evidence& version_evidence::operator-=(const version_evidence& other)
{
	for (const auto& [route, seen] : other.by_route)
	{
		by_route[route] -= seen;
	}
	for (const auto& [model, seen] : other.by_model)
	{
		auto& from = by_model[model];
		from.before -= seen.before;
		from.old_version -= seen.old_version;
		from.new_version -= seen.new_version;
	}
	at_peak -= other.at_peak;
	return *this;
}

answer_counts version_evidence::all_old() const noexcept
{
	auto sum = at_peak.old_version;
	for (const auto& [route, seen] : by_route)
	{
		sum += seen.old_version;
	}
	return sum;
}

answer_counts version_evidence::all_new() const noexcept
{
	auto sum = at_peak.all_new();
	for (const auto& [route, seen] : by_route)
	{
		sum += seen.all_new();
	}
	return sum;
}

std::uint64_t version_evidence::new_answers() const noexcept
{
	return all_new().answers;
}

std::uint64_t version_evidence::all_answers() const noexcept
{
	return new_answers() + all_old().answers;
}
} // namespace gingerdyke::rollout
