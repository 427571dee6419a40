// SPDX-License-Identifier: MIT
// Since when a part of prompts makes replicas exit, as far as the evidence tells.
#include <algorithm>
#include <gingerdyke/quarantine/change_point.hpp>
#include <vector>

namespace gingerdyke::quarantine
{
namespace
{
/// An answer that began so shortly after an exit says nothing on what came after it: VMs learn of exits with
/// different delays, and their event loops record both late.
constexpr duration time_tolerance = std::chrono::milliseconds{200};

struct weighted_exit
{
	instant at;
	double weight{};
};

std::vector<weighted_exit> exits_newest_first(
	const suspicion& evidence, const std::function<double(process_instance)>& weight)
{
	std::vector<weighted_exit> exits;
	exits.reserve(evidence.ended.size());
	for (const auto& [process, simultaneous] : evidence.ended)
	{
		exits.push_back({evidence.exit_time(process), weight(process)});
	}
	std::sort(exits.begin(), exits.end(),
		[](const weighted_exit& a, const weighted_exit& b) { return a.at > b.at; });
	return exits;
}

std::vector<instant> completions_newest_first(const suspicion& evidence)
{
	std::vector<instant> began;
	began.reserve(evidence.survived.size());
	for (const auto completion : evidence.survived)
	{
		began.push_back(evidence.completion_time(completion));
	}
	std::sort(began.begin(), began.end(), std::greater<>{});
	return began;
}
} // namespace

change_point find_change_point(const suspicion& evidence,
	const std::function<double(process_instance)>& weight, double exits_per_completion)
{
	const auto exits = exits_newest_first(evidence, weight);
	const auto completions = completions_newest_first(evidence);
	change_point current;
	change_point best;
	for (const auto& exit : exits)
	{
		current.since = exit.at;
		++current.exits;
		current.weight += exit.weight;
		while (current.completions < completions.size() &&
			   completions[current.completions] >= exit.at + time_tolerance)
		{
			++current.completions;
		}
		current.strength = current.weight - exits_per_completion * static_cast<double>(current.completions);
		if (best.exits == 0 || current.strength >= best.strength)
		{
			best = current;
		}
	}
	return best;
}
} // namespace gingerdyke::quarantine
