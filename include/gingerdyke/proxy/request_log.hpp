// SPDX-License-Identifier: MIT
// One line for each request that matters, bounded in volume: failures before successes.
#pragma once

#include <gingerdyke/base/ids.hpp>
#include <gingerdyke/base/units.hpp>
#include <gingerdyke/limits/token_bucket.hpp>
#include <gingerdyke/proxy/request_metrics.hpp>
#include <optional>
#include <string>

namespace gingerdyke::proxy
{
/// \brief How a request ended, as far as its caller is concerned.
enum class request_outcome
{
	served,
	/// Answered by a replica, with a failure.
	failed_by_replica,
	/// Refused here; nothing ran.
	refused,
	/// Given up here after something may have run.
	failed,
	/// A stream that had begun and could not be ended.
	broken_off,
	/// The caller left.
	abandoned,
};

/// \brief The word for an outcome.
[[nodiscard]] const char* name_of(request_outcome outcome) noexcept;

/// \brief What decided whether an answer was given up for a larger model's.
struct escalation_choice
{
	/// Confidence of the smaller model's answer, and the one below which it is given up.
	double confidence{};
	double threshold{};

	/// When the larger model's first token was expected, from the request's arrival.
	duration expected{};
};

/// \brief What a line tells about one request.
struct request_record
{
	std::string id;

	/// Key of its content, the same for each repeat.
	std::string content_key;
	std::string route;
	std::string workspace;
	std::string replica;

	/// Software version of that replica.
	std::string version;
	std::string model;
	request_outcome outcome{request_outcome::served};
	int status{};

	/// Why it ended so, in a few words; the same words for the same reason.
	std::string reason;
	unsigned attempts{};
	duration elapsed{};

	/// From arrival to the first byte passed on.
	duration first_byte{};

	/// None where there was no choice.
	std::optional<escalation_choice> escalation;

	/// Version of the configuration that decided, and how long ago it was confirmed.
	std::int64_t config_version{};
	duration config_age{};

	/// How long ago the table of replicas was confirmed, and whether the last replica's entry was missing.
	duration replicas_age{};
	bool replica_is_suspected{};
};

/// \brief Tuning of `request_log`.
struct request_log_tuning
{
	/// One in so many served requests is logged; all others are, within the rate.
	unsigned served_sample = 20;

	/// Lines a second, and lines at once.
	double rate = 40;
	double burst = 80;
};

/// \brief Counts how requests end, and logs them within a rate.
class request_log
{
  public:
	explicit request_log(instant now, request_log_tuning tuning = {});

	void note(const request_record& record, instant now);

	/// \brief Requests that ended so.
	[[nodiscard]] std::uint64_t count(request_outcome outcome) const
	{
		return metrics_.count(name_of(outcome));
	}

	/// \brief Counters and histograms in the Prometheus text format.
	[[nodiscard]] std::string prometheus_text() const;

  private:
	request_log_tuning tuning_;
	limits::token_bucket lines_;
	request_metrics metrics_;
	std::uint64_t served_ = 0;
	std::uint64_t dropped_lines_ = 0;
};
} // namespace gingerdyke::proxy
