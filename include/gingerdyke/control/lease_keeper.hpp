// SPDX-License-Identifier: MIT
// Keeps the lease of one duty: reads and writes its registry row for the state machine in duty/lease.hpp.
#pragma once

#include <gingerdyke/base/finding.hpp>
#include <gingerdyke/control/row_store.hpp>
#include <gingerdyke/duty/lateness_monitor.hpp>
#include <gingerdyke/duty/lease.hpp>
#include <gingerdyke/proxy/asio.hpp>
#include <ostream>

namespace gingerdyke::control
{
/// Key prefix of the rows of leases.
inline constexpr std::string_view lease_key_prefix = "lease/";

/// \brief Encodes a lease as the value of its row.
[[nodiscard]] std::string write_lease(const duty::lease_record& record);

/// \brief Decodes a lease; findings if the value is malformed.
[[nodiscard]] checked<duty::lease_record> read_lease(const row& from);

/// \brief Callbacks of `lease_keeper`.
struct lease_keeper_hooks
{
	/// Called when this VM has taken the lease.
	std::function<void()> taken;

	/// Called after each write of the lease, renewals included: the holder may be allowed to act since.
	std::function<void()> may_act;
};

/// \brief Keeps one lease.
class lease_keeper
{
  public:
	/// \param table Table of leases.
	/// \param duty Name of the duty.
	lease_keeper(proxy::asio::io_context& context, row_store& registry, std::string table, std::string duty,
		duty::lease_holder self, duty::lease_tuning tuning, lease_keeper_hooks hooks);

	/// \brief Sets whether this VM should hold the lease if nobody does.
	/// \param takeover_delay Time by which this VM lets others take a free lease first.
	void set_eligible(bool is_eligible, duration takeover_delay);

	/// \brief Applies rows of the table; others than the lease's are ignored.
	void on_rows(const std::vector<row>& rows);

	/// \brief Records that the whole table was read: a lease without a row was never taken.
	void on_table(const std::vector<row>& rows);

	/// \brief Writes rows in one transaction with a renewal of the lease, so that only its holder can.
	/// \returns Whether the write was started; if not, no callback follows.
	bool write_with(std::vector<row_change::put> rows, std::function<void(bool committed)> done);

	/// \brief Records that a call under the lease was sent or has ended.
	void record_call_started() { ++calls_in_flight_; }
	void record_call_ended();

	/// \brief Records that the receiver of a call has seen a higher token.
	void on_token_rejected();

	[[nodiscard]] bool may_act() const;
	[[nodiscard]] epoch token() const { return lease_.token(); }
	[[nodiscard]] const std::string& duty() const noexcept { return duty_; }
	[[nodiscard]] bool is_call_in_flight() const noexcept { return calls_in_flight_ > 0; }

	void stop();

	/// \brief Writes whether the lease is held, in the Prometheus text format.
	void write_metrics(std::ostream& out) const;

  private:
	void schedule();
	void on_timer(instant due);
	void start_due_write();
	void update_eligibility();
	void write(const duty::lease_write& due, std::vector<row_change::put> rows,
		std::function<void(bool committed)> done);
	void on_written(const duty::lease_write& written, const store_result<change_result>& result);
	void log_change();
	[[nodiscard]] std::string key() const;

	row_store& registry_;
	std::string table_;
	std::string duty_;
	duty::lease_holder self_;
	duty::lease lease_;
	lease_keeper_hooks hooks_;
	proxy::boot_timer timer_;
	duty::lateness_monitor lateness_;
	bool is_wanted_ = false;
	duration takeover_delay_{};
	unsigned calls_in_flight_ = 0;
	bool stopped_ = false;

	/// Token under which the lease was last seen as held; for the log.
	std::optional<epoch> logged_token_;
};
} // namespace gingerdyke::control
