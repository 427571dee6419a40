// SPDX-License-Identifier: MIT
// Choice of the VM that forwards a request.
#include <algorithm>
#include <gingerdyke/routing/peer_selector.hpp>

namespace gingerdyke::routing
{
peer_selector::peer_selector(failure_domain_id own_domain, random_source random, peer_tuning tuning)
	: own_domain_(std::move(own_domain)), random_(std::move(random)), tuning_(tuning)
{
}

void peer_selector::set_peers(std::vector<forwarding_peer> peers)
{
	peers_ = std::move(peers);
	const auto first_remote = std::stable_partition(peers_.begin(), peers_.end(),
		[this](const forwarding_peer& peer) { return peer.domain == own_domain_; });
	local_count_ = static_cast<std::size_t>(first_remote - peers_.begin());
	const auto is_known = [this](const vm_id& vm)
	{
		return std::any_of(
			peers_.begin(), peers_.end(), [&](const forwarding_peer& peer) { return peer.vm == vm; });
	};
	std::erase_if(outstanding_, [&](const auto& entry) { return !is_known(entry.first); });
	std::erase_if(
		backoffs_, [&](const auto& entry) { return !entry.first.vm.empty() && !is_known(entry.first.vm); });
}

/// The samples begin at random places, so that the cost decides only among VMs that differ.
std::optional<forwarding_peer> peer_selector::choose(
	const service_id& service, const std::vector<vm_id>& excluded, instant now) const
{
	if (end_of({{}, service}) > now)
	{
		return std::nullopt;
	}
	std::optional<forwarding_peer> best;
	double best_cost = 0;
	std::size_t compared = 0;
	const auto consider = [&](std::size_t first, std::size_t count, std::size_t samples)
	{
		const auto start = random_below(random_, count);
		for (std::size_t i = 0; i < count && compared < samples; ++i)
		{
			const auto& peer = peers_[first + (start + i) % count];
			const bool was_asked = std::find(excluded.begin(), excluded.end(), peer.vm) != excluded.end();
			if (was_asked || available_at(peer, service) > now)
			{
				continue;
			}
			++compared;
			const auto cost = cost_of(peer);
			if (!best || cost < best_cost)
			{
				best = peer;
				best_cost = cost;
			}
		}
	};
	consider(0, local_count_, tuning_.local_samples);
	compared = 0;
	consider(local_count_, peers_.size() - local_count_, tuning_.global_samples);
	return best;
}

double peer_selector::cost_of(const forwarding_peer& peer) const
{
	const auto found = outstanding_.find(peer.vm);
	const auto outstanding = found == outstanding_.end() ? 0 : found->second;
	const auto bandwidth = peer.link_mbps == 0 ? tuning_.full_link_mbps : static_cast<double>(peer.link_mbps);
	const auto link = std::min(bandwidth, tuning_.full_link_mbps) / tuning_.full_link_mbps;
	return (1 + outstanding) / link * (peer.domain == own_domain_ ? 1 : tuning_.remote_cost);
}

void peer_selector::record_ended(const vm_id& vm)
{
	const auto found = outstanding_.find(vm);
	if (found != outstanding_.end() && --found->second == 0)
	{
		outstanding_.erase(found);
	}
}

void peer_selector::record_unreachable(const vm_id& vm, instant now)
{
	extend({vm, {}}, now);
}

void peer_selector::record_unavailable(const vm_id& vm, const service_id& service, instant now)
{
	backoffs_.erase({vm, {}});
	extend({vm, service}, now);
	if (++unavailable_[service] >= tuning_.max_unavailable)
	{
		unavailable_.erase(service);
		extend({{}, service}, now);
	}
}

void peer_selector::record_served(const vm_id& vm, const service_id& service)
{
	unavailable_.erase(service);
	backoffs_.erase({vm, {}});
	backoffs_.erase({vm, service});
	backoffs_.erase({{}, service});
}

void peer_selector::extend(const backoff_key& key, instant now)
{
	constexpr unsigned max_shift = 6;
	auto& current = backoffs_[key];
	if (current.until > now)
	{
		return;
	}
	const auto span = tuning_.first_backoff * (1U << std::min(current.failures, max_shift));
	++current.failures;
	current.until = now + std::min<duration>(span, tuning_.max_backoff);
}

instant peer_selector::end_of(const backoff_key& key) const
{
	const auto found = backoffs_.find(key);
	return found == backoffs_.end() ? instant{} : found->second.until;
}

instant peer_selector::available_at(const forwarding_peer& peer, const service_id& service) const
{
	return std::max(end_of({peer.vm, {}}), end_of({peer.vm, service}));
}

duration peer_selector::time_until_available(const service_id& service, instant now) const
{
	std::optional<instant> first;
	for (const auto& peer : peers_)
	{
		const auto at = available_at(peer, service);
		first = std::min(first.value_or(at), at);
	}
	const auto at = std::max(first.value_or(now), end_of({{}, service}));
	return std::max(at - now, duration{0});
}
} // namespace gingerdyke::routing
