// SPDX-License-Identifier: MIT
// Meters what this VM's callers ask of each service and what becomes of it.
#pragma once

#include <gingerdyke/limits/decayed_rate.hpp>
#include <gingerdyke/limits/service_load.hpp>
#include <map>
#include <optional>
#include <vector>

namespace gingerdyke::limits
{
/// \brief Tuning of `load_meter`.
struct load_meter_tuning
{
	/// Time over which load is averaged: a VM that sends a service a few requests per second sees several in
	/// it, and a shortage of a few seconds is noticed early in it.
	duration time_constant = std::chrono::seconds{1};

	/// Least time that a rate is taken to rest on: the first events of a VM that has just started tell
	/// little.
	duration min_observed = std::chrono::milliseconds{200};

	/// Services for which arrivals, responses and rejections together are below this are not reported.
	double negligible_per_s = 0.01;
};

/// \brief Counts requests, responses and rejections by service.
class load_meter
{
  public:
	explicit load_meter(load_meter_tuning tuning = {}) : tuning_(tuning) {}

	/// \brief Records a request from a caller.
	/// \param work Work of the request, in the unit of the service's load.
	void record_arrival(const service_id& service, admission_rank rank, double work, instant now);

	/// \brief Records the first byte of a replica's response.
	/// \param took Time since the request was sent.
	/// \param is_in_time Whether the request meets its latency objective.
	void record_response(const service_id& service, double work, duration took, bool is_in_time, instant now);

	/// \brief Records that a replica rejected a request because it was full.
	void record_rejection(const service_id& service, double work, instant now);

	/// \brief Returns this VM's load on a service.
	[[nodiscard]] service_load load_of(const service_id& service, instant now) const;

	/// \brief Returns the part of the averaging time for which this VM has metered, 0 to 1.
	[[nodiscard]] double observed_share(instant now) const;

	/// \brief Returns this VM's load on all services that it uses, for other VMs.
	[[nodiscard]] std::vector<service_load> loads(instant now) const;

  private:
	struct service_rates
	{
		explicit service_rates(duration time_constant)
			: arrivals(rank_count, decayed_rate{time_constant}), responses(time_constant),
			  in_time(time_constant), rejections(time_constant), response_count(time_constant),
			  response_ms(time_constant)
		{
		}

		std::vector<decayed_rate> arrivals;
		decayed_rate responses;
		decayed_rate in_time;
		decayed_rate rejections;

		/// Number of the responses, and their summed times.
		decayed_rate response_count;
		decayed_rate response_ms;
	};

	[[nodiscard]] service_rates& rates_of(const service_id& service, instant now);
	[[nodiscard]] service_load load_from(
		const service_id& service, const service_rates& rates, instant now) const;

	load_meter_tuning tuning_;
	std::map<service_id, service_rates> rates_;

	/// When the first event of any service was recorded; none: not yet.
	std::optional<instant> started_at_;
};
} // namespace gingerdyke::limits
