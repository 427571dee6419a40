// SPDX-License-Identifier: MIT
// What the replicas of an emulated service answer.
#include "response_model.hpp"

#include <algorithm>
#include <cmath>
#include <gingerdyke/base/crypto.hpp>
#include <utility>

namespace gingerdyke::emulator
{
response_model::response_model(
	const shift_setup& setup, random_source random, instant order_time, drawn_slowness slowness)
	: setup_(setup), random_(std::move(random)), order_time_(order_time), slowness_(slowness)
{
}

emulated_response response_model::respond(const engine& target, bool is_new, instant now)
{
	now_ = now;
	auto response = setup_.kind == service_kind::plain ? respond_as_plain(target, is_new)
													   : respond_as_model(target, is_new);
	break_off(response, target, is_new);
	return response;
}

/// Breaks a response off, by the fault of its version or by a disturbance.
void response_model::break_off(emulated_response& response, const engine& target, bool is_new) const
{
	constexpr double bad_version_ratio = 0.5;
	const bool is_bad_version =
		is_new && (setup_.fault == version_fault::breaks_off || setup_.fault == version_fault::resets);
	const bool is_broken_by_version = is_bad_version && random_fraction() < bad_version_ratio;
	auto& first = response.samples.front();
	if (first.failed || (!is_broken_by_version && !is_broken_by_disturbance(target)))
	{
		return;
	}
	response.is_bad = response.is_bad || is_broken_by_version;
	response.samples.resize(1);
	response.breaks_off = true;
	if (setup_.fault == version_fault::resets)
	{
		first.kind = rollout::sample_kind::ending;
		first.failed = true;
	}
}

bool response_model::is_broken_by_disturbance(const engine& target) const
{
	if (target.is_breaking && random_fraction() < setup_.disturbance.failing_rate)
	{
		return true;
	}
	const auto since_order = now_ - order_time_;
	const bool is_in_time =
		since_order >= slowness_.replicas_from && since_order < slowness_.replicas_from + disturbance_length;
	return setup_.disturbance.broken_share > 0 && is_in_time &&
		   random_fraction() < setup_.disturbance.broken_share;
}

emulated_response response_model::respond_as_model(const engine& target, bool is_new)
{
	emulated_response response;
	rollout::response_sample sample;
	constexpr unsigned routes = 3;
	const auto route = random_below(random_, routes);
	sample.route = "r" + std::to_string(route);
	constexpr double large_model_ratio = 0.3;
	const bool is_large = random_fraction() < large_model_ratio;
	sample.model = is_large ? "large" : "small";
	sample.replica = stable_hash(target.replica->id.str());
	sample.relative_latency = latency_at(target, is_new);
	sample.failed = random_fraction() < failure_ratio(target, is_new, route == 0);
	response.is_bad = is_new && (sample.failed || setup_.fault == version_fault::slow);
	response.samples.push_back(sample);
	constexpr double stream_ratio = 0.6;
	if (!sample.failed && random_fraction() < stream_ratio)
	{
		sample.kind = rollout::sample_kind::event_interval;
		sample.relative_latency = event_interval_at(target, is_new);
		response.samples.push_back(sample);
	}
	return response;
}

emulated_response response_model::respond_as_plain(const engine& target, bool is_new)
{
	constexpr double failing_route_share = 0.3;
	constexpr double failing_route_ratio = 0.14;
	constexpr double slow_version_ratio = 0.5;
	constexpr double slow_version_factor = 8;
	const bool is_failing_route = random_fraction() < failing_route_share;
	const bool has_failed = is_new && random_fraction() < version_failure_ratio(target, is_failing_route);
	const bool is_slow =
		is_new && setup_.fault == version_fault::slow && random_fraction() < slow_version_ratio;
	rollout::response_sample sample;
	sample.route = is_failing_route ? "reads" : "writes";
	sample.replica = stable_hash(target.replica->id.str());
	sample.relative_latency = plain_latency_at(target) * (is_slow ? slow_version_factor : 1);
	const auto usual_ratio =
		std::max(replica_failure_ratio(target), is_failing_route ? failing_route_ratio : 0.0);
	sample.failed = has_failed || random_fraction() < usual_ratio;
	return {{sample}, has_failed || is_slow};
}

double response_model::random_between(double from, double to) const
{
	return from + (to - from) * random_fraction();
}

/// Whether a replica is slow now for a reason of its own.
bool response_model::is_replica_slow(const engine& target) const
{
	const auto since_order = now_ - order_time_;
	const bool is_in_time =
		since_order >= slowness_.replicas_from && since_order < slowness_.replicas_from + disturbance_length;
	return target.is_slowed && (is_old_disturbed() || is_in_time);
}

/// Standard normal deviate (Box-Muller transform).
double response_model::random_normal() const
{
	constexpr double turn = 6.283185307179586;
	return std::sqrt(-2 * std::log(1 - random_fraction())) * std::cos(turn * random_fraction());
}

/// Whether the old version's replicas are disturbed now. Such a disturbance begins with the order and
/// lasts for the rest of the shift.
bool response_model::is_old_disturbed() const
{
	return setup_.disturbance.is_old_only && now_ >= order_time_;
}

bool response_model::is_overloaded() const
{
	return setup_.disturbance.overload > 0 && now_ >= order_time_;
}

/// Load of an engine relative to the usual load per engine.
double response_model::load_of(const engine& target) const
{
	return target.rate / (setup_.responses_per_s / setup_.replicas);
}

/// Latency of a plain response relative to an idle engine's: log-normal work and the way to the replica.
double response_model::plain_latency_at(const engine& target) const
{
	constexpr double median_work = 1.3;
	constexpr double work_deviation = 0.5;
	constexpr double path_latency = 0.1;
	const auto work = median_work * std::exp(work_deviation * random_normal());
	return path_latency + work * (is_replica_slow(target) ? setup_.disturbance.slowed_by : 1);
}

/// Time to first byte relative to an idle engine's: cached prompts are processed faster, and at a busy
/// engine some requests wait in the queue.
double response_model::latency_at(const engine& target, bool is_new) const
{
	constexpr double min_cached_cost = 0.4;
	constexpr double max_uncached_cost = 0.9;
	const bool is_cached = is_new ? random_fraction() < 0.3 : random_fraction() < 0.7;
	const auto processing = target.speed * (is_cached ? random_between(min_cached_cost, 0.6)
													  : random_between(0.6, max_uncached_cost));
	return slowdown_of(target, is_new) * processing * (1 + queue_length(target, is_new));
}

/// Event interval relative to an idle engine's: it grows with the batch size, and at times with a prompt
/// that is processed in between.
double response_model::event_interval_at(const engine& target, bool is_new) const
{
	constexpr double max_batch_growth = 1.5;
	constexpr double overload_batch_growth = 3;
	constexpr double prompt_probability = 0.3;
	const auto overload_growth = !is_new && is_overloaded() ? overload_batch_growth : 0;
	const auto batch = 1 + overload_growth + std::min(max_batch_growth, load_of(target) * random_fraction());
	const auto prompt = random_fraction() < prompt_probability ? random_between(1, 3) : 1;
	return slowdown_of(target, is_new) * target.speed * batch * prompt;
}

/// Number of prompts queued before a request, in units of the processing time of its own prompt.
double response_model::queue_length(const engine& target, bool is_new) const
{
	double queue = 0;
	const auto queue_probability = std::min(0.9, 0.4 * load_of(target));
	if (random_fraction() < queue_probability)
	{
		queue -= 3 * load_of(target) * std::log(1 - random_fraction());
	}
	if (!is_new && is_overloaded())
	{
		queue -= setup_.disturbance.overload * std::log(1 - random_fraction());
	}
	return queue;
}

double response_model::slowdown_of(const engine& target, bool is_new) const
{
	const auto replica_slowdown = is_replica_slow(target) ? setup_.disturbance.slowed_by : 1;
	return is_new && setup_.fault == version_fault::slow ? replica_slowdown * slowness_.of_version
														 : replica_slowdown;
}

double response_model::failure_ratio(const engine& target, bool is_new, bool is_first_route) const
{
	const auto replica_ratio = replica_failure_ratio(target);
	return is_new ? std::max(replica_ratio, version_failure_ratio(target, is_first_route)) : replica_ratio;
}

double response_model::replica_failure_ratio(const engine& target) const
{
	const bool is_failing = target.is_failing && (now_ >= order_time_ || !setup_.disturbance.is_old_only);
	return is_failing ? setup_.disturbance.failing_rate : 0;
}

/// Share of the new version's responses that fail by its own fault.
double response_model::version_failure_ratio(const engine& target, bool is_first_route) const
{
	constexpr double bad_version_ratio = 0.5;
	switch (setup_.fault)
	{
	case version_fault::fails:
		return bad_version_ratio;
	case version_fault::fails_under_load:
	{
		// The failure ratio grows linearly with the load.
		constexpr double starts_at_load = 0.9;
		constexpr double full_at_load = 2.5;
		const auto load_fraction = (load_of(target) - starts_at_load) / (full_at_load - starts_at_load);
		return bad_version_ratio * std::clamp(load_fraction, 0.0, 1.0);
	}
	case version_fault::fails_on_one_route:
		return is_first_route ? bad_version_ratio : 0;
	case version_fault::fails_late:
	{
		constexpr double late_fraction = 0.7;
		return now_ - order_time_ > scaled(setup_.length, late_fraction) ? bad_version_ratio : 0;
	}
	case version_fault::none:
	case version_fault::slow:
	case version_fault::breaks_off:
	case version_fault::resets:
		return 0;
	}
	return 0;
}
} // namespace gingerdyke::emulator
