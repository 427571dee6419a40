// SPDX-License-Identifier: MIT
// The orders of one holder: what was ordered, what was refused, and what may still be carried out late.
#pragma once

#include <gingerdyke/base/units.hpp>
#include <gingerdyke/scaling/replica_order.hpp>
#include <map>
#include <optional>

namespace gingerdyke::scaling
{
/// \brief Tuning of `order_book`.
struct order_book_tuning
{
	/// Time for which an order without a response may still be carried out. After it the current number is
	/// ordered once more.
	duration late_execution = std::chrono::seconds{6};

	/// Time beyond that for starting replicas after which an accepted order that was not filled is repeated.
	duration filling_margin = std::chrono::seconds{2};

	/// Delay before an order that failed is repeated.
	duration retry_delay = std::chrono::milliseconds{800};

	/// Back-off of a pool that could not provide replicas, doubled each time up to the maximum.
	duration initial_backoff = std::chrono::seconds{2};
	duration max_backoff = std::chrono::seconds{4};
};

/// \brief Keeps the orders of a holder.
class order_book
{
  public:
	explicit order_book(order_book_tuning tuning = {}) : tuning_(tuning) {}

	/// \brief Returns whether a number has to be ordered now: it differs from what was last accepted, an
	/// earlier order may have been carried out after it, or the replicas did not come or were taken away.
	/// \param running Replicas that the pool has.
	/// \param boot_time Time from an order until a replica serves.
	[[nodiscard]] bool is_due(
		const replica_order& order, unsigned running, duration boot_time, instant now) const;

	/// \brief Whether an order for the pool is in flight.
	[[nodiscard]] bool is_in_flight(const replica_pool& pool) const;

	/// \brief Returns the number that was last accepted; none if nothing was ordered yet.
	[[nodiscard]] std::optional<unsigned> accepted(const replica_pool& pool) const;

	/// \brief Whether the pool can provide replicas, as far as is known: its last order was not refused.
	[[nodiscard]] bool is_available(const replica_pool& pool) const;

	void record_sent(const replica_order& order);
	void record_accepted(const replica_order& order, instant now);

	/// \brief Records that the pool can't provide the replicas.
	void record_exhausted(const replica_order& order, instant now);

	/// \brief Records that an order was not carried out.
	void record_failed(const replica_order& order, instant now);

	/// \brief Records that an order may be carried out later.
	void record_unknown(const replica_order& order, instant now);

	/// \brief Forgets all orders, of a holder that lost its lease.
	void clear() { pools_.clear(); }

  private:
	struct pool_state
	{
		std::optional<unsigned> accepted;
		instant accepted_at;
		bool in_flight{};
		instant retry_at;

		/// When the current number is ordered once more, since an earlier order may have come after it.
		std::optional<instant> repeat_at;
		unsigned refusals{};
	};

	[[nodiscard]] const pool_state* find(const replica_pool& pool) const;

	order_book_tuning tuning_;
	std::map<replica_pool, pool_state> pools_;
};
} // namespace gingerdyke::scaling
