// SPDX-License-Identifier: MIT
// Counters of how requests end, and histograms of their times for each workspace and each route.
#pragma once

#include <gingerdyke/base/units.hpp>
#include <gingerdyke/metrics/histogram.hpp>
#include <map>
#include <ostream>
#include <string>

namespace gingerdyke::proxy
{
struct request_record;

/// \brief Counts requests. Times are of requests that a replica answered: what is refused here takes no time
/// that says anything.
class request_metrics
{
  public:
	void note(const request_record& record);

	/// \brief Requests that ended so; see `name_of(request_outcome)`.
	[[nodiscard]] std::uint64_t count(const std::string& outcome) const;

	/// \brief Everything in the Prometheus text format.
	void write(std::ostream& out) const;

  private:
	struct times
	{
		metrics::histogram total;
		metrics::histogram first_byte;
	};

	std::map<std::string, std::uint64_t> outcomes_;
	std::map<std::string, std::uint64_t> reasons_;
	std::map<std::string, times> by_workspace_;
	std::map<std::string, times> by_route_;
};
} // namespace gingerdyke::proxy
