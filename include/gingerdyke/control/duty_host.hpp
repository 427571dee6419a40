// SPDX-License-Identifier: MIT
// The duties of this VM: their leases, and what is done under them. Any VM that reads the registry may hold
// one; different duties prefer different failure domains.
#pragma once

#include <gingerdyke/control/scaling_host.hpp>
#include <gingerdyke/control/source_selector.hpp>
#include <gingerdyke/control/table_follower.hpp>
#include <gingerdyke/control/usage_host.hpp>

namespace gingerdyke::control
{
/// \brief Duties that the deployment has, and where their state is kept.
struct duty_settings
{
	/// Table of leases; VMs that read the registry follow it.
	std::string duty_table;
	duty::lease_tuning lease;

	/// Names of the duties; none: the deployment doesn't have the duty.
	std::optional<std::string> usage_duty;
	std::optional<std::string> scaling_duty;
	usage_host_settings usage;
	scaling_host_tuning scaling;

	/// Time by which a VM lets another failure domain take a free lease first, for each one preferred.
	duration takeover_step = std::chrono::milliseconds{400};

	/// Delay that collects changes of the leases, so that few calls follow them.
	duration batch_delay = std::chrono::seconds{1};

	/// Longest wait of a call for changes of the leases.
	duration poll_wait = std::chrono::seconds{8};
};

/// \brief Holds duties.
class duty_host
{
  public:
	/// \param process Distinguishes this process from earlier ones of the VM.
	duty_host(proxy::gateway& gateway, row_store& registry, duty_receiver& receiver, peer self,
		const std::string& process, const random_source& random, duty_settings settings);

	/// \brief Records whether this VM reads the registry. Only such VMs hold duties.
	void set_reads_registry(bool reads_registry);

	/// \brief Records the VMs of the fleet.
	void set_vms(const std::vector<peer>& vms);

	/// \brief Records a reading of the registry's clock that was received now.
	void record_registry_time(registry_time at);

	/// \brief Gives the leases up, since the process is about to stop.
	void begin_shutdown();

	/// \brief Usage, if the deployment has that duty.
	[[nodiscard]] usage_host* usage() noexcept { return usage_ ? &*usage_ : nullptr; }

	void stop();

	/// \brief Writes metrics in the Prometheus text format.
	void write_metrics(std::ostream& out) const;

  private:
	void update_eligibility();
	[[nodiscard]] duration takeover_delay(const std::string& duty) const;
	[[nodiscard]] std::vector<lease_keeper*> leases();
	void on_rows(const std::vector<row>& rows);
	void on_table(const std::vector<row>& rows);

	peer self_;
	duty_settings settings_;
	table_follower follower_;
	std::optional<lease_keeper> usage_lease_;
	std::optional<lease_keeper> scaling_lease_;
	std::optional<usage_host> usage_;
	std::optional<scaling_host> scaling_;
	std::vector<failure_domain_id> domains_;
	bool reads_registry_ = false;
	bool is_stopping_ = false;
};
} // namespace gingerdyke::control
