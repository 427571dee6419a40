// SPDX-License-Identifier: MIT
// Handling of a request: what its attempts tell about the version of their replicas. Each attempt that
// reached a replica counts once, by how it ended.
#include <gingerdyke/proxy/exchange.hpp>
#include <utility>

namespace gingerdyke::proxy
{
namespace
{
/// Share of the longest wait for a first byte after which a response that has begun counts as stalled.
constexpr double stall_share = 0.5;
} // namespace

rollout::response_sample exchange::sample_for(const attempt& from, duration elapsed) const
{
	const auto& to = *from.target;
	rollout::response_sample sample;
	sample.route = route_->id.str();
	sample.model = route_->models.empty() ? std::string{} : route_->models[from.model_step.index].str();
	sample.relative_latency = rollout::relative_first_byte_latency(elapsed, prompt_.input_tokens);
	sample.replica = routing::process_hash(to);
	return sample;
}

/// Records a response as it begins.
void exchange::record_response_begin(bool failed)
{
	auto sample = sample_for(*attempt_, attempt_->first_byte);
	sample.failed = failed;
	attempt_->has_begun = true;
	attempt_->is_broken_off = failed;
	attempt_->counted = shared_.record_response(*attempt_->target, sample);
}

void exchange::record_event_interval(std::optional<duration> interval)
{
	if (interval)
	{
		auto sample = sample_for(*attempt_, duration{0});
		sample.kind = rollout::sample_kind::event_interval;
		sample.relative_latency = rollout::relative_event_interval(*interval);
		static_cast<void>(shared_.record_response(*attempt_->target, sample));
	}
}

/// Records that the attempt is given up for its silence. On a lost path that is no evidence.
void exchange::record_silence()
{
	if (shared_.paths().carries_requests(*attempt_->target))
	{
		auto sample = sample_for(*attempt_, steady_now() - attempt_->sent_at);
		sample.kind = rollout::sample_kind::no_response;
		static_cast<void>(shared_.record_response(*attempt_->target, sample));
	}
}

/// Records that an attempt ended without a whole response. A failure that was recorded when the response
/// began isn't recorded again.
void exchange::record_broken_off(attempt& ended, upstream_fault fault)
{
	const bool is_no_evidence = fault == upstream_fault::timed_out ||
								fault == upstream_fault::out_of_memory || is_idle_close(ended, fault);
	if (is_no_evidence || std::exchange(ended.is_broken_off, true))
	{
		return;
	}
	const auto broken = broken_attempt_of(ended);
	if (is_response_content_fault(fault))
	{
		shared_.count_broken_attempt(*ended.target, broken);
		return;
	}
	shared_.record_broken_attempt(ended.target, broken);
}

/// Records that the current attempt is given up, or its time is over, while its replica is silent. Whether
/// the replica or the path is silent is known after a probe.
void exchange::record_silent_end()
{
	if (!attempt_ || !attempt_->connected || attempt_->connection->is_held_up() || !is_silent_for_long())
	{
		return;
	}
	if (!std::exchange(attempt_->is_broken_off, true))
	{
		shared_.record_broken_attempt(attempt_->target, broken_attempt_of(*attempt_));
	}
}

/// Whether the replica has been silent for longer than between the parts of a response. Requests with a short
/// deadline end before that.
bool exchange::is_silent_for_long() const
{
	const auto now = steady_now();
	if (attempt_->first_byte == duration{0})
	{
		return now - attempt_->connected_at >= first_byte_limit();
	}
	const bool has_event_limit = attempt_->is_stream && route_->max_event_interval;
	const auto limit = has_event_limit
						   ? scaled(*route_->max_event_interval, shared_.tuning().stream_pause_timeout_factor)
						   : scaled(first_byte_limit(), stall_share);
	return now - attempt_->last_byte_at >= limit;
}

broken_attempt exchange::broken_attempt_of(const attempt& ended) const
{
	broken_attempt broken;
	broken.sample = sample_for(ended, duration{0});
	broken.sample.kind = rollout::sample_kind::ending;
	broken.sample.failed = true;
	broken.has_begun = ended.has_begun;
	broken.counted = ended.counted;
	return broken;
}

/// A replica closes connections that have been idle for a time. A request that crosses that close on the way
/// fails within a round trip, and says nothing about the replica.
bool exchange::is_idle_close(const attempt& ended, upstream_fault fault) const
{
	const auto& tuning = shared_.tuning();
	const auto limit =
		scaled(ended.connection->connect_time(), tuning.idle_close_round_trips) + tuning.idle_close_delay;
	return fault == upstream_fault::no_response && ended.connection->was_used() &&
		   steady_now() - ended.sent_at <= limit;
}
} // namespace gingerdyke::proxy
