// SPDX-License-Identifier: MIT
// Counters of requests by outcome, and latency histograms by workspace and by route.
#pragma once

#include <gingerdyke/base/units.hpp>
#include <gingerdyke/metrics/histogram.hpp>
#include <map>
#include <ostream>
#include <string>

namespace gingerdyke::proxy
{
struct request_record;

/// \brief Request metrics. Latencies are recorded only for requests with a response from a replica: the time
/// of a refusal by the router says nothing about the service.
class request_metrics
{
  public:
	void record_request(const request_record& record);

	/// \brief Number of requests with an outcome; see `name_of(request_outcome)`.
	[[nodiscard]] std::uint64_t count(const std::string& outcome) const;

	/// \brief Writes all metrics in the Prometheus text format.
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
