// SPDX-License-Identifier: MIT
// Logs how requests ended, within a rate limit: successes are sampled, failures are not.
#pragma once

#include <gingerdyke/base/ids.hpp>
#include <gingerdyke/base/units.hpp>
#include <gingerdyke/limits/token_bucket.hpp>
#include <gingerdyke/proxy/request_metrics.hpp>
#include <optional>
#include <string>

namespace gingerdyke::proxy
{
/// \brief How a request ended from its caller's point of view.
enum class request_outcome
{
	served,
	/// A replica responded with a failure.
	failed_by_replica,
	/// Refused by the router; no replica ran it.
	refused,
	/// Failed by the router after a replica may have run it.
	failed,
	/// A stream that started but could not be completed.
	broken_off,
	/// The caller disconnected.
	abandoned,
};

/// \brief Name of an outcome, as logs and metrics show it.
[[nodiscard]] const char* name_of(request_outcome outcome) noexcept;

/// \brief Inputs of the decision whether to escalate from a smaller model's answer to a larger model.
struct escalation_choice
{
	/// Confidence of the smaller model's answer, and the threshold below which the larger model's is tried
	/// for.
	double confidence{};
	double threshold{};

	/// Expected time from the request's arrival to the larger model's first token; the route's time limit if
	/// there is no room or no engine for it.
	duration expected{};

	/// Share of the service's slots in use.
	double slots_in_use{};
};

/// \brief Log record of one request.
struct request_record
{
	std::string id;

	/// Hash of the request's content, the same for each repetition.
	std::string content_key;

	/// Keys of the shared parts of its prompt.
	std::vector<std::string> parts;
	std::string route;
	std::string workspace;
	std::string replica;

	/// VM that the request was last sent through, and VM that forwarded it here; empty if none.
	std::string forwarded_to{};
	std::string forwarded_by{};

	/// Software version of the replica.
	std::string version;
	std::string model;
	request_outcome outcome{request_outcome::served};
	int status{};

	/// Short reason of the outcome, always the same text for the same reason.
	std::string reason;

	/// Refusal status of an answer that was not passed on, since the request ran or may have run; 0: none.
	int replaced_status{};
	unsigned attempts{};

	/// Connections to replicas that did not come up, and those of them that were refused.
	unsigned failed_connections{};
	unsigned refused_connections{};
	duration elapsed{};

	/// Time from arrival to the first byte sent to the caller.
	duration first_byte{};

	/// None if there was no such decision.
	std::optional<escalation_choice> escalation;

	/// Place of the request in the order of priorities; 0 is the highest, and stands for requests without a
	/// route too.
	unsigned priority{};

	/// The response was a smaller model's that was held while the larger model's was tried for.
	bool is_held_used{};

	/// Version of the configuration that applied, and the time since it was confirmed.
	std::int64_t config_version{};
	duration config_age{};

	/// Time since the table of replicas was confirmed, and whether the last replica's entry was missing from
	/// it.
	duration replicas_age{};
	bool replica_is_suspected{};
};

/// \brief Tuning of `request_log`.
struct request_log_tuning
{
	/// One in this many served requests is logged; all others are logged as far as the rate allows.
	unsigned served_sample = 20;

	/// Lines per second, and size of a burst of lines.
	double rate = 40;
	double burst = 80;
};

/// \brief Counts requests by outcome and logs them within a rate limit.
class request_log
{
  public:
	explicit request_log(instant now, request_log_tuning tuning = {});

	void record_request(const request_record& record, instant now);

	/// \brief Number of requests with an outcome.
	[[nodiscard]] std::uint64_t count(request_outcome outcome) const
	{
		return metrics_.count(name_of(outcome));
	}

	/// \brief Counters and histograms in the Prometheus text format.
	[[nodiscard]] std::string prometheus_text() const;

  private:
	request_log_tuning tuning_;
	limits::token_bucket line_budget_;
	request_metrics metrics_;
	std::uint64_t served_ = 0;
	std::uint64_t held_used_ = 0;
	std::uint64_t dropped_lines_ = 0;
};
} // namespace gingerdyke::proxy
