// SPDX-License-Identifier: MIT
// Selects where a VM reads registry tables from.
#include <algorithm>
#include <cmath>
#include <gingerdyke/base/crypto.hpp>
#include <gingerdyke/base/random.hpp>
#include <gingerdyke/control/source_selector.hpp>
#include <limits>
#include <numeric>

namespace gingerdyke::control
{
namespace
{
/// Key of the registry in `backoffs_`; no VM has an empty name.
const std::string registry_key;

/// Stands for all tables in `stale_copies_`; no table has an empty name.
const std::string all_tables;

/// Makes the choice among readers of full tables independent of the rank order.
constexpr std::uint64_t full_read_salt = 0x77686f6c65;

/// Returns whether VM `a` is preferred over VM `b` of the same failure domain.
bool ranks_before(const peer& a, const peer& b)
{
	return a.link_mbps != b.link_mbps ? a.link_mbps > b.link_mbps
									  : stable_hash(a.vm.str()) < stable_hash(b.vm.str());
}

const std::string& backoff_key(const std::optional<peer>& source)
{
	return source ? source->vm.str() : registry_key;
}
} // namespace

source_selector::source_selector(peer self, source_tuning tuning) : self_(std::move(self)), tuning_(tuning) {}

void source_selector::set_peers(std::vector<peer> peers)
{
	std::erase_if(peers, [this](const peer& candidate) { return candidate.vm == self_.vm; });
	std::sort(peers.begin(), peers.end(),
		[this](const peer& a, const peer& b)
		{
			const bool a_is_local = a.domain == self_.domain;
			const bool b_is_local = b.domain == self_.domain;
			return a_is_local != b_is_local ? a_is_local : ranks_before(a, b);
		});
	peers_ = std::move(peers);
}

std::optional<peer> source_selector::choose(const std::string& table, instant now) const
{
	const bool registry_backing_off = registry_backoff_until(now).has_value();
	if (!registry_backing_off && should_read_registry(table, now))
	{
		return std::nullopt;
	}
	std::size_t remote_sources = 0;
	for (const auto& candidate : peers_)
	{
		if (candidate.domain != self_.domain &&
			(!registry_backing_off || ++remote_sources > tuning_.max_remote_sources))
		{
			break;
		}
		if (is_usable(candidate, table, now))
		{
			return candidate;
		}
	}
	return std::nullopt;
}

/// \brief Returns the link bandwidths of the own failure domain's VMs, in order of rank.
std::vector<double> source_selector::local_links() const
{
	std::vector<double> links;
	const auto link_of = [](const peer& candidate)
	{ return std::max(1.0, static_cast<double>(candidate.link_mbps)); };
	for (const auto& candidate : peers_)
	{
		if (candidate.domain == self_.domain)
		{
			links.push_back(link_of(candidate));
		}
	}
	links.insert(links.begin() + static_cast<std::ptrdiff_t>(rank()), link_of(self_));
	return links;
}

/// Returns the number of readers for which all VMs receive a full table the soonest. Each reader reads it
/// from the registry, which takes longest on the slowest link, and then the readers share the work of sending
/// it to the others. At most the square root of the number of VMs: beyond that the registry's traffic grows
/// with the VMs and little time is gained.
std::size_t source_selector::full_reader_count() const
{
	const auto links = local_links();
	const auto count = static_cast<double>(links.size());
	const auto max_readers = static_cast<std::size_t>(std::lround(std::sqrt(count)));
	std::size_t best = 1;
	auto best_time = std::numeric_limits<double>::infinity();
	double total_mbps = 0;
	for (std::size_t readers = 1; readers <= max_readers; ++readers)
	{
		total_mbps += links[readers - 1];
		const auto others = count - static_cast<double>(readers);
		const auto time = tuning_.raw_to_packed_ratio / links[readers - 1] + others / total_mbps;
		if (time < best_time)
		{
			best = readers;
			best_time = time;
		}
	}
	return best;
}

std::optional<peer> source_selector::choose_for_full_read(const std::string& table, instant now) const
{
	if (registry_backoff_until(now))
	{
		return choose(table, now);
	}
	const auto readers = full_reader_count();
	if (rank() < readers)
	{
		return std::nullopt;
	}
	// Distributes the other VMs over the readers in proportion to the readers' links. The hash differs from
	// that of the rank, since all non-readers lie at one end of the range of the latter.
	const auto links = local_links();
	const auto total_mbps =
		std::accumulate(links.begin(), links.begin() + static_cast<std::ptrdiff_t>(readers), 0.0);
	auto offset = to_unit_interval(mix_hash(stable_hash(self_.vm.str()), full_read_salt)) * total_mbps;
	std::size_t first = 0;
	while (first + 1 < readers && offset >= links[first])
	{
		offset -= links[first];
		++first;
	}
	for (std::size_t i = 0; i < readers; ++i)
	{
		const auto& candidate = peers_[(first + i) % readers];
		if (is_usable(candidate, table, now))
		{
			return candidate;
		}
	}
	return choose(table, now);
}

bool source_selector::is_usable(const peer& candidate, const std::string& table, instant now) const
{
	const auto is_stale = [&](const std::string& name)
	{
		const auto stale = stale_copies_.find({candidate.vm, name});
		return stale != stale_copies_.end() && stale->second > now;
	};
	return !is_backing_off(candidate.vm.str(), now) && !is_stale(table) && !is_stale(all_tables);
}

bool source_selector::should_read_registry(const std::string& table, instant now) const
{
	const auto preferred = std::count_if(peers_.begin(), peers_.end(),
		[&](const peer& candidate)
		{
			return candidate.domain == self_.domain && ranks_before(candidate, self_) &&
				   is_usable(candidate, table, now);
		});
	return static_cast<std::size_t>(preferred) < tuning_.readers;
}

std::optional<instant> source_selector::registry_backoff_until(instant now) const
{
	const auto found = backoffs_.find(registry_key);
	const bool backing_off = found != backoffs_.end() && found->second.until > now;
	return backing_off ? std::optional{found->second.until} : std::nullopt;
}

std::size_t source_selector::rank() const
{
	const auto preferred = std::count_if(peers_.begin(), peers_.end(),
		[this](const peer& candidate)
		{ return candidate.domain == self_.domain && ranks_before(candidate, self_); });
	return static_cast<std::size_t>(preferred);
}

void source_selector::record_unusable(const std::optional<peer>& source, instant now)
{
	auto& known = backoffs_[backoff_key(source)];
	if (known.until > now)
	{
		return;
	}
	constexpr unsigned max_doublings = 5;
	const auto delay = tuning_.initial_backoff * (1U << std::min(known.failures, max_doublings));
	known.until = now + std::min<duration>(delay, source ? tuning_.max_backoff : max_registry_backoff());
	++known.failures;
}

/// The registry is retried soon, as no other source is as fresh. Most VMs learn of its return from VMs of a
/// higher rank and only retry themselves in case those fail.
duration source_selector::max_registry_backoff() const
{
	return rank() < tuning_.fast_retry_vms ? tuning_.initial_backoff : tuning_.slow_retry_backoff;
}

void source_selector::record_stale_copy(const peer& source, const std::string& table, instant now)
{
	stale_copies_[{source.vm, table}] = now + tuning_.stale_copy_backoff;
}

void source_selector::record_registry_loss(const peer& source, instant now)
{
	record_stale_copy(source, all_tables, now);
}

void source_selector::record_usable(const std::optional<peer>& source)
{
	backoffs_.erase(backoff_key(source));
}

bool source_selector::is_backing_off(const std::string& name, instant now) const
{
	const auto found = backoffs_.find(name);
	return found != backoffs_.end() && found->second.until > now;
}
} // namespace gingerdyke::control
