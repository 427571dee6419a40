// SPDX-License-Identifier: MIT
// How many replicas a service needs for its load.
#pragma once

#include <deque>
#include <gingerdyke/base/units.hpp>
#include <optional>

namespace gingerdyke::scaling
{
/// \brief Tuning of `load_target`.
struct load_target_tuning
{
	/// Share of the requests that may wait longer than the latency objective.
	double late_share = 0.02;

	/// Utilization at which the wait is assumed to reach its target; typical of services with objectives of
	/// several service times.
	double utilization = 0.7;

	/// Time over which the need is smoothed: requests arrive in clumps, and reports of work are some tenths
	/// of a second old.
	duration smoothing = std::chrono::seconds{2};

	/// Time over which the highest need counts. Replicas that were given back too early are missed for as
	/// long as it takes to start others and to warm them up.
	duration memory = std::chrono::seconds{15};
};

/// \brief Load of a service's replicas at one moment.
struct service_load
{
	/// Replicas that take requests.
	unsigned replicas{};

	/// Expected wait for the first token at a replica with the mean amount of work.
	duration mean_wait{};

	/// Shortest latency objective of the routes that lead to the service.
	duration objective{};
};

/// \brief Derives the number of replicas from the mean wait W. At a queue with random arrivals and
/// utilization u, a request waits longer than t with a probability of about u exp(-u t / W) (exact for M/M/1;
/// Kingman's approximation otherwise). The mean wait falls at least in proportion to the number of replicas.
class load_target
{
  public:
	explicit load_target(load_target_tuning tuning = {}) : tuning_(tuning) {}

	/// \brief Records the load.
	void record(const service_load& load, instant now);

	/// \brief Returns the highest number of replicas that was needed lately; none as long as the load is
	/// known for less than the time remembered.
	[[nodiscard]] std::optional<double> needed(instant now) const;

	/// \brief Returns the number needed now; none without any record.
	[[nodiscard]] std::optional<double> needed_now() const;

	/// \brief Mean wait at which the objective is kept.
	[[nodiscard]] duration target_wait(duration objective) const;

  private:
	struct sample
	{
		instant at;
		double needed{};
	};

	load_target_tuning tuning_;
	std::optional<instant> known_since_;
	std::deque<sample> samples_;
};
} // namespace gingerdyke::scaling
