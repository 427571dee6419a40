// SPDX-License-Identifier: MIT
// The orders of one holder.
#include <algorithm>
#include <gingerdyke/scaling/order_book.hpp>

namespace gingerdyke::scaling
{
const order_book::pool_state* order_book::find(const replica_pool& pool) const
{
	const auto found = pools_.find(pool);
	return found == pools_.end() ? nullptr : &found->second;
}

bool order_book::is_due(const replica_order& order, unsigned running, duration boot_time, instant now) const
{
	const auto* state = find(order.pool);
	if (state == nullptr)
	{
		return true;
	}
	if (state->in_flight || now < state->retry_at)
	{
		return false;
	}
	const bool is_unfilled =
		running < order.replicas && now - state->accepted_at > boot_time + tuning_.filling_margin;
	const bool is_repeated = state->repeat_at && now >= *state->repeat_at;
	return state->accepted != order.replicas || is_unfilled || is_repeated;
}

bool order_book::is_in_flight(const replica_pool& pool) const
{
	const auto* state = find(pool);
	return state != nullptr && state->in_flight;
}

std::optional<unsigned> order_book::accepted(const replica_pool& pool) const
{
	const auto* state = find(pool);
	return state == nullptr ? std::nullopt : state->accepted;
}

bool order_book::is_available(const replica_pool& pool) const
{
	const auto* state = find(pool);
	return state == nullptr || state->refusals == 0;
}

void order_book::record_sent(const replica_order& order)
{
	pools_[order.pool].in_flight = true;
}

void order_book::record_accepted(const replica_order& order, instant now)
{
	auto& state = pools_[order.pool];
	state.in_flight = false;
	state.accepted = order.replicas;
	state.accepted_at = now;
	state.refusals = 0;
	if (state.repeat_at && now >= *state.repeat_at)
	{
		state.repeat_at.reset();
	}
}

void order_book::record_exhausted(const replica_order& order, instant now)
{
	auto& state = pools_[order.pool];
	state.in_flight = false;
	constexpr unsigned max_doublings = 8;
	const auto backoff = tuning_.initial_backoff * (1U << std::min(state.refusals, max_doublings));
	state.retry_at = now + std::min<duration>(backoff, tuning_.max_backoff);
	++state.refusals;
}

void order_book::record_failed(const replica_order& order, instant now)
{
	auto& state = pools_[order.pool];
	state.in_flight = false;
	state.retry_at = now + tuning_.retry_delay;
}

void order_book::record_unknown(const replica_order& order, instant now)
{
	record_failed(order, now);
	auto& state = pools_[order.pool];
	state.accepted.reset();
	state.repeat_at = now + tuning_.late_execution;
}
} // namespace gingerdyke::scaling
