// SPDX-License-Identifier: MIT
// Which requests are admitted while a service has too little room for all of them.
#include <algorithm>
#include <gingerdyke/limits/admission.hpp>
#include <numeric>

namespace gingerdyke::limits
{
admitted_shares divide_room(
	double room_per_s, const std::array<double, rank_count>& demand_per_s, const admission_tuning& tuning)
{
	admitted_shares shares{};
	const auto demand_sum = std::accumulate(demand_per_s.begin(), demand_per_s.end(), 0.0);
	const auto guaranteed = demand_sum > 0 ? std::min(tuning.guaranteed_share,
												 tuning.max_guaranteed_part * room_per_s / demand_sum)
										   : tuning.guaranteed_share;
	double left = room_per_s;
	for (const auto demand : demand_per_s)
	{
		left -= guaranteed * demand;
	}
	for (admission_rank rank = 0; rank < rank_count; ++rank)
	{
		const auto wanted = (1 - guaranteed) * demand_per_s[rank];
		const auto granted = std::clamp(left, 0.0, wanted);
		left -= granted;
		const auto share = wanted > 0 ? granted / wanted : (left > 0 ? 1.0 : 0.0);
		shares[rank] = guaranteed + (1 - guaranteed) * share;
	}
	return shares;
}

duration time_until_room(double room_per_s, const std::array<double, rank_count>& demand_per_s,
	admission_rank rank, const admission_tuning& tuning)
{
	if (room_per_s <= 0)
	{
		return tuning.max_wait;
	}
	const auto shares = divide_room(room_per_s, demand_per_s, tuning);
	double refused_per_s = 0;
	for (admission_rank earlier = 0; earlier <= rank; ++earlier)
	{
		refused_per_s += (1 - shares[earlier]) * demand_per_s[earlier];
	}
	return std::clamp(
		scaled(std::chrono::seconds{1}, refused_per_s / room_per_s), tuning.min_wait, tuning.max_wait);
}

admission::admission(const random_source& random)
{
	shares_.fill(1);
	for (auto& credit : credit_)
	{
		credit = random_unit(random);
	}
}

bool admission::admit(admission_rank rank) noexcept
{
	auto& credit = credit_[rank];
	credit += shares_[rank];
	if (credit < 1)
	{
		return false;
	}
	credit -= 1;
	return true;
}
} // namespace gingerdyke::limits
