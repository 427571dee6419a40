// SPDX-License-Identifier: MIT
// The time of day as all VMs agree on it: the registry's steady clock plus the median of what the VMs' own
// clocks are ahead of it. A single clock may be off by seconds.
#pragma once

#include <gingerdyke/rollout/version_shift.hpp>
#include <gingerdyke/usage/usage_cell.hpp>
#include <optional>
#include <string>

namespace gingerdyke::usage
{
/// \brief Tuning of `fleet_clock`.
struct fleet_clock_tuning
{
	/// Time for which the offset that another VM reported counts.
	duration report_lifetime = std::chrono::seconds{5};
};

/// \brief Derives the time of day from the registry's clock and the clocks of the VMs.
class fleet_clock
{
  public:
	explicit fleet_clock(fleet_clock_tuning tuning = {}) : tuning_(tuning) {}

	/// \brief Records a reading of the registry's clock that was received now.
	void record_registry_time(rollout::registry_time at, instant now);

	/// \brief Records a reading of this VM's clock.
	void record_own_time(unix_time at, instant now);

	/// \brief Records how far another VM's clock is ahead of the registry's.
	void record_offset(const std::string& reporter, duration offset, instant now);

	/// \brief Records the offset that the VM this one reads from computed from the reports it has.
	void set_agreed_offset(duration offset) { agreed_offset_ = offset; }

	/// \brief Returns how far this VM's clock is ahead of the registry's; none before both are known.
	[[nodiscard]] std::optional<duration> own_offset() const noexcept { return own_offset_; }

	/// \brief Returns the median of the own offset and those reported.
	[[nodiscard]] std::optional<duration> median_offset(instant now);

	/// \brief Returns the time of day; none before the registry's clock is known.
	[[nodiscard]] std::optional<unix_time> time(instant now) const;

  private:
	struct reported_offset
	{
		duration offset{};
		instant at;
	};

	fleet_clock_tuning tuning_;

	/// The registry's clock less this VM's steady clock: the largest difference seen, which belongs to the
	/// fastest response.
	std::optional<duration> registry_offset_;
	std::optional<duration> own_offset_;
	std::optional<duration> agreed_offset_;
	std::map<std::string, reported_offset> reported_;
};
} // namespace gingerdyke::usage
