// SPDX-License-Identifier: MIT
// Which new connections of callers a VM takes while it can't serve all of them.
#include <algorithm>
#include <gingerdyke/limits/connection_admission.hpp>

namespace gingerdyke::limits
{
namespace
{
constexpr double bytes_per_s_of_mbps = 1e6 / 8;
} // namespace

connection_admission::connection_admission(
	unsigned link_mbps, random_source random, change_hook changed, connection_admission_tuning tuning)
	: link_bytes_per_s_(link_mbps * bytes_per_s_of_mbps), random_(std::move(random)),
	  changed_(std::move(changed)), tuning_(tuning)
{
}

bool connection_admission::is_excessive(const vm_load& load) const
{
	const bool is_link_full =
		link_bytes_per_s_ > 0 && load.bytes_per_s > tuning_.max_link_share * link_bytes_per_s_;
	return is_link_full || load.loop_delay > tuning_.max_loop_delay;
}

void connection_admission::record_load(const vm_load& load)
{
	excessive_intervals_ = is_excessive(load) ? excessive_intervals_ + 1 : 0;
	const bool was_limiting = share_ < 1;
	share_ = excessive_intervals_ >= tuning_.min_intervals
				 ? std::max(tuning_.min_share, share_ * tuning_.decrease)
				 : std::min(1.0, share_ + tuning_.increase);
	const bool is_limiting = share_ < 1;
	if (was_limiting != is_limiting)
	{
		changed_(is_limiting, load);
	}
}

bool connection_admission::admit()
{
	const bool is_admitted = share_ >= 1 || random_unit(random_) < share_;
	rejected_count_ += is_admitted ? 0 : 1;
	return is_admitted;
}
} // namespace gingerdyke::limits
