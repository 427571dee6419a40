// SPDX-License-Identifier: MIT
// Experiments on the decisions: production code of one component against small seeded fakes, in virtual time.
#pragma once

#include <algorithm>
#include <cstdint>
#include <functional>
#include <iostream>
#include <string>
#include <vector>

namespace gingerdyke::bench
{
/// \brief Seeds of every experiment.
inline constexpr std::uint64_t seeds = 10;

/// \brief Median and range of a figure over the seeds.
struct spread_of
{
	double median{};
	double lowest{};
	double highest{};
};

/// \brief Runs a measurement once a seed.
[[nodiscard]] inline spread_of over_seeds(const std::function<double(std::uint64_t)>& measure)
{
	std::vector<double> values;
	for (std::uint64_t seed = 1; seed <= seeds; ++seed)
	{
		values.push_back(measure(seed));
	}
	std::sort(values.begin(), values.end());
	return {(values[(values.size() - 1) / 2] + values[values.size() / 2]) / 2, values.front(), values.back()};
}

/// \brief Writes `median (lowest to highest)`.
inline std::ostream& operator<<(std::ostream& out, const spread_of& value)
{
	return out << value.median << " (" << value.lowest << " to " << value.highest << ")";
}

/// \brief Exposure to a bad version, and false alarms.
void bad_versions();

/// \brief Cost at the quality target.
void cascades();

/// \brief Latency by the choice of the replica.
void replica_choice();

/// \brief Power and false alarms of the verdict on a new version.
/// \param plays Shifts drawn of each kind.
void shifts(unsigned plays);

/// \brief Shifts with responses that break off, before and since these count.
/// \param plays Shifts drawn of each kind.
void broken_responses(unsigned plays);
} // namespace gingerdyke::bench
