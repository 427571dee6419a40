// SPDX-License-Identifier: MIT
// Handling of a request: what is kept of its response, and the pace at which its caller takes it.
#include <gingerdyke/proxy/exchange.hpp>

namespace gingerdyke::proxy
{
/// Accounts for what was collected of a response that is passed on in one piece.
///
/// \returns False if it is larger than a response may be.
bool exchange::keep(const std::shared_ptr<upstream_connection>& from, std::size_t size) const
{
	from->set_collected(size);
	return size <= shared_.memory().response_limit_bytes();
}

/// Records that a response was dropped for its size or content.
void exchange::record_given_up(const upstream_connection& from, upstream_fault fault)
{
	if (fault == upstream_fault::too_large || fault == upstream_fault::out_of_memory ||
		fault == upstream_fault::invalid_response)
	{
		shared_.record_given_up({id_, from.target()->id, fault, from.received_bytes()}, steady_now());
	}
}

/// Stops reading a stream while its caller does not take what was written: it would be kept here.
void exchange::await_caller()
{
	if (finished_ || !sink_->is_backlogged())
	{
		return;
	}
	attempt_timer_.cancel();
	const auto& source = attempt_ ? attempt_->connection : hop_->connection;
	source->pause();
	sink_->when_drained(
		[weak = weak_from_this()]
		{
			if (const auto self = weak.lock())
			{
				self->on_caller_drained();
			}
		});
}

void exchange::on_caller_drained()
{
	if (finished_ || (!attempt_ && !hop_))
	{
		return;
	}
	arm_event_timer();
	if (attempt_)
	{
		attempt_->last_byte_at = steady_now();
	}
	const auto source = attempt_ ? attempt_->connection : hop_->connection;
	source->resume();
}

/// Limits the time until the next event of a stream.
void exchange::arm_event_timer()
{
	if (route_->max_event_interval)
	{
		arm_attempt_timer(scaled(*route_->max_event_interval, shared_.tuning().stream_pause_timeout_factor));
	}
}
} // namespace gingerdyke::proxy
