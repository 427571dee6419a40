// SPDX-License-Identifier: MIT
// Watches the responses of each version in use, also while no shift compares them.
#pragma once

#include <functional>
#include <gingerdyke/base/ids.hpp>
#include <gingerdyke/base/units.hpp>
#include <gingerdyke/rollout/response_cells.hpp>
#include <map>
#include <string>
#include <vector>

namespace gingerdyke::rollout
{
/// \brief Tuning of `version_health`.
struct health_tuning
{
	/// The failure ratio is taken over the latest responses, from this many to twice as many: a period of
	/// time would hold too few of them at each VM of a large deployment.
	std::uint64_t min_responses = 50;

	/// A version fails from this failure ratio on, until the ratio is below half of it.
	double failing_ratio = 0.2;

	/// Number of versions that are kept for a service.
	std::size_t max_versions = 4;
};

/// \brief Event: a version began to fail its requests, or no longer does.
struct health_change
{
	service_id service;
	std::string version;
	bool is_failing{};

	/// The latest responses.
	response_counts recent;
};

/// \brief Responses of one version since the process started.
struct version_totals
{
	service_id service;
	std::string version;
	response_counts responses;
};

/// \brief Failure ratios of all versions in use, as seen by this VM. A shift judges its new version only
/// until it ends; what fails later is reported to the operator.
class version_health
{
  public:
	using change_callback = std::function<void(const health_change&)>;

	explicit version_health(change_callback on_change, health_tuning tuning = {});

	/// \brief Records a response.
	void record_response(const service_id& service, const std::string& version, bool failed, instant now);

	/// \brief Records that a response which was recorded as a success broke off.
	void record_broken_response(const service_id& service, const std::string& version, instant now);

	[[nodiscard]] std::vector<version_totals> totals() const;

  private:
	struct version_state
	{
		response_counts total;
		response_counts recent;
		instant last_seen;
		bool is_failing{};
	};

	using versions = std::map<std::string, version_state>;

	void add(
		const service_id& service, const std::string& version, const response_counts& counts, instant now);
	void drop_oldest_version(versions& of) const;
	[[nodiscard]] bool is_failing(const version_state& state) const;

	change_callback change_callback_;
	health_tuning tuning_;
	std::map<service_id, versions> services_;
};
} // namespace gingerdyke::rollout
