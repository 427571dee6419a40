// SPDX-License-Identifier: MIT
// Which of the parts that stood in prompts when replicas exited are to blame.
#include <algorithm>
#include <gingerdyke/quarantine/blamed_parts.hpp>
#include <tuple>

namespace gingerdyke::quarantine
{
namespace
{
bool is_more_suspect(const part_candidate& a, const part_candidate& b)
{
	const auto margin_a = a.strength - a.required_exits;
	const auto margin_b = b.strength - b.required_exits;
	return std::tie(margin_b, a.completions, a.required_exits, a.exits, a.key) <
		   std::tie(margin_a, b.completions, b.required_exits, b.exits, b.key);
}
} // namespace

bool blamed_parts::overlap(const content_keys& request) const
{
	return std::any_of(
		parts.begin(), parts.end(), [&](const content_key& part) { return request.contains(part); });
}

std::vector<blamed_parts> find_blamed_parts(std::vector<part_candidate> candidates)
{
	std::sort(candidates.begin(), candidates.end(), is_more_suspect);
	std::vector<blamed_parts> blamed;
	std::set<process_instance> explained;
	const part_candidate* last = nullptr;
	for (const auto& candidate : candidates)
	{
		const auto& exits = candidate.exits;
		const bool is_like_last = last != nullptr && blamed.back().exits == exits &&
								  last->required_exits == candidate.required_exits &&
								  last->completions == candidate.completions;
		if (is_like_last)
		{
			blamed.back().parts.push_back(candidate.key);
			continue;
		}
		const auto unexplained = std::count_if(exits.begin(), exits.end(),
			[&](process_instance process) { return !explained.contains(process); });
		if (static_cast<double>(unexplained) < candidate.required_exits)
		{
			continue;
		}
		explained.insert(exits.begin(), exits.end());
		last = &candidate;
		blamed.push_back({{candidate.key}, exits});
	}
	return blamed;
}
} // namespace gingerdyke::quarantine
