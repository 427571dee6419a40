// SPDX-License-Identifier: MIT
// How fast each engine is, compared with the other engines of its service.
#include <algorithm>
#include <cmath>
#include <gingerdyke/routing/engine_pace.hpp>

namespace gingerdyke::routing
{
namespace
{
double remaining_weight(duration passed, duration half_life)
{
	return std::exp2(-std::max(0.0, to_milliseconds(passed)) / to_milliseconds(half_life));
}

template <typename Map>
void erase_replica(Map& from, const replica_id& id)
{
	auto next = from.lower_bound({id, replica_incarnation{}});
	while (next != from.end() && next->first.first == id)
	{
		next = from.erase(next);
	}
}
} // namespace

engine_pace::engine_pace(change_hook changed, engine_pace_tuning tuning)
	: changed_(std::move(changed)), tuning_(tuning)
{
}

engine_pace::decayed_mean engine_pace::decayed(const decayed_mean& mean, instant now) const
{
	return {mean.mean, mean.weight * remaining_weight(now - mean.at, tuning_.engine_half_life), now};
}

engine_pace::decayed_mean engine_pace::known_of(const replica& engine, instant now) const
{
	const process key{engine.id, engine.incarnation};
	decayed_mean known{0, 0, now};
	const auto add = [&](const auto& from)
	{
		if (const auto found = from.find(key); found != from.end())
		{
			const auto part = decayed(found->second, now);
			known.weight += part.weight;
			known.mean += part.weight * part.mean;
		}
	};
	add(own_);
	add(peers_);
	if (known.weight < tuning_.min_weight)
	{
		return {0, 0, now};
	}
	known.mean /= known.weight;
	return known;
}

/// A response may arrive after its replica was forgotten.
void engine_pace::drop_unused(instant now)
{
	if (now - dropped_at_ < tuning_.state_lifetime)
	{
		return;
	}
	dropped_at_ = now;
	std::erase_if(own_, [&](const auto& entry) { return now - entry.second.at > tuning_.state_lifetime; });
}

void engine_pace::decay(service_pace& service, instant now) const
{
	const auto remaining = remaining_weight(now - service.at, tuning_.service_half_life);
	for (auto* sum : {&service.responses, &service.sum_log, &service.comparisons, &service.comparison_shares,
			 &service.sum_square, &service.sum_product, &service.sum_product_square})
	{
		*sum *= remaining;
	}
	const auto recent = remaining_weight(now - service.at, tuning_.engine_half_life);
	for (auto* sum : {&service.recent, &service.recent_expected})
	{
		*sum *= recent;
	}
	service.at = now;
}

void engine_pace::record(const replica& engine, double work, duration took, instant now)
{
	drop_unused(now);
	auto& service = services_[engine.service];
	decay(service, now);
	const auto took_ms = std::max(1e-3, to_milliseconds(took));
	const auto seen =
		std::clamp(std::log(took_ms / service.line.expected_ms(work)), -tuning_.max_log, tuning_.max_log);
	service.line.record(work, took_ms, now);
	service.responses += 1;
	service.sum_log += seen;
	const auto deviation = seen - service.sum_log / service.responses;

	if (const auto known = known_of(engine, now); known.weight > 0)
	{
		record_known(service, {seen, known.mean, known.weight / (1 + known.weight), now});
		update_effect(engine.service, service);
	}
	auto& own = own_[{engine.id, engine.incarnation}];
	own = decayed(own, now);
	own.weight += 1;
	own.mean += (deviation - own.mean) / own.weight;
}

/// Only responses close to each other are compared, and expectations by the same reports: otherwise a service
/// that becomes slower as a whole would count as engines that differ.
void engine_pace::record_known(service_pace& service, const known_response& response) const
{
	auto& window = service.window;
	const bool is_old = response.at - window.since > tuning_.engine_half_life;
	if (window.reports != peer_reports_ || is_old)
	{
		window = {0, 0, 0, 0, peer_reports_, response.at};
	}
	if (window.count > 0)
	{
		compare(service, response);
	}
	++window.count;
	window.sum_log += response.log;
	window.sum_expected += response.expected;
	window.sum_share += response.share;
	service.recent += 1;
	service.recent_expected += response.expected;
}

/// An expectation from few responses counts for less, as most of it is noise.
void engine_pace::compare(service_pace& service, const known_response& response)
{
	const auto& window = service.window;
	const auto count = static_cast<double>(window.count);
	// The variance of a difference from the mean of several is larger than that of one by the inverse.
	const auto one_variance = count / (count + 1);
	const auto share = std::min(response.share, window.sum_share / count);
	const auto difference = response.log - window.sum_log / count;
	const auto expected = response.expected - window.sum_expected / count;
	const auto product = share * one_variance * difference * expected;
	service.comparisons += 1;
	service.comparison_shares += share;
	service.sum_square += one_variance * difference * difference;
	service.sum_product += product;
	service.sum_product_square += product * product;
}

/// The noise of a response is independent of that of earlier ones, so it adds nothing to the mean product.
double engine_pace::variance_of_paces(const service_pace& service)
{
	return service.comparison_shares > 0 ? std::max(0.0, service.sum_product / service.comparison_shares) : 0;
}

void engine_pace::update_effect(const service_id& id, service_pace& service)
{
	const auto errors = service.sum_product / std::sqrt(std::max(1e-12, service.sum_product_square));
	const auto spread = std::sqrt(variance_of_paces(service));
	const auto required = service.is_in_effect ? tuning_.errors_to_end : tuning_.errors_to_begin;
	const auto min_comparisons = service.is_in_effect ? 0 : tuning_.min_comparisons;
	const auto required_spread = service.is_in_effect ? tuning_.min_spread / 2 : tuning_.min_spread;
	const bool differ =
		service.comparisons >= min_comparisons && errors >= required && spread >= required_spread;
	if (std::exchange(service.is_in_effect, differ) != differ)
	{
		changed_({id, differ, spread});
	}
}

double engine_pace::shrunk(const service_pace& service, const decayed_mean& mean) const
{
	const auto paces = variance_of_paces(service);
	if (paces <= 0)
	{
		return 0;
	}
	const auto noise = std::max(0.0, service.sum_square / service.comparisons - paces);
	const auto common = service.recent > 0 ? service.recent_expected / service.recent : 0;
	return (mean.mean - common) * paces / (paces + noise / mean.weight);
}

double engine_pace::factor(const replica& engine, instant now) const
{
	const auto service = services_.find(engine.service);
	if (service == services_.end() || !service->second.is_in_effect)
	{
		return 1;
	}
	const auto known = known_of(engine, now);
	if (known.weight <= 0)
	{
		return 1;
	}
	return std::clamp(std::exp(shrunk(service->second, known)), 1 / tuning_.max_factor, tuning_.max_factor);
}

std::vector<replica_pace> engine_pace::own(instant now) const
{
	std::vector<replica_pace> all;
	for (const auto& [key, mean] : own_)
	{
		const auto current = decayed(mean, now);
		if (current.weight >= tuning_.min_weight)
		{
			all.push_back({key.first, key.second, current.mean, current.weight});
		}
	}
	if (all.size() > tuning_.max_reported)
	{
		const auto end = all.begin() + static_cast<std::ptrdiff_t>(tuning_.max_reported);
		std::nth_element(all.begin(), end, all.end(),
			[](const auto& first, const auto& second) { return first.weight > second.weight; });
		all.erase(end, all.end());
	}
	return all;
}

void engine_pace::set_peer_paces(const std::vector<replica_pace>& paces, instant now)
{
	peers_.clear();
	++peer_reports_;
	for (const auto& pace : paces)
	{
		if (!std::isfinite(pace.mean_log) || !(pace.weight > 0))
		{
			continue;
		}
		if (peers_.size() >= tuning_.max_reported)
		{
			return;
		}
		peers_[{pace.replica, pace.incarnation}] = {
			std::clamp(pace.mean_log, -tuning_.max_log, tuning_.max_log),
			std::min(pace.weight, tuning_.max_weight), now};
	}
}

void engine_pace::forget(const replica_id& id)
{
	erase_replica(own_, id);
	erase_replica(peers_, id);
}

std::vector<pace_state> engine_pace::states() const
{
	std::vector<pace_state> all;
	all.reserve(services_.size());
	for (const auto& [id, service] : services_)
	{
		all.push_back({id, service.is_in_effect, std::sqrt(variance_of_paces(service))});
	}
	return all;
}
} // namespace gingerdyke::routing
