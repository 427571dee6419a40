// SPDX-License-Identifier: MIT
// What this VM knows of each replica, and the choice among them.
#include <algorithm>
#include <array>
#include <cmath>
#include <gingerdyke/base/crypto.hpp>
#include <gingerdyke/decision/replica_board.hpp>

namespace gingerdyke::decision
{
const char* name_of(standing standing) noexcept
{
	constexpr std::array names{
		"open", "other-failure-domain", "full", "set-aside", "leaving", "tried-already"};
	return names.at(static_cast<std::size_t>(standing));
}

replica_board::replica_board(random_source random, board_tuning tuning)
	: random_(std::move(random)), tuning_(tuning)
{
}

replica_choice replica_board::choose(const std::vector<const table::replica_row*>& candidates,
	const failure_domain_id& own_domain, std::uint64_t prefix, const std::vector<replica_id>& tried,
	const std::function<bool(const replica_id&)>& leaves, instant now)
{
	replica_choice choice;
	std::vector<const table::replica_row*> far;
	std::vector<const table::replica_row*> open;
	const auto weigh = [&](const table::replica_row* row)
	{
		const auto why = standing_of(*row, tried, leaves(row->id), now);
		choice.weighed.push_back({row->id, why, load_of(states_[row->id], now)});
		if (why == standing::open)
		{
			open.push_back(row);
		}
	};
	for (const auto* row : candidates)
	{
		if (row->failure_domain == own_domain)
		{
			weigh(row);
		}
		else
		{
			far.push_back(row);
		}
	}
	if (open.empty())
	{
		std::for_each(far.begin(), far.end(), weigh);
	}
	choice.chosen = best_of(open, prefix, now, choice.by_affinity);
	return choice;
}

standing replica_board::standing_of(
	const table::replica_row& row, const std::vector<replica_id>& tried, bool leaves, instant now)
{
	const auto& state = states_[row.id];
	if (std::find(tried.begin(), tried.end(), row.id) != tried.end())
	{
		return standing::tried_already;
	}
	if (leaves || now < state.leaving_until)
	{
		return standing::leaving;
	}
	if (now < state.set_aside_until)
	{
		return standing::set_aside;
	}
	return state.in_flight >= row.slots ? standing::full : standing::open;
}

double replica_board::load_of(const state& state, instant now) const
{
	const auto age = static_cast<double>((now - state.reported_at).count());
	const auto trust = std::exp2(-age / static_cast<double>(tuning_.load_half_life.count()));
	return std::max(static_cast<double>(state.in_flight), state.reported_load * trust);
}

const table::replica_row* replica_board::best_of(
	const std::vector<const table::replica_row*>& open, std::uint64_t prefix, instant now, bool& by_affinity)
{
	if (open.empty())
	{
		return nullptr;
	}
	const auto load = [&](const table::replica_row* row) { return load_of(states_[row->id], now); };
	if (prefix != 0)
	{
		double sum = 0;
		for (const auto* row : open)
		{
			sum += load(row);
		}
		const auto mean = (sum + 1) / static_cast<double>(open.size());
		const auto weight = [&](const table::replica_row* row)
		{ return mix_hash(prefix, stable_hash(row->id.str())); };
		const auto* favoured = *std::max_element(
			open.begin(), open.end(), [&](const auto* a, const auto* b) { return weight(a) < weight(b); });
		if (load(favoured) <= std::ceil(mean * tuning_.affinity_bound))
		{
			by_affinity = true;
			return favoured;
		}
	}
	const auto* first = open[random_below(random_, open.size())];
	const auto* second = open[random_below(random_, open.size())];
	return load(second) < load(first) ? second : first;
}

void replica_board::note_dispatch(const replica_id& id)
{
	++states_[id].in_flight;
}

void replica_board::note_end(const replica_id& id)
{
	auto& count = states_[id].in_flight;
	count -= count > 0 ? 1 : 0;
}

void replica_board::note_load(const replica_id& id, double load, instant now)
{
	auto& state = states_[id];
	state.reported_load = load;
	state.reported_at = now;
}

void replica_board::note_success(const replica_id& id)
{
	states_[id].failures = 0;
}

void replica_board::note_failure(const replica_id& id, instant now)
{
	auto& state = states_[id];
	constexpr unsigned most_doublings = 16;
	const auto doublings = std::min(state.failures++, most_doublings);
	state.set_aside_until = now + std::min(tuning_.longest_pause, tuning_.first_pause * (1U << doublings));
}

void replica_board::note_leaving(const replica_id& id, instant now)
{
	states_[id].leaving_until = now + tuning_.leaving_pause;
}

unsigned replica_board::in_flight(const replica_id& id) const
{
	const auto found = states_.find(id);
	return found == states_.end() ? 0 : found->second.in_flight;
}
} // namespace gingerdyke::decision
