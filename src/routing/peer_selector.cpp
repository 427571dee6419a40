// SPDX-License-Identifier: MIT
// Choice of the VM that forwards a request.
#include <algorithm>
#include <cmath>
#include <gingerdyke/base/crypto.hpp>
#include <gingerdyke/routing/peer_selector.hpp>

namespace gingerdyke::routing
{
peer_selector::peer_selector(failure_domain_id own_domain, const random_source& random, peer_tuning tuning)
	: own_domain_(std::move(own_domain)), tuning_(tuning), order_seed_(random())
{
}

void peer_selector::set_peers(std::vector<forwarding_peer> peers)
{
	std::map<vm_id, peer_state> known;
	for (auto& state : peers_)
	{
		known[state.peer.vm] = std::move(state);
	}
	peers_.clear();
	for (auto& peer : peers)
	{
		auto state = std::move(known[peer.vm]);
		state.order = mix_hash(order_seed_, stable_hash(peer.vm.str()));
		state.peer = std::move(peer);
		peers_.push_back(std::move(state));
	}
	std::sort(peers_.begin(), peers_.end(),
		[this](const peer_state& a, const peer_state& b)
		{
			return std::pair{a.peer.domain != own_domain_, a.order} <
				   std::pair{b.peer.domain != own_domain_, b.order};
		});
	local_count_ = static_cast<std::size_t>(std::count_if(peers_.begin(), peers_.end(),
		[this](const peer_state& state) { return state.peer.domain == own_domain_; }));
	set_unreachable(std::vector{reported_}, reported_at_);
}

void peer_selector::set_unreachable(const std::vector<unreachable_service>& reported, instant now)
{
	reported_ = reported;
	reported_at_ = now;
	for (auto& state : peers_)
	{
		for (auto& [service, service_state] : state.services)
		{
			service_state.is_reported = false;
		}
		for (const auto& unreachable : reported_)
		{
			if (is_reported_unreachable(unreachable, state.peer))
			{
				state.services[unreachable.service].is_reported = true;
			}
		}
	}
}

bool peer_selector::is_reported_unreachable(
	const unreachable_service& reported, const forwarding_peer& peer) const
{
	const bool is_listed = std::binary_search(reported.vms.begin(), reported.vms.end(), peer.vm);
	return reported.domain ? peer.domain == *reported.domain && !is_listed : is_listed;
}

std::optional<forwarding_peer> peer_selector::choose(const service_id& service,
	const std::vector<vm_id>& excluded, instant now, const domain_filter& allowed) const
{
	const auto backoff_end = service_backoffs_.find(service);
	if (backoff_end != service_backoffs_.end() && backoff_end->second > now)
	{
		return std::nullopt;
	}
	const auto* best = choose_among(peer_group::not_failed, service, excluded, now, allowed);
	if (best == nullptr)
	{
		best = choose_among(peer_group::failed, service, excluded, now, allowed);
	}
	return best == nullptr ? std::nullopt : std::optional{best->peer};
}

const peer_selector::peer_state* peer_selector::choose_among(peer_group group, const service_id& service,
	const std::vector<vm_id>& excluded, instant now, const domain_filter& allowed) const
{
	const peer_state* best = nullptr;
	double best_cost = 0;
	const auto consider = [&](std::size_t first, std::size_t last, std::size_t max_partners)
	{
		std::size_t partners = 0;
		for (auto i = first; i < last && partners < max_partners; ++i)
		{
			const auto& candidate = peers_[i];
			const bool was_asked =
				std::find(excluded.begin(), excluded.end(), candidate.peer.vm) != excluded.end();
			const bool is_allowed = !allowed || allowed(candidate.peer.domain);
			if (was_asked || !is_allowed || group_of(candidate, service) != group ||
				available_at(candidate, service, now) > now)
			{
				continue;
			}
			++partners;
			const auto cost = cost_of(candidate, service, excluded.size(), now);
			if (best == nullptr || cost < best_cost)
			{
				best = &candidate;
				best_cost = cost;
			}
		}
	};
	consider(0, local_count_, tuning_.local_partners);
	consider(local_count_, peers_.size(), tuning_.remote_partners);
	return best;
}

peer_selector::peer_group peer_selector::group_of(const peer_state& peer, const service_id& service)
{
	const auto* known = find_service(peer, service);
	return known != nullptr && known->unavailable.failures > 0 ? peer_group::failed : peer_group::not_failed;
}

/// The more VMs could not serve a request, the more it counts that the next one can.
double peer_selector::cost_of(
	const peer_state& peer, const service_id& service, std::size_t asked, instant now) const
{
	const auto link_mbps = static_cast<double>(peer.peer.link_mbps);
	const auto bandwidth = link_mbps == 0 ? tuning_.full_link_mbps : link_mbps;
	const auto link = std::min(bandwidth, tuning_.full_link_mbps) / tuning_.full_link_mbps;
	const auto distance = peer.peer.domain == own_domain_ ? 1 : tuning_.remote_cost;
	const auto probability = success_probability(peer, service, now);
	return (1 + peer.outstanding) / link * distance / std::pow(probability, 1 + asked);
}

double peer_selector::success_probability(
	const peer_state& peer, const service_id& service, instant now) const
{
	const auto* known = find_service(peer, service);
	if (known != nullptr && known->has_served)
	{
		return tuning_.served_probability;
	}
	const auto outcomes = outcomes_at(peer.peer.domain, service, now);
	const auto assumed = peer.peer.domain == own_domain_ ? tuning_.assumed_local_failures : 0;
	return (outcomes.served + 1) / (outcomes.served + outcomes.failed + assumed + 1);
}

peer_selector::outcome_counts peer_selector::outcomes_at(
	const failure_domain_id& domain, const service_id& service, instant now) const
{
	const auto found = outcomes_.find({domain, service});
	if (found == outcomes_.end())
	{
		return {0, 0, now};
	}
	const auto& counts = found->second;
	const auto half_lives = static_cast<double>((now - counts.at).count()) /
							static_cast<double>(tuning_.outcome_half_life.count());
	const auto remaining = std::exp2(-half_lives);
	return {counts.served * remaining, counts.failed * remaining, now};
}

void peer_selector::record_outcome(
	const failure_domain_id& domain, const service_id& service, bool served, instant now)
{
	auto counts = outcomes_at(domain, service, now);
	(served ? counts.served : counts.failed) += 1;
	outcomes_[{domain, service}] = counts;
}

peer_selector::peer_state* peer_selector::find(const vm_id& vm)
{
	const auto found = std::find_if(
		peers_.begin(), peers_.end(), [&](const peer_state& state) { return state.peer.vm == vm; });
	return found == peers_.end() ? nullptr : &*found;
}

const peer_selector::service_state* peer_selector::find_service(
	const peer_state& peer, const service_id& service)
{
	const auto found = peer.services.find(service);
	return found == peer.services.end() ? nullptr : &found->second;
}

void peer_selector::record_sent(const vm_id& vm)
{
	if (auto* state = find(vm))
	{
		++state->outstanding;
	}
}

void peer_selector::record_ended(const vm_id& vm)
{
	auto* state = find(vm);
	if (state != nullptr && state->outstanding > 0)
	{
		--state->outstanding;
	}
}

void peer_selector::record_unreachable(const vm_id& vm, instant now)
{
	if (auto* state = find(vm))
	{
		extend(state->unreachable, now);
	}
}

void peer_selector::record_unavailable(const vm_id& vm, const service_id& service, instant now)
{
	if (auto* state = find(vm))
	{
		state->unreachable = {};
		auto& known = state->services[service];
		known.has_served = false;
		extend(known.unavailable, now);
		record_outcome(state->peer.domain, service, false, now);
	}
	if (++unavailable_[service] >= tuning_.max_unavailable)
	{
		unavailable_.erase(service);
		service_backoffs_[service] = now + tuning_.service_backoff;
	}
}

void peer_selector::record_served(const vm_id& vm, const service_id& service, instant now)
{
	unavailable_.erase(service);
	service_backoffs_.erase(service);
	if (auto* state = find(vm))
	{
		state->unreachable = {};
		auto& known = state->services[service];
		known.unavailable = {};
		known.has_served = true;
		record_outcome(state->peer.domain, service, true, now);
	}
}

void peer_selector::extend(backoff& current, instant now) const
{
	constexpr unsigned max_shift = 6;
	if (current.until > now)
	{
		return;
	}
	const auto span = tuning_.first_backoff * (1U << std::min(current.failures, max_shift));
	++current.failures;
	current.until = now + std::min<duration>(span, tuning_.max_backoff);
}

instant peer_selector::available_at(const peer_state& peer, const service_id& service, instant now) const
{
	const auto* known = find_service(peer, service);
	if (known == nullptr)
	{
		return peer.unreachable.until;
	}
	const bool is_reported = known->is_reported && now - reported_at_ <= tuning_.report_lifetime;
	const auto report_end = is_reported ? now + tuning_.report_interval : instant{};
	return std::max({peer.unreachable.until, known->unavailable.until, report_end});
}

duration peer_selector::time_until_available(const service_id& service, instant now) const
{
	std::optional<instant> first;
	for (const auto& peer : peers_)
	{
		const auto at = available_at(peer, service, now);
		first = std::min(first.value_or(at), at);
	}
	const auto backoff_end = service_backoffs_.find(service);
	const auto resumed_at = backoff_end == service_backoffs_.end() ? now : backoff_end->second;
	return std::max(std::max(first.value_or(now), resumed_at) - now, duration{0});
}
} // namespace gingerdyke::routing
