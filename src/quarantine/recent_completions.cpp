// SPDX-License-Identifier: MIT
// Completions of prompts with certain parts a short time ago.
#include <gingerdyke/quarantine/recent_completions.hpp>

namespace gingerdyke::quarantine
{
void recent_completions::add(const content_key& part, const completion& completed, instant now)
{
	const auto [found, is_new] = by_part_.try_emplace(part);
	auto& known = found->second;
	if (!is_new)
	{
		by_age_.erase(known.place);
	}
	known.place = by_age_.insert(by_age_.end(), part);
	known.completions.push_back({completed, now});
	if (known.completions.size() > tuning_.max_completions)
	{
		known.completions.erase(known.completions.begin());
	}
	if (by_part_.size() > tuning_.max_parts)
	{
		by_part_.erase(by_age_.front());
		by_age_.pop_front();
	}
}

bool recent_completions::is_known(const content_key& part, instant now) const
{
	const auto found = by_part_.find(part);
	return found != by_part_.end() && now - found->second.completions.back().at <= tuning_.memory;
}

std::vector<recent_completions::completion> recent_completions::of(const content_key& part, instant now) const
{
	std::vector<completion> completions;
	const auto found = by_part_.find(part);
	if (found == by_part_.end())
	{
		return completions;
	}
	for (const auto& known : found->second.completions)
	{
		if (now - known.at <= tuning_.lifetime)
		{
			completions.push_back(known.completed);
		}
	}
	return completions;
}
} // namespace gingerdyke::quarantine
