// SPDX-License-Identifier: MIT
// Decides, for each request of this VM's callers, whether the service has room for it.
#pragma once

#include <functional>
#include <gingerdyke/limits/admission.hpp>
#include <gingerdyke/limits/load_meter.hpp>
#include <gingerdyke/limits/room_estimator.hpp>
#include <map>
#include <optional>
#include <vector>

namespace gingerdyke::limits
{
/// \brief Tuning of `admission_control`.
struct admission_control_tuning
{
	load_meter_tuning meter;
	room_tuning room;
	admission_tuning admission;

	/// Interval at which the room of a service in use is estimated anew.
	duration update_interval = std::chrono::milliseconds{250};

	/// Time for which the loads that other VMs reported count. They come with each poll, about once a second.
	duration peer_load_lifetime = std::chrono::milliseconds{2500};

	/// Time after which an estimate that was not updated no longer holds: this VM was suspended, or had
	/// neither requests nor reports.
	duration room_lifetime = std::chrono::seconds{5};
};

/// \brief Sum of the loads that two groups of VMs observe of one service.
[[nodiscard]] service_load sum_of(const service_load& first, const service_load& second);

/// \brief Load of all VMs together.
/// \param own Load that this VM observes.
/// \param others Sum of what other VMs report; null if there is no recent report.
/// \param vms Number of VMs. Those that did not report, such as those of other failure domains, are taken to
/// have the mean load of those that did.
[[nodiscard]] service_load fleet_load(const service_load& own, const service_load* others, std::size_t vms);

/// \brief A change of what is known of a service's room.
struct room_change
{
	service_id service;

	/// Work per second that all VMs together may send; none: the shortage is over.
	std::optional<double> admitted_per_s;

	/// The load of all VMs that it follows from, and how old the reports in it are.
	service_load total;
	duration age{};
};

/// \brief Meters the load of services, estimates their room, and admits requests by rank. Each VM decides for
/// its own callers.
class admission_control
{
  public:
	/// \brief Called at the beginning and the end of a shortage.
	using change_hook = std::function<void(const room_change&)>;

	/// \brief Returns what is known of the slots of a service's replicas.
	using slots_hook = std::function<service_slots(const service_id&)>;

	/// \param sheds Whether requests are refused at all; otherwise loads are only metered.
	admission_control(bool sheds, random_source random, change_hook changed, slots_hook slots,
		admission_control_tuning tuning = {});

	/// \brief Sets the number of VMs that send to the services.
	void set_vm_count(std::size_t count) noexcept { vm_count_ = count; }

	/// \brief Replaces what other VMs report.
	void set_peer_loads(const std::vector<service_load>& loads, instant now);

	/// \brief Records a request of a caller and decides on it.
	/// \param work Work of the request: 1, or for engines thousands of tokens.
	/// \returns None if the request is admitted, otherwise the time after which its caller should return.
	[[nodiscard]] std::optional<duration> admit(
		const service_id& service, admission_rank rank, double work, instant now);

	/// \brief Records the first byte of a response.
	void record_response(const service_id& service, double work, duration took, bool is_in_time, instant now)
	{
		meter_.record_response(service, work, took, is_in_time, now);
	}

	/// \brief Records a rejection by a full replica.
	void record_rejection(const service_id& service, double work, instant now)
	{
		meter_.record_rejection(service, work, now);
	}

	/// \brief Returns this VM's load on all services, for other VMs.
	[[nodiscard]] std::vector<service_load> loads(instant now) const { return meter_.loads(now); }

	/// \brief Room of one service, for metrics.
	struct admitted_room
	{
		service_id service;
		std::optional<double> admitted_per_s;
		std::uint64_t refused{};
	};

	[[nodiscard]] std::vector<admitted_room> rooms() const;

  private:
	struct service_state
	{
		explicit service_state(const random_source& random, const room_tuning& tuning)
			: room(tuning), gate(random)
		{
		}

		room_estimator room;
		admission gate;
		std::optional<instant> updated_at;

		/// Load that the shares follow from.
		service_load total;
		std::uint64_t refused{};
	};

	[[nodiscard]] bool is_update_due(const service_state& state, instant now) const;
	void update_short_services(instant now);
	void update(const service_id& service, service_state& state, instant now);
	[[nodiscard]] const service_load* peer_load(const service_id& service, instant now) const;

	bool sheds_;
	random_source random_;
	change_hook changed_;
	slots_hook slots_;
	admission_control_tuning tuning_;
	load_meter meter_;
	std::map<service_id, service_state> states_;
	std::map<service_id, service_load> peer_loads_;

	/// Load of the reporting VMs on a service that none of them names.
	service_load idle_peers_;
	instant peer_loads_at_;
	std::size_t vm_count_ = 1;
};
} // namespace gingerdyke::limits
