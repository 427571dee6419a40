// SPDX-License-Identifier: MIT
// Sums what VMs report of replicas that fell silent.
#pragma once

#include <gingerdyke/base/units.hpp>
#include <gingerdyke/routing/replica_silence.hpp>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace gingerdyke::control
{
/// \brief Keeps the latest observations of each VM, and their sum: a reader that sums them anew for each of
/// hundreds of VMs would do little else while many replicas are silent.
class silence_reports
{
  public:
	/// \brief Replaces what a VM reported before.
	void set(const std::string& reporter, std::vector<routing::replica_silence> observed, instant now);

	/// \brief Returns the sum over all VMs with a recent report but one; of many replicas, those that
	/// several VMs found silent come first.
	/// \param reporter The VM to leave out.
	[[nodiscard]] std::vector<routing::replica_silence> sum_excluding(
		const std::string& reporter, instant now);

  private:
	using process = std::pair<replica_id, routing::replica_incarnation>;

	struct kept_report
	{
		std::vector<routing::replica_silence> observed;
		instant at;
	};

	void add(const std::vector<routing::replica_silence>& observed);
	void subtract(const std::vector<routing::replica_silence>& observed);
	void drop_expired(instant now);
	[[nodiscard]] std::vector<const routing::replica_silence*> summarized() const;

	std::map<std::string, kept_report> by_reporter_;

	/// Observations of different processes under one id are not added up.
	std::map<process, routing::replica_silence> sums_;
};
} // namespace gingerdyke::control
