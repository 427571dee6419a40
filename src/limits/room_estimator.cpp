// SPDX-License-Identifier: MIT
// Estimates how much of what callers ask of a service its replicas can answer in time.
#include <algorithm>
#include <cmath>
#include <gingerdyke/limits/room_estimator.hpp>
#include <numeric>

namespace gingerdyke::limits
{
namespace
{
double seconds_of(duration span)
{
	return std::chrono::duration<double>(span).count();
}

double demand_of(const service_load& total)
{
	return std::accumulate(total.arrivals_per_s.begin(), total.arrivals_per_s.end(), 0.0);
}
} // namespace

double room_estimator::earlier_rejections(instant now) const
{
	const auto forgotten = std::max(0.0, seconds_of(now - cut_at_ - tuning_.report_age));
	return rejections_at_cut_ * std::exp(-forgotten / seconds_of(tuning_.averaging_time));
}

bool room_estimator::is_rejecting(const service_load& total, instant now) const
{
	const auto rejections = std::max(0.0, total.rejections_per_s - earlier_rejections(now));
	return rejections > tuning_.max_rejected_share * (total.responses_per_s + rejections);
}

bool room_estimator::is_late(const service_load& total) const
{
	const bool is_slow =
		usual_response_ && total.mean_response > scaled(*usual_response_, tuning_.slow_multiple);
	return is_slow && total.in_time_per_s < tuning_.min_in_time_share * total.responses_per_s;
}

void room_estimator::update_usual(const service_load& total, instant now)
{
	if (total.mean_response <= duration{0})
	{
		return;
	}
	const auto elapsed = std::min(seconds_of(now - updated_at_), 1.0);
	const auto grown = usual_response_ ? scaled(*usual_response_, 1 + tuning_.usual_growth_per_s * elapsed)
									   : total.mean_response;
	usual_response_ = std::min(grown, total.mean_response);
}

bool room_estimator::has_enough_responses(const service_load& total, duration window) const
{
	const auto sent = total.responses_per_s + total.rejections_per_s;
	return sent * seconds_of(window) >= tuning_.min_responses;
}

void room_estimator::update(
	const service_load& total, duration window, const service_slots& slots, instant now)
{
	const bool is_known = has_enough_responses(total, window);
	if (is_known)
	{
		update_usual(total, now);
	}
	const bool is_settling = admitted_per_s_ && now - cut_at_ < tuning_.settling_time;
	const auto idle_room = room_of_idle_slots(total, slots.count);
	const bool is_rejected = !slots.are_mostly_free && is_rejecting(total, now);
	if (!is_known)
	{
		// Too little is known to begin a shortage; one that has begun ends as demand does.
		if (admitted_per_s_)
		{
			grow(total, slots.count, now);
		}
	}
	else if (admitted_per_s_ && idle_room > *admitted_per_s_ && !is_rejected && !is_late(total))
	{
		admitted_per_s_ = idle_room;
	}
	else if (is_rejected || is_late(total))
	{
		if (!is_settling)
		{
			cut(total, is_rejected, now);
		}
	}
	else if (admitted_per_s_ && !is_settling)
	{
		grow(total, slots.count, now);
	}
	updated_at_ = now;
}

void room_estimator::cut(const service_load& total, bool is_rejected, instant now)
{
	if (!admitted_per_s_)
	{
		initial_responses_per_s_ = total.responses_per_s;
	}
	auto next =
		tuning_.cut_factor * std::min(total.responses_per_s, admitted_per_s_.value_or(total.responses_per_s));
	if (!is_rejected)
	{
		next = std::max(next, tuning_.min_share_without_rejections * initial_responses_per_s_);
	}
	admitted_per_s_ = std::max(next, tuning_.min_share_of_demand * demand_of(total));
	growth_per_s_ = tuning_.first_growth_per_s;
	cut_at_ = now;
	rejections_at_cut_ = total.rejections_per_s;
}

/// Work per second that the replicas can answer as fast as they do now, by Little's law, if most of their
/// slots are free; otherwise 0.
double room_estimator::room_of_idle_slots(const service_load& total, double slots) const
{
	const auto response_s = seconds_of(total.mean_response);
	const auto busy_slots = total.responses_per_s * response_s;
	const bool is_idle = response_s > 0 && busy_slots < tuning_.idle_below * slots;
	return is_idle ? tuning_.idle_target * slots / response_s : 0;
}

void room_estimator::grow(const service_load& total, double slots, instant now)
{
	const auto max_growth_per_s = slots > 0 ? tuning_.max_growth_with_slots_per_s : tuning_.max_growth_per_s;
	const auto elapsed = std::min(seconds_of(now - updated_at_), 1.0);
	*admitted_per_s_ *= 1 + growth_per_s_ * elapsed;
	growth_per_s_ = std::min(max_growth_per_s, growth_per_s_ * (1 + elapsed));
	if (*admitted_per_s_ > tuning_.surplus_factor * demand_of(total))
	{
		admitted_per_s_.reset();
	}
}
} // namespace gingerdyke::limits
