// SPDX-License-Identifier: MIT
// The choice among a service's replicas.
#include <algorithm>
#include <cmath>
#include <gingerdyke/base/crypto.hpp>
#include <gingerdyke/routing/replica_selector.hpp>
#include <iterator>

namespace gingerdyke::routing
{
replica_selector::replica_selector(const replica_set& replicas, failure_domain_id own_domain,
	random_source random, ejection_hook ejected, selector_tuning tuning)
	: replicas_(replicas), own_domain_(std::move(own_domain)), random_(std::move(random)),
	  ejected_(std::move(ejected)), tuning_(tuning)
{
}

replica_ptr replica_selector::choose(const selection& what, instant now) const
{
	const auto from = usable(what, now);
	if (from.empty())
	{
		return nullptr;
	}
	return what.is_engine ? by_work(from, what, now) : by_load(from);
}

replica_selector::candidates replica_selector::usable(const selection& what, instant now) const
{
	candidates open;
	candidates all;
	candidates dark;
	// A replica that removes its entry without having said that it drains is known by the missing entry only.
	const bool avoids_suspected = replicas_.avoids_suspected(what.service);
	for (const auto& one : replicas_.of(what.service))
	{
		const bool is_avoided = avoids_suspected && replicas_.is_suspected(one->id);
		if (one->leaving || is_avoided || !what.usable(*one))
		{
			continue;
		}
		if (is_dark(one->domain, now))
		{
			dark.push_back(&one);
			continue;
		}
		all.push_back(&one);
		const auto* known = find(one->id);
		if (known == nullptr || known->ejected_until <= now)
		{
			open.push_back(&one);
		}
	}
	if (all.empty())
	{
		return dark;
	}
	// Where most look bad, the fault is more likely common to all: ejection would only add overload.
	const auto floor = tuning_.kept_share * static_cast<double>(all.size());
	return static_cast<double>(open.size()) < floor ? all : open;
}

namespace
{
/// The replica that all VMs favour for the same shared parts (rendezvous hashing).
const replica_ptr* favoured(const std::vector<const replica_ptr*>& from, std::uint64_t affinity)
{
	const replica_ptr* best = nullptr;
	std::uint64_t best_score = 0;
	for (const auto* one : from)
	{
		const auto score = mix_hash(affinity, stable_hash((*one)->id.str()));
		if (best == nullptr || score > best_score)
		{
			best = one;
			best_score = score;
		}
	}
	return best;
}
} // namespace

replica_ptr replica_selector::by_work(const candidates& from, const selection& what, instant now) const
{
	const replica_ptr* best = nullptr;
	double best_work = 0;
	const auto consider = [&](const replica_ptr* one, double spared)
	{
		const auto way = (*one)->domain == own_domain_ ? 0 : tuning_.far_work;
		const auto work = work_at(**one, now) + way - spared;
		if (best == nullptr || work < best_work)
		{
			best = one;
			best_work = work;
		}
	};
	const auto near_ones = near(from);
	if (what.affinity != 0)
	{
		const auto spared = what.shared_work + tuning_.affinity_margin * what.model_weight;
		consider(favoured(from, what.affinity), spared);
		if (!near_ones.empty() && what.model_weight < tuning_.near_affinity_below)
		{
			consider(favoured(near_ones, what.affinity), spared);
		}
	}
	for (const auto* one : draw(tuning_.drawn_near, near_ones))
	{
		consider(one, 0);
	}
	for (const auto* one : draw(tuning_.drawn, from))
	{
		consider(one, 0);
	}
	return *best;
}

replica_selector::candidates replica_selector::near(const candidates& from) const
{
	candidates found;
	std::copy_if(from.begin(), from.end(), std::back_inserter(found),
		[this](const replica_ptr* one) { return (*one)->domain == own_domain_; });
	return found;
}

replica_selector::candidates replica_selector::draw(unsigned count, const candidates& from) const
{
	if (from.size() <= count)
	{
		return from;
	}
	candidates some;
	for (unsigned i = 0; i < count; ++i)
	{
		some.push_back(from[random_below(random_, from.size())]);
	}
	return some;
}

double replica_selector::work_at(const replica& one, instant now) const
{
	const auto* known = find(one.id);
	const auto own = known == nullptr ? 0 : known->open_tokens;
	const auto elsewhere = elsewhere_.find(one.id);
	const bool is_told = elsewhere != elsewhere_.end() && now - elsewhere_at_ <= tuning_.elsewhere_lifetime;
	return own + (is_told ? elsewhere->second : 0);
}

replica_ptr replica_selector::by_load(const candidates& from) const
{
	const auto start = random_below(random_, from.size());
	const replica_ptr* best = nullptr;
	double best_cost = 0;
	for (std::size_t i = 0; i < from.size(); ++i)
	{
		const auto* one = from[(start + i) % from.size()];
		const auto cost = cost_of(**one);
		if (best == nullptr || cost < best_cost)
		{
			best = one;
			best_cost = cost;
		}
	}
	return *best;
}

double replica_selector::cost_of(const replica& one) const
{
	const auto* known = find(one.id);
	const auto assumed = static_cast<double>(tuning_.assumed_time.count());
	const auto mean = known == nullptr || known->mean_us == 0 ? assumed : known->mean_us;
	const auto open = known == nullptr ? 0 : known->open;
	const auto penalty = one.domain == own_domain_ ? 0 : static_cast<double>(tuning_.far_penalty.count());
	return mean * (1 + open) + penalty;
}

void replica_selector::note_sent(const replica& one, double tokens)
{
	if (auto* known = find_current(one))
	{
		++known->open;
		known->open_tokens += tokens;
	}
}

void replica_selector::note_part_done(const replica& one, double tokens)
{
	if (auto* known = find_current(one))
	{
		known->take_off(tokens);
	}
}

void replica_selector::note_over(const replica& one, double tokens)
{
	auto* known = find_current(one);
	if (known == nullptr || known->open == 0)
	{
		return;
	}
	--known->open;
	known->take_off(tokens);
}

void replica_selector::note_result(const replica& one, replica_result result, duration took, instant now)
{
	auto* current = find_current(one);
	if (current == nullptr)
	{
		return;
	}
	note_domain(one, result, now);
	auto& known = *current;
	const bool is_unreachable = result == replica_result::not_connected;
	const bool failed =
		result == replica_result::failed || result == replica_result::no_answer || is_unreachable;
	const auto weight = tuning_.rate_weight;
	const auto value = failed ? 1.0 : 0.0;
	known.failure_rate += weight * (value - known.failure_rate);
	// The service's own rate moves slower, by as much as it has more replicas.
	auto& service_rate = service_rates_[one.service];
	const auto peers = static_cast<double>(std::max<std::size_t>(1, replicas_.of(one.service).size()));
	service_rate += weight / peers * (value - service_rate);

	if (result == replica_result::answered)
	{
		known.streak = 0;
		const auto time = static_cast<double>(took.count());
		known.mean_us = known.mean_us == 0 ? time : known.mean_us + weight * (time - known.mean_us);
	}
	if (result == replica_result::no_answer)
	{
		++known.streak;
	}
	if (is_unreachable)
	{
		known.streak = tuning_.ejection_streak;
	}
	const auto bound = std::max(tuning_.ejection_rate, tuning_.ejection_multiple * service_rate);
	if (failed && (known.streak >= tuning_.ejection_streak || known.failure_rate > bound))
	{
		eject(one, known, now);
	}
}

void replica_selector::note_domain(const replica& one, replica_result result, instant now)
{
	auto& silent = domains_[one.domain].silent;
	if (result != replica_result::no_answer && result != replica_result::not_connected)
	{
		silent.clear();
		return;
	}
	std::erase_if(silent, [&](const auto& entry) { return now - entry.second > tuning_.dark_memory; });
	silent[one.id] = now;
}

bool replica_selector::is_dark(const failure_domain_id& domain, instant now) const
{
	const auto found = domains_.find(domain);
	if (found == domains_.end())
	{
		return false;
	}
	const auto& silent = found->second.silent;
	const auto lately = std::count_if(silent.begin(), silent.end(),
		[&](const auto& entry) { return now - entry.second <= tuning_.dark_memory; });
	return static_cast<std::size_t>(lately) >= tuning_.dark_replicas;
}

void replica_selector::eject(const replica& one, state& of, instant now)
{
	if (of.ejected_until > now)
	{
		return;
	}
	constexpr unsigned longest_shift = 6;
	const auto span = tuning_.first_ejection * (1U << std::min(of.ejections, longest_shift));
	const auto bounded = std::min<duration>(span, tuning_.longest_ejection);
	++of.ejections;
	ejected_(one.id, of.failure_rate, bounded);
	of.ejected_until = now + bounded;
	// Back on probation: one more failure ejects it again, a good answer clears it.
	of.streak = tuning_.ejection_streak - 1;
	of.failure_rate = std::min(of.failure_rate, tuning_.ejection_rate);
}

void replica_selector::forget(const replica_id& id)
{
	states_.erase(id);
	elsewhere_.erase(id);
}

std::vector<replica_work> replica_selector::open_work() const
{
	std::vector<replica_work> all;
	for (const auto& [id, known] : states_)
	{
		if (known.open_tokens > 0)
		{
			all.push_back({id, known.open_tokens});
		}
	}
	return all;
}

void replica_selector::note_elsewhere(const std::vector<replica_work>& work, instant now)
{
	elsewhere_.clear();
	for (const auto& one : work)
	{
		elsewhere_[one.replica] = one.tokens;
	}
	elsewhere_at_ = now;
}

const replica_selector::state* replica_selector::find(const replica_id& id) const
{
	const auto found = states_.find(id);
	return found == states_.end() ? nullptr : &found->second;
}

replica_selector::state* replica_selector::find_current(const replica& one)
{
	return replicas_.is_current(one) ? &states_[one.id] : nullptr;
}
} // namespace gingerdyke::routing
