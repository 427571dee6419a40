// SPDX-License-Identifier: MIT
// Pools the paces of engines that VMs report.
#pragma once

#include <gingerdyke/base/units.hpp>
#include <gingerdyke/routing/replica_pace.hpp>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace gingerdyke::control
{
/// \brief Keeps the latest paces of each VM, and their sums: a reader that summed them anew for each of
/// hundreds of VMs would do little else.
class pace_board
{
  public:
	/// \brief Replaces what a VM reported before. Of many engines the first ones count; values that no VM
	/// can have observed are bounded or left out.
	void set(const std::string& reporter, const std::vector<routing::replica_pace>& observed, instant now);

	/// \brief Returns the mean by weight over all VMs with a recent report but one; of many engines, those
	/// with the largest weight.
	/// \param reporter The VM to leave out.
	[[nodiscard]] std::vector<routing::replica_pace> pooled_excluding(
		const std::string& reporter, instant now);

  private:
	using process = std::pair<replica_id, routing::replica_incarnation>;

	struct kept_report
	{
		std::vector<routing::replica_pace> observed;
		instant at;
	};

	struct pace_sum
	{
		double weighted_log{};
		double weight{};
		unsigned vms{};
	};

	void add(const std::vector<routing::replica_pace>& observed);
	void subtract(const std::vector<routing::replica_pace>& observed);
	void drop_expired(instant now);
	[[nodiscard]] std::vector<routing::replica_pace> pooled() const;

	std::map<std::string, kept_report> by_reporter_;
	std::map<process, pace_sum> sums_;
};
} // namespace gingerdyke::control
