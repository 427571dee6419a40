// SPDX-License-Identifier: MIT
// Which new connections of callers a VM takes while it can't serve all of them.
#pragma once

#include <cstdint>
#include <functional>
#include <gingerdyke/base/random.hpp>
#include <gingerdyke/base/units.hpp>

namespace gingerdyke::limits
{
/// \brief Load of a VM in one interval.
struct vm_load
{
	/// How much later than due the event loop ran a timer.
	duration loop_delay{};

	/// Bytes that went over the link in each direction.
	double bytes_per_s{};
};

/// \brief Tuning of `connection_admission`.
struct connection_admission_tuning
{
	/// Interval between two measurements of the load.
	duration interval = std::chrono::milliseconds{100};

	/// The VM is overloaded if its load exceeds a limit in this many intervals in a row. A burst that it
	/// works off in between is none.
	std::size_t min_intervals = 3;

	/// Delay of the event loop above which the VM is overloaded. Each request passes the loop several times.
	duration max_loop_delay = std::chrono::milliseconds{100};

	/// Share of the link's bandwidth above which it is overloaded: queues grow without bound close to 1.
	double max_link_share = 0.9;

	/// Factor of the share of new connections that are taken, in each interval of overload, and what is added
	/// to it in each other interval.
	double decrease = 0.7;
	double increase = 0.05;

	/// Lower bound of the share. The VM notices by these that the overload is over.
	double min_share = 0.1;

	/// Below this share callers are also asked to close the connections that they have.
	double close_share = 0.5;
};

/// \brief Takes fewer new connections for as long as the VM is overloaded. A caller whose connection is
/// closed before its request was read can send it to another VM at once.
class connection_admission
{
  public:
	/// \brief Called when the VM begins or ceases to turn connections away.
	using change_hook = std::function<void(bool is_limiting, const vm_load& load)>;

	/// \param link_mbps Bandwidth of the VM's link in Mbit/s; 0 if unknown.
	connection_admission(unsigned link_mbps, random_source random, change_hook changed,
		connection_admission_tuning tuning = {});

	/// \brief Records the load of one interval.
	void record_load(const vm_load& load);

	/// \brief Decides on a new connection.
	[[nodiscard]] bool admit();

	/// \brief Share of new connections that are taken.
	[[nodiscard]] double share() const noexcept { return share_; }

	/// \brief Whether callers are to close the connections that they have.
	[[nodiscard]] bool closes_connections() const noexcept { return share_ < tuning_.close_share; }

	/// \brief Number of connections that were not taken.
	[[nodiscard]] std::uint64_t rejected_count() const noexcept { return rejected_count_; }

	[[nodiscard]] const connection_admission_tuning& tuning() const noexcept { return tuning_; }

  private:
	[[nodiscard]] bool is_excessive(const vm_load& load) const;

	double link_bytes_per_s_;
	random_source random_;
	change_hook changed_;
	connection_admission_tuning tuning_;
	double share_ = 1;
	std::size_t excessive_intervals_ = 0;
	std::uint64_t rejected_count_ = 0;
};
} // namespace gingerdyke::limits
