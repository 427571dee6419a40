// SPDX-License-Identifier: MIT
// Sums what VMs report of replicas that fell silent.
#include <algorithm>
#include <gingerdyke/control/silence_reports.hpp>

namespace gingerdyke::control
{
namespace
{
/// VMs report with their polls, about once a second.
constexpr duration report_lifetime = std::chrono::milliseconds{2500};

/// Replicas in one summary.
constexpr std::size_t max_summarized = 256;

/// Whether a replica may have to be avoided: one VM alone may have lost its own path.
bool is_dark(const routing::replica_silence& sum)
{
	return sum.silent_vms > 1 && sum.silent_vms > sum.answered_vms;
}
} // namespace

void silence_reports::add(const std::vector<routing::replica_silence>& observed)
{
	for (const auto& seen : observed)
	{
		auto& sum = sums_[{seen.replica, seen.incarnation}];
		sum.replica = seen.replica;
		sum.incarnation = seen.incarnation;
		sum.silent_vms += seen.silent_vms;
		sum.answered_vms += seen.answered_vms;
	}
}

void silence_reports::subtract(const std::vector<routing::replica_silence>& observed)
{
	for (const auto& seen : observed)
	{
		const auto found = sums_.find({seen.replica, seen.incarnation});
		found->second.silent_vms -= seen.silent_vms;
		found->second.answered_vms -= seen.answered_vms;
		if (found->second.silent_vms + found->second.answered_vms == 0)
		{
			sums_.erase(found);
		}
	}
}

void silence_reports::drop_expired(instant now)
{
	std::erase_if(by_reporter_,
		[&](const auto& entry)
		{
			const bool is_expired = now - entry.second.at > report_lifetime;
			if (is_expired)
			{
				subtract(entry.second.observed);
			}
			return is_expired;
		});
}

void silence_reports::set(
	const std::string& reporter, std::vector<routing::replica_silence> observed, instant now)
{
	// Without this a report that names nothing could not be taken back out of the sum.
	std::erase_if(observed, [](const auto& seen) { return seen.silent_vms + seen.answered_vms == 0; });
	if (const auto previous = by_reporter_.find(reporter); previous != by_reporter_.end())
	{
		subtract(previous->second.observed);
		by_reporter_.erase(previous);
	}
	if (!observed.empty())
	{
		add(observed);
		by_reporter_[reporter] = {std::move(observed), now};
	}
}

std::vector<routing::replica_silence> silence_reports::sum_excluding(const std::string& reporter, instant now)
{
	drop_expired(now);
	const auto own = by_reporter_.find(reporter);
	const bool has_own = own != by_reporter_.end();
	if (has_own)
	{
		subtract(own->second.observed);
	}
	std::vector<routing::replica_silence> all;
	for (const auto* sum : summarized())
	{
		all.push_back(*sum);
	}
	if (has_own)
	{
		add(own->second.observed);
	}
	return all;
}

/// The sums that are told: the dark ones first, each kind by id. Their order
/// does not follow the counts, which change with each report: those told would be others each time.
std::vector<const routing::replica_silence*> silence_reports::summarized() const
{
	std::vector<const routing::replica_silence*> chosen;
	std::vector<const routing::replica_silence*> doubtful;
	for (auto sum = sums_.begin(); sum != sums_.end() && chosen.size() < max_summarized; ++sum)
	{
		auto& kept = is_dark(sum->second) ? chosen : doubtful;
		if (kept.size() < max_summarized)
		{
			kept.push_back(&sum->second);
		}
	}
	const auto left = std::min(doubtful.size(), max_summarized - chosen.size());
	chosen.insert(chosen.end(), doubtful.begin(), doubtful.begin() + static_cast<std::ptrdiff_t>(left));
	return chosen;
}
} // namespace gingerdyke::control
