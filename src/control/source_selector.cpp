// SPDX-License-Identifier: MIT
// Where a VM reads the registry.
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
/// Name under which the registry itself rests; no VM has an empty name.
const std::string registry_name;

/// Stands for all tables; no table has an empty name.
const std::string all_tables;

/// Sets the choice among readers of whole tables apart from the order of rank.
constexpr std::uint64_t whole_table_salt = 0x77686f6c65;

/// Whether a VM is asked before another one of its failure domain.
bool ranks_before(const peer& a, const peer& b)
{
	return a.link_mbps != b.link_mbps ? a.link_mbps > b.link_mbps
									  : stable_hash(a.vm.str()) < stable_hash(b.vm.str());
}

const std::string& name_of(const std::optional<peer>& source)
{
	return source ? source->vm.str() : registry_name;
}
} // namespace

source_selector::source_selector(peer self, source_tuning tuning) : self_(std::move(self)), tuning_(tuning) {}

void source_selector::set_peers(std::vector<peer> peers)
{
	std::erase_if(peers, [this](const peer& one) { return one.vm == self_.vm; });
	std::sort(peers.begin(), peers.end(),
		[this](const peer& a, const peer& b)
		{
			const bool a_is_near = a.domain == self_.domain;
			const bool b_is_near = b.domain == self_.domain;
			return a_is_near != b_is_near ? a_is_near : ranks_before(a, b);
		});
	peers_ = std::move(peers);
}

std::optional<peer> source_selector::choose(const std::string& table, instant now) const
{
	const bool registry_is_left = registry_rest(now).has_value();
	if (!registry_is_left && reads_itself(table, now))
	{
		return std::nullopt;
	}
	std::size_t far = 0;
	for (const auto& one : peers_)
	{
		if (one.domain != self_.domain && (!registry_is_left || ++far > tuning_.far_sources))
		{
			break;
		}
		if (is_usable(one, table, now))
		{
			return one;
		}
	}
	return std::nullopt;
}

/// \brief Links of a failure domain's VMs, in the order of rank.
std::vector<double> source_selector::near_links() const
{
	std::vector<double> links;
	const auto link_of = [](const peer& one) { return std::max(1.0, static_cast<double>(one.link_mbps)); };
	for (const auto& one : peers_)
	{
		if (one.domain == self_.domain)
		{
			links.push_back(link_of(one));
		}
	}
	links.insert(links.begin() + static_cast<std::ptrdiff_t>(position()), link_of(self_));
	return links;
}

/// As many as let all know a table the soonest: each reads it from the registry, the slowest link last, and
/// they share in giving their copies to the others. At most the square root: beyond that the registry's own
/// bytes grow with the VMs and little is gained.
std::size_t source_selector::whole_readers() const
{
	const auto links = near_links();
	const auto count = static_cast<double>(links.size());
	const auto most = static_cast<std::size_t>(std::lround(std::sqrt(count)));
	std::size_t best = 1;
	auto best_time = std::numeric_limits<double>::infinity();
	double sum = 0;
	for (std::size_t readers = 1; readers <= most; ++readers)
	{
		sum += links[readers - 1];
		const auto others = count - static_cast<double>(readers);
		const auto time = tuning_.raw_to_packed / links[readers - 1] + others / sum;
		if (time < best_time)
		{
			best = readers;
			best_time = time;
		}
	}
	return best;
}

std::optional<peer> source_selector::choose_whole(const std::string& table, instant now) const
{
	if (registry_rest(now))
	{
		return choose(table, now);
	}
	const auto readers = whole_readers();
	if (position() < readers)
	{
		return std::nullopt;
	}
	// Each reader is found by as many others as its link can serve. Another hash than that of the rank: by
	// that one, those who are no readers lie all at one end.
	const auto links = near_links();
	const auto sum =
		std::accumulate(links.begin(), links.begin() + static_cast<std::ptrdiff_t>(readers), 0.0);
	auto point = to_unit_interval(mix_hash(stable_hash(self_.vm.str()), whole_table_salt)) * sum;
	std::size_t first = 0;
	while (first + 1 < readers && point >= links[first])
	{
		point -= links[first];
		++first;
	}
	for (std::size_t i = 0; i < readers; ++i)
	{
		const auto& one = peers_[(first + i) % readers];
		if (is_usable(one, table, now))
		{
			return one;
		}
	}
	return choose(table, now);
}

bool source_selector::is_usable(const peer& one, const std::string& table, instant now) const
{
	const auto is_old = [&](const std::string& name)
	{
		const auto old = old_copies_.find({one.vm, name});
		return old != old_copies_.end() && old->second > now;
	};
	return !rests(one.vm.str(), now) && !is_old(table) && !is_old(all_tables);
}

bool source_selector::reads_itself(const std::string& table, instant now) const
{
	const auto before = std::count_if(peers_.begin(), peers_.end(),
		[&](const peer& one)
		{ return one.domain == self_.domain && ranks_before(one, self_) && is_usable(one, table, now); });
	return static_cast<std::size_t>(before) < tuning_.readers;
}

std::optional<instant> source_selector::registry_rest(instant now) const
{
	const auto found = rests_.find(registry_name);
	const bool is_left = found != rests_.end() && found->second.until > now;
	return is_left ? std::optional{found->second.until} : std::nullopt;
}

std::size_t source_selector::position() const
{
	const auto before = std::count_if(peers_.begin(), peers_.end(),
		[this](const peer& one) { return one.domain == self_.domain && ranks_before(one, self_); });
	return static_cast<std::size_t>(before);
}

void source_selector::note_unusable(const std::optional<peer>& source, instant now)
{
	auto& known = rests_[name_of(source)];
	if (known.until > now)
	{
		return;
	}
	constexpr unsigned longest_shift = 5;
	const auto span = tuning_.first_rest * (1U << std::min(known.times, longest_shift));
	known.until = now + std::min<duration>(span, source ? tuning_.longest_rest : longest_registry_rest());
	++known.times;
}

/// The registry is asked again soon: nothing else is as fresh. Most VMs learn of its return from those before
/// them, and look themselves only in case they can't.
duration source_selector::longest_registry_rest() const
{
	return position() < tuning_.scouts ? tuning_.first_rest : tuning_.follower_rest;
}

void source_selector::note_old(const peer& source, const std::string& table, instant now)
{
	old_copies_[{source.vm, table}] = now + tuning_.old_copy_rest;
}

void source_selector::note_out_of_contact(const peer& source, instant now)
{
	note_old(source, all_tables, now);
}

void source_selector::note_good(const std::optional<peer>& source)
{
	rests_.erase(name_of(source));
}

bool source_selector::rests(const std::string& name, instant now) const
{
	const auto found = rests_.find(name);
	return found != rests_.end() && found->second.until > now;
}
} // namespace gingerdyke::control
