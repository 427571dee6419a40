// SPDX-License-Identifier: MIT
// Handling of a request: how long an attempt waits for its replica.
#include <algorithm>
#include <gingerdyke/proxy/exchange.hpp>

namespace gingerdyke::proxy
{
namespace
{
constexpr int gateway_timeout = 504;
} // namespace

duration exchange::first_byte_limit() const
{
	const auto& tuning = shared_.tuning();
	const auto factor =
		route_->streams ? tuning.first_byte_timeout_factor : tuning.buffered_response_timeout_factor;
	return std::max(tuning.min_attempt_timeout, scaled(route_->latency_objective, factor));
}

void exchange::arm_attempt_timer(duration span)
{
	attempt_timer_.expires_after(span);
	attempt_timer_.async_wait(
		[self = shared_from_this()](const error_code& error)
		{
			// The handler of an earlier expiry may have been queued before the timer was set again.
			const bool is_due = self->attempt_timer_.expiry() <= boot_clock::now();
			if (!error && !self->finished_ && self->attempt_ && is_due)
			{
				self->on_attempt_timer();
			}
			else if (!error && !self->finished_ && self->hop_ && is_due)
			{
				self->on_hop_timer();
			}
		});
}

/// While the path to the replica may be lost, the wait is interrupted to see whether it is.
void exchange::arm_first_byte_timer()
{
	const auto left = first_byte_limit() - (steady_now() - attempt_->connected_at);
	arm_attempt_timer(std::clamp<duration>(left, duration{0}, shared_.tuning().path_check_interval));
}

/// Whether the wait for the first byte goes on.
bool exchange::awaits_first_byte() const
{
	return attempt_->first_byte == duration{0} && shared_.paths().carries_requests(*attempt_->target) &&
		   steady_now() - attempt_->connected_at < first_byte_limit();
}

void exchange::on_attempt_timer()
{
	if (!attempt_->connected)
	{
		on_not_connected(upstream_fault::not_connected);
		return;
	}
	// The replica is not to blame while its response is not read.
	if (attempt_->connection->is_held_up())
	{
		arm_attempt_timer(shared_.tuning().path_check_interval);
		return;
	}
	if (awaits_first_byte())
	{
		if (steady_now() - attempt_->connected_at >= shared_.tuning().unacknowledged_timeout)
		{
			attempt_->connection->restore_unacknowledged_timeout();
		}
		arm_first_byte_timer();
		return;
	}
	// If there is no alternative, the current attempt may still succeed.
	const bool is_silent = attempt_->first_byte == duration{0};
	const bool has_alternative = (may_retry() && route_->is_retryable()) || (held_ && is_silent);
	if (!has_alternative)
	{
		return;
	}
	is_silent ? record_silence() : record_silent_end();
	record_event_interval(attempt_->pace.record_abandoned(steady_now()));
	record_result(routing::replica_result::no_response);
	tried_replicas_.push_back(attempt_->target->id);
	end_attempt(false);
	retry_or([this] { fail(gateway_timeout, "replica silent"); });
}
} // namespace gingerdyke::proxy
