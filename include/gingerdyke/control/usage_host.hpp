// SPDX-License-Identifier: MIT
// Counts the requests that began running, collects the counts of other VMs, and reports them while this VM
// holds that duty.
#pragma once

#include <gingerdyke/control/duty_receiver.hpp>
#include <gingerdyke/control/lease_keeper.hpp>
#include <gingerdyke/control/peer_report.hpp>
#include <gingerdyke/usage/fleet_clock.hpp>
#include <gingerdyke/usage/usage_board.hpp>

namespace gingerdyke::control
{
/// Key of the row of the report that was stored last, in the table of leases.
inline constexpr const char* usage_report_key = "usage/report";

/// \brief Encodes a report as the value of its row.
[[nodiscard]] std::string write_usage_report(const usage::usage_report& report);

/// \brief Decodes a report; findings if the value is malformed.
[[nodiscard]] checked<usage::usage_report> read_usage_report(const row& from);

/// \brief Encodes collected usage as the value of its row.
[[nodiscard]] std::string write_collected_usage(const std::vector<usage::reported_usage>& collected);

/// \brief Decodes collected usage; findings if the value is malformed.
[[nodiscard]] checked<std::vector<usage::reported_usage>> read_collected_usage(const row& from);

/// \brief Where usage is kept, and how it is reported.
struct usage_host_settings
{
	vm_id vm;

	/// Name under which this process reports: its VM and its incarnation.
	std::string reporter;

	/// Table of the lease and of the last report.
	std::string duty_table;

	/// Table of collected usage, a row a VM that collects.
	std::string usage_table;
	usage::report_tuning reporting;

	/// Share of the time after a window's end by which a report has to arrive, after which a VM that reads
	/// the registry stores what it collected; less than `report_tuning::collecting_share`.
	double storing_share = 0.3;

	/// Time that a VM that has just begun to read the registry waits for the reports of others.
	duration first_storing_delay = std::chrono::milliseconds{1200};

	/// Delay before a failed call is repeated.
	duration retry_delay = std::chrono::milliseconds{400};

	/// Shortest interval between two reports of counts to the VM that this one reads from.
	duration min_report_interval = std::chrono::milliseconds{400};
};

/// \brief Counts, collects and reports usage.
class usage_host
{
  public:
	usage_host(proxy::asio::io_context& context, row_store& registry, duty_receiver& receiver,
		lease_keeper& lease, usage_host_settings settings);

	/// \brief Counts a request that began running.
	void record_started(const workspace_id& workspace);

	/// \brief Records a reading of the registry's clock that was received now.
	void record_registry_time(registry_time at);

	/// \brief Records whether this VM reads the registry, and so collects usage.
	void set_reads_registry(bool reads_registry);

	// Exchange with other VMs.
	void extend_report(peer_report& report);
	void on_report(const peer_report& report);
	void extend_summary(peer_summary& summary);
	void on_summary(const peer_summary& summary);

	/// \brief To be called when this VM has taken the lease.
	void on_lease_taken();

	/// \brief To be called when this VM may act as holder of the duty.
	void act();

	void stop();

	/// \brief Writes counters in the Prometheus text format.
	void write_metrics(std::ostream& out) const;

  private:
	[[nodiscard]] usage::window_index storable_before(usage::unix_time now) const;
	void schedule_storing();
	void store_after(duration pause);
	void store_collected();
	void forget_old(usage::unix_time now);
	void read_stored_report();
	void collect(usage::window_index window);
	void store(usage::window_index window);
	void send(const usage::usage_report& report);
	void on_sent(const usage::usage_report& report, duty_outcome outcome);
	void act_after(duration pause);
	void act_at(usage::unix_time at, usage::unix_time now);

	row_store& registry_;
	duty_receiver& receiver_;
	lease_keeper& lease_;
	usage_host_settings settings_;
	usage::usage_board board_;
	usage::fleet_clock clock_;
	usage::report_schedule reports_;
	proxy::boot_timer storing_timer_;
	proxy::boot_timer acting_timer_;
	instant reported_at_;
	bool reads_registry_ = false;

	/// Windows before this one have been stored by this VM, or by the one that it reads from.
	usage::window_index stored_before_;

	/// Whether the stored report was read since this VM took the lease.
	bool knows_stored_report_ = false;
	bool is_busy_ = false;
	std::uint64_t reported_windows_ = 0;
	std::uint64_t counted_requests_ = 0;
};
} // namespace gingerdyke::control
