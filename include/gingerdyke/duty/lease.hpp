// SPDX-License-Identifier: MIT
// Lease of a duty: at most one VM at a time may make the duty's calls. A pure state machine; the host reads
// and writes the lease's registry row.
#pragma once

#include <gingerdyke/base/ids.hpp>
#include <gingerdyke/base/units.hpp>
#include <gingerdyke/rollout/version_shift.hpp>
#include <optional>
#include <string>

namespace gingerdyke::duty
{
using rollout::row_version;

/// \brief The process that holds a lease. A restarted process of the same VM is another holder: it doesn't
/// know which calls its predecessor made.
struct lease_holder
{
	vm_id vm;

	/// Distinguishes the processes of one VM.
	std::string process;

	auto operator<=>(const lease_holder&) const = default;
};

/// \brief Content of a lease's row.
struct lease_record
{
	lease_holder holder;

	/// Fencing token: rises by one each time the lease is taken.
	epoch token;

	/// The holder has given the lease up, and none of its calls is in flight.
	bool is_released{};

	/// Version of the row; writes are conditional on it.
	row_version version;
};

/// \brief Tuning of `lease`.
struct lease_tuning
{
	/// Time after which an unchanged row may be taken by another VM. Also the shortest time in which a lease
	/// can pass to another VM and back.
	duration term = std::chrono::seconds{3};

	/// Interval of renewals. Two of them may fail in a row before the lease is lost.
	duration renewal_interval = std::chrono::milliseconds{800};

	/// Longest time that a call made under the lease takes to arrive or fail.
	duration call_limit = std::chrono::milliseconds{500};

	/// Bound on the difference in speed between the steady clocks of two VMs, relative to elapsed time.
	double max_clock_drift = 0.02;

	/// Time for which a new holder makes no calls, so that those of its predecessor that were delayed arrive
	/// first; only needed where the receiver doesn't check fencing tokens.
	duration settling_time{};

	/// Delay before a failed write is retried.
	duration retry_delay = std::chrono::milliseconds{300};
};

/// \brief A write of the lease's row, conditional on the version that the row had before.
struct lease_write
{
	lease_record record;

	/// Required version of the row; 0 if it must not exist.
	row_version expected;
};

/// \brief One VM's view of a lease. Times are of this VM's own steady clock. At most one write is in flight.
///
/// Safety rests on two intervals: a holder stops calling `term` less the clock drift and `call_limit` after
/// it *sent* its last successful renewal; another VM takes the lease at the earliest `term` after it *saw*
/// that renewal, which is later.
class lease
{
  public:
	lease(lease_holder self, lease_tuning tuning);

	/// \brief Sets whether this VM should hold the lease if nobody does. While it must not, a held lease is
	/// released at the next opportunity.
	/// \param takeover_delay Time by which this VM lets others take a free lease first.
	void set_eligible(bool is_eligible, duration takeover_delay);

	/// \brief Applies the row as read from the registry; older versions than the known one are ignored.
	/// \param current None if the row doesn't exist.
	/// \param received_at When the registry's response was received.
	void observe(const std::optional<lease_record>& current, instant received_at);

	/// \brief Returns the write that is due, if any, and counts it as in flight.
	/// \param may_release Whether a held lease may be given up: none of the holder's calls is in flight.
	[[nodiscard]] std::optional<lease_write> start_write(instant now, bool may_release = true);

	/// \brief Counts a write that the host combines with other rows as in flight. Requires `may_act`.
	/// \returns A renewal, or nothing if another write is in flight.
	[[nodiscard]] std::optional<lease_write> start_renewal(instant now);

	/// \brief Records that the write in flight was committed.
	/// \param version New version of the row.
	void on_committed(row_version version, instant now);

	/// \brief Records that the row had another version; it was not written.
	void on_conflict(const std::optional<lease_record>& current, instant now);

	/// \brief Records that the write failed or that its outcome is unknown.
	void on_failure(instant now);

	/// \brief Records that the receiver of a call has seen a higher token: the lease is lost.
	void on_token_rejected(instant now);

	/// \brief Whether a call may be sent now.
	[[nodiscard]] bool may_act(instant now) const;

	/// \brief Whether this VM holds the lease, as far as it knows; it may still be too early to act.
	[[nodiscard]] bool is_held(instant now) const;

	/// \brief Whether the row named this process as the holder when it was last seen.
	[[nodiscard]] bool holds_token() const noexcept { return held_.has_value(); }

	/// \brief Token to send with calls; requires `holds_token`.
	[[nodiscard]] epoch token() const { return held_->token; }

	/// \brief When `start_write` may return a write; none: not before the next event.
	[[nodiscard]] std::optional<instant> next_write_at() const;

  private:
	struct holding
	{
		epoch token;
		row_version version;

		/// Calls may be sent from the first moment until before the second.
		instant act_from;
		instant act_until;
		instant renew_at;
	};

	struct pending_write
	{
		lease_write write;
		instant sent_at;
	};

	[[nodiscard]] duration validity() const;
	[[nodiscard]] instant free_at() const;
	[[nodiscard]] bool is_own(const lease_record& record) const { return record.holder == self_; }
	[[nodiscard]] bool is_rejected(epoch token) const noexcept { return token <= rejected_token_; }
	[[nodiscard]] lease_record record(epoch token, bool is_released) const;
	lease_write start(lease_record next, row_version expected, instant now);
	[[nodiscard]] std::optional<lease_write> start_release(instant now, bool may_release);
	void adopt(const lease_record& own, instant now);

	lease_holder self_;
	lease_tuning tuning_;
	bool is_eligible_ = false;
	duration takeover_delay_{};
	bool is_loaded_ = false;
	std::optional<lease_record> known_;

	/// When the known version and the known token were first seen.
	instant version_seen_at_;
	instant token_seen_at_;
	std::optional<holding> held_;
	std::optional<pending_write> pending_;
	instant retry_at_;

	/// Highest token that was rejected; a renewal that was in flight then must not bring it back.
	epoch rejected_token_;
};
} // namespace gingerdyke::duty
