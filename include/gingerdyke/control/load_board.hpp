// SPDX-License-Identifier: MIT
// Sums the loads of services that VMs report.
#pragma once

#include <array>
#include <gingerdyke/limits/service_load.hpp>
#include <map>
#include <string>
#include <vector>

namespace gingerdyke::control
{
/// \brief Keeps the latest loads of each VM, and their sum: a reader that sums them anew for each of hundreds
/// of VMs would be busy with little else.
class load_board
{
  public:
	/// \brief Replaces the loads that a VM reported before.
	void set(const std::string& reporter, std::vector<limits::service_load> loads, instant now);

	/// \brief Returns the sum of the loads of all VMs with a recent report but one, by service. A VM that
	/// reports no load on a service has none.
	/// \param reporter The VM to leave out; it knows its own loads better.
	[[nodiscard]] std::vector<limits::service_load> sum_excluding(const std::string& reporter, instant now);

  private:
	struct kept_loads
	{
		std::vector<limits::service_load> loads;
		instant at;
	};

	/// In whole thousandths, so that what was added can be subtracted without a remainder.
	struct load_sum
	{
		std::array<double, limits::rank_count> arrivals{};
		double responses{};
		double in_time{};
		double rejections{};

		/// Sum of the mean times in microseconds, weighted by responses.
		double response_us{};
		std::size_t reports{};
	};

	static void add(load_sum& to, const limits::service_load& load, double sign);
	[[nodiscard]] static limits::service_load load_from(
		const service_id& service, const load_sum& sum, std::size_t vms);
	void add(const std::vector<limits::service_load>& loads);
	void subtract(const std::vector<limits::service_load>& loads);
	void drop_expired(instant now);

	std::map<std::string, kept_loads> by_reporter_;
	std::map<service_id, load_sum> sums_;
};
} // namespace gingerdyke::control
