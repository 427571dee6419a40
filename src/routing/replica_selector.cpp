// SPDX-License-Identifier: MIT
// Load balancing among a service's replicas.
#include <algorithm>
#include <cmath>
#include <gingerdyke/base/crypto.hpp>
#include <gingerdyke/routing/group_evidence.hpp>
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

replica_ptr replica_selector::choose(const selection& request, instant now) const
{
	const auto eligible = usable(request, now);
	if (eligible.empty())
	{
		return nullptr;
	}
	auto chosen = choose_among(eligible, request, now);
	if (!request.is_full || !request.is_full(*chosen))
	{
		return chosen;
	}
	candidates with_room;
	std::copy_if(eligible.begin(), eligible.end(), std::back_inserter(with_room),
		[&](const replica_ptr* candidate) { return !request.is_full(**candidate); });
	return with_room.empty() ? chosen : choose_among(with_room, request, now);
}

replica_ptr replica_selector::choose_among(
	const candidates& from, const selection& request, instant now) const
{
	return request.is_engine ? choose_by_work(from, request, now) : choose_by_load(from);
}

namespace
{
/// Score of a replica for a shared prefix; all VMs prefer the replica with the highest (rendezvous hashing).
std::uint64_t preference(const replica& candidate, std::uint64_t affinity)
{
	return mix_hash(affinity, stable_hash(candidate.id.str()));
}

std::vector<const replica_ptr*> pointers_to(const std::vector<replica_ptr>& replicas)
{
	std::vector<const replica_ptr*> pointers;
	pointers.reserve(replicas.size());
	for (const auto& one : replicas)
	{
		pointers.push_back(&one);
	}
	return pointers;
}

/// The few replicas with the highest scores, the highest first.
class preferred_replicas
{
  public:
	preferred_replicas(std::uint64_t affinity, std::size_t count) : affinity_(affinity), count_(count) {}

	void consider(const replica_ptr& candidate)
	{
		const auto score = preference(*candidate, affinity_);
		if (best_.size() == count_ && score <= best_.back().score)
		{
			return;
		}
		const auto place = std::find_if(
			best_.begin(), best_.end(), [&](const scored_replica& other) { return score > other.score; });
		best_.insert(place, {score, &candidate});
		best_.resize(std::min(best_.size(), count_));
	}

	void append_to(std::vector<const replica_ptr*>& output) const
	{
		for (const auto& preferred : best_)
		{
			output.push_back(preferred.replica);
		}
	}

  private:
	struct scored_replica
	{
		std::uint64_t score{};
		const replica_ptr* replica{};
	};

	std::uint64_t affinity_;
	std::size_t count_;
	std::vector<scored_replica> best_;
};
} // namespace

replica_selector::candidates replica_selector::usable(const selection& request, instant now) const
{
	const auto& all = replicas_.of_service(request.service);
	if (all.size() > tuning_.max_examined)
	{
		auto found = usable_among(examined_of(request), request, now);
		if (!found.empty())
		{
			return found;
		}
	}
	return usable_among(pointers_to(all), request, now);
}

/// The part of a large service's replicas that is examined. A replica may be drawn twice.
replica_selector::candidates replica_selector::examined_of(const selection& request) const
{
	const auto& all = replicas_.of_service(request.service);
	candidates examined;
	if (request.affinity != 0)
	{
		preferred_replicas everywhere{request.affinity, tuning_.examined_preferred};
		preferred_replicas local{request.affinity, tuning_.examined_preferred};
		for (const auto& candidate : all)
		{
			everywhere.consider(candidate);
			if (candidate->domain == own_domain_)
			{
				local.consider(candidate);
			}
		}
		everywhere.append_to(examined);
		local.append_to(examined);
	}
	for (std::size_t drawn = 0; drawn < tuning_.max_examined; ++drawn)
	{
		examined.push_back(&all[random_below(random_, all.size())]);
	}
	return examined;
}

replica_selector::candidates replica_selector::usable_among(
	const candidates& examined, const selection& request, instant now) const
{
	candidates available;
	candidates reachable;
	candidates unreachable;
	// If a replica removes its registry entry without having announced that it is draining, the missing
	// entry is the only sign that it will exit.
	const bool excludes_suspected = replicas_.excludes_suspected(request.service);
	for (const auto* entry : examined)
	{
		const auto& candidate = *entry;
		const bool is_excluded = excludes_suspected && replicas_.is_suspected(candidate->id);
		if (candidate->is_draining || is_excluded || !request.usable(*candidate))
		{
			continue;
		}
		const bool is_silent = request.is_silent && request.is_silent(*candidate);
		if (is_silent || is_domain_unreachable(candidate->domain, now))
		{
			unreachable.push_back(entry);
			continue;
		}
		reachable.push_back(entry);
		const auto* stats = find_stats(candidate->id);
		if (stats == nullptr || stats->ejected_until <= now)
		{
			available.push_back(entry);
		}
	}
	if (reachable.empty())
	{
		return unreachable;
	}
	// If most replicas fail, the failures more likely have a common cause: ejecting the replicas would only
	// overload the others.
	const auto min_available = tuning_.min_available_share * static_cast<double>(reachable.size());
	return static_cast<double>(available.size()) < min_available ? reachable : available;
}

namespace
{
/// Returns the replica that all VMs prefer for the same shared prefix.
const replica_ptr* preferred(const std::vector<const replica_ptr*>& from, std::uint64_t affinity)
{
	const replica_ptr* best = nullptr;
	std::uint64_t best_score = 0;
	for (const auto* candidate : from)
	{
		const auto score = preference(**candidate, affinity);
		if (best == nullptr || score > best_score)
		{
			best = candidate;
			best_score = score;
		}
	}
	return best;
}
} // namespace

replica_ptr replica_selector::choose_by_work(
	const candidates& from, const selection& request, instant now) const
{
	const replica_ptr* best = nullptr;
	double best_work = 0;
	const auto consider = [&](const replica_ptr* candidate, double shared_work, double margin)
	{
		const auto penalty = (*candidate)->domain == own_domain_ ? 0 : tuning_.cross_domain_work;
		const auto saved_work = shared_work + margin;
		const auto work = expected_work(**candidate, request, shared_work, now) + penalty - saved_work;
		if (best == nullptr || work < best_work)
		{
			best = candidate;
			best_work = work;
		}
	};
	const auto local = in_own_domain(from);
	if (request.affinity != 0)
	{
		const auto margin = tuning_.affinity_margin * request.model_weight;
		consider(preferred(from, request.affinity), request.shared_work, margin);
		if (!local.empty() && request.model_weight < tuning_.local_affinity_below)
		{
			consider(preferred(local, request.affinity), request.shared_work, margin);
		}
	}
	for (const auto* candidate : sample(tuning_.local_samples, local))
	{
		consider(candidate, 0, 0);
	}
	for (const auto* candidate : sample(tuning_.global_samples, from))
	{
		consider(candidate, 0, 0);
	}
	return *best;
}

/// Outstanding work at an engine, as tokens that an engine of the service's mean pace would process in the
/// same time; in addition, what the request's own prompt takes longer than at such an engine.
double replica_selector::expected_work(
	const replica& candidate, const selection& request, double shared_work, instant now) const
{
	const auto queued = work_at(candidate, now);
	if (!request.pace)
	{
		return queued;
	}
	const auto own = std::max(0.0, request.own_work - shared_work);
	return queued + (request.pace(candidate) - 1) * (queued + own);
}

replica_selector::candidates replica_selector::in_own_domain(const candidates& from) const
{
	candidates local;
	std::copy_if(from.begin(), from.end(), std::back_inserter(local),
		[this](const replica_ptr* candidate) { return (*candidate)->domain == own_domain_; });
	return local;
}

replica_selector::candidates replica_selector::sample(unsigned count, const candidates& from) const
{
	if (from.size() <= count)
	{
		return from;
	}
	candidates sampled;
	for (unsigned i = 0; i < count; ++i)
	{
		sampled.push_back(from[random_below(random_, from.size())]);
	}
	return sampled;
}

double replica_selector::work_at(const replica& target, instant now) const
{
	const auto* stats = find_stats(target.id);
	const auto own = stats == nullptr ? 0 : stats->outstanding_tokens;
	const auto* remote = find_remote_work(target.id, now);
	return own + (remote == nullptr ? 0 : remote->tokens);
}

double replica_selector::requests_at(const replica& target, instant now) const
{
	const auto* remote = find_remote_work(target.id, now);
	return requests_in_progress(target) + (remote == nullptr ? 0 : remote->requests);
}

const replica_work* replica_selector::find_remote_work(const replica_id& id, instant now) const
{
	const auto found = remote_work_.find(id);
	return found != remote_work_.end() && has_remote_work(now) ? &found->second : nullptr;
}

replica_ptr replica_selector::choose_by_load(const candidates& from) const
{
	const auto start = random_below(random_, from.size());
	const replica_ptr* best = nullptr;
	double best_cost = 0;
	for (std::size_t i = 0; i < from.size(); ++i)
	{
		const auto* candidate = from[(start + i) % from.size()];
		const auto cost = cost_of(**candidate);
		if (best == nullptr || cost < best_cost)
		{
			best = candidate;
			best_cost = cost;
		}
	}
	return *best;
}

double replica_selector::cost_of(const replica& target) const
{
	const auto* stats = find_stats(target.id);
	const auto assumed_us = static_cast<double>(tuning_.assumed_response_time.count());
	const auto response_us =
		stats == nullptr || stats->mean_response_us == 0 ? assumed_us : stats->mean_response_us;
	const auto outstanding_requests = stats == nullptr ? 0 : stats->outstanding_requests;
	const auto penalty_us =
		target.domain == own_domain_ ? 0 : static_cast<double>(tuning_.cross_domain_penalty.count());
	return response_us * (1 + outstanding_requests) + penalty_us;
}

void replica_selector::record_sent(const replica& target, double tokens)
{
	if (auto* stats = find_current(target))
	{
		++stats->outstanding_requests;
		stats->outstanding_tokens += tokens;
	}
}

void replica_selector::record_progress(const replica& target, double tokens)
{
	if (auto* stats = find_current(target))
	{
		stats->remove_work(tokens);
	}
}

void replica_selector::record_completion(const replica& target, double tokens)
{
	auto* stats = find_current(target);
	if (stats == nullptr || stats->outstanding_requests == 0)
	{
		return;
	}
	--stats->outstanding_requests;
	stats->remove_work(tokens);
}

void replica_selector::record_result(const replica& target, replica_result result, duration took, instant now)
{
	auto* current = find_current(target);
	if (current == nullptr)
	{
		return;
	}
	record_domain_result(target, result, now);
	auto& stats = *current;
	const bool is_unreachable = result == replica_result::not_connected;
	const bool failed =
		result == replica_result::failed || result == replica_result::no_response || is_unreachable;
	const auto weight = tuning_.failure_rate_weight;
	const auto value = failed ? 1.0 : 0.0;
	stats.failure_rate += weight * (value - stats.failure_rate);
	// The service's failure rate is averaged over all its replicas, so each result has a smaller weight.
	auto& service_rate = service_failure_rates_[target.service];
	const auto peers =
		static_cast<double>(std::max<std::size_t>(1, replicas_.of_service(target.service).size()));
	service_rate += weight / peers * (value - service_rate);

	if (result == replica_result::answered)
	{
		stats.consecutive_failures = 0;
		const auto time = static_cast<double>(took.count());
		stats.mean_response_us = stats.mean_response_us == 0
									 ? time
									 : stats.mean_response_us + weight * (time - stats.mean_response_us);
	}
	if (result == replica_result::no_response)
	{
		++stats.consecutive_failures;
	}
	if (is_unreachable)
	{
		stats.consecutive_failures = tuning_.ejection_failures;
	}
	const auto bound = std::max(tuning_.ejection_rate, tuning_.ejection_multiple * service_rate);
	if (failed && (stats.consecutive_failures >= tuning_.ejection_failures || stats.failure_rate > bound))
	{
		eject(target, stats, now);
	}
}

void replica_selector::record_domain_result(const replica& target, replica_result result, instant now)
{
	auto& domain = domains_[target.domain];
	auto& unresponsive = domain.unresponsive;
	if (result != replica_result::no_response && result != replica_result::not_connected)
	{
		unresponsive.clear();
		return;
	}
	std::erase_if(unresponsive,
		[&](const auto& entry) { return now - entry.second > tuning_.unreachable_domain_window; });
	unresponsive[target.id] = now;
	const auto& all = replicas_.of_service(target.service);
	const auto members = std::count_if(
		all.begin(), all.end(), [&](const replica_ptr& other) { return other->domain == target.domain; });
	domain.required = required_silent_replicas(static_cast<std::size_t>(members));
}

bool replica_selector::is_domain_unreachable(const failure_domain_id& domain, instant now) const
{
	const auto found = domains_.find(domain);
	if (found == domains_.end())
	{
		return false;
	}
	const auto& unresponsive = found->second.unresponsive;
	const auto recent = std::count_if(unresponsive.begin(), unresponsive.end(),
		[&](const auto& entry) { return now - entry.second <= tuning_.unreachable_domain_window; });
	return recent > 0 && static_cast<std::size_t>(recent) >= found->second.required;
}

void replica_selector::eject(const replica& target, replica_stats& stats, instant now)
{
	if (stats.ejected_until > now)
	{
		return;
	}
	constexpr unsigned max_shift = 6;
	const auto span = tuning_.first_ejection * (1U << std::min(stats.ejections, max_shift));
	const auto capped = std::min<duration>(span, tuning_.max_ejection);
	++stats.ejections;
	ejected_(target.id, stats.failure_rate, capped);
	stats.ejected_until = now + capped;
	// After the ejection the replica is on probation: one more failure ejects it again, a response ends
	// the probation.
	stats.consecutive_failures = tuning_.ejection_failures - 1;
	stats.failure_rate = std::min(stats.failure_rate, tuning_.ejection_rate);
}

void replica_selector::forget(const replica_id& id)
{
	stats_.erase(id);
	remote_work_.erase(id);
}

unsigned replica_selector::requests_in_progress(const replica& target) const
{
	const auto* stats = find_stats(target.id);
	return stats == nullptr ? 0 : stats->outstanding_requests;
}

std::vector<replica_work> replica_selector::outstanding_work() const
{
	std::vector<replica_work> all;
	for (const auto& [id, stats] : stats_)
	{
		if (stats.outstanding_tokens > 0 || stats.outstanding_requests > 0)
		{
			all.push_back({id, stats.outstanding_tokens, static_cast<double>(stats.outstanding_requests)});
		}
	}
	return all;
}

void replica_selector::set_remote_work(const std::vector<replica_work>& work, instant now)
{
	remote_work_.clear();
	for (const auto& reported : work)
	{
		remote_work_[reported.replica] = reported;
	}
	remote_work_at_ = now;
}

const replica_selector::replica_stats* replica_selector::find_stats(const replica_id& id) const
{
	const auto found = stats_.find(id);
	return found == stats_.end() ? nullptr : &found->second;
}

replica_selector::replica_stats* replica_selector::find_current(const replica& target)
{
	return replicas_.is_current(target) ? &stats_[target.id] : nullptr;
}
} // namespace gingerdyke::routing
