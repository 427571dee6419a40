// SPDX-License-Identifier: MIT
// Back-off periods that replicas request when they refuse a request.
#pragma once

#include <functional>
#include <gingerdyke/base/ids.hpp>
#include <gingerdyke/base/units.hpp>
#include <gingerdyke/routing/replica_set.hpp>
#include <map>
#include <optional>
#include <string>

namespace gingerdyke::routing
{
/// \brief Tuning of `backoff_periods`.
struct backoff_tuning
{
	/// Maximum length of a back-off period: no overload lasts longer, and a wrong value must not take a
	/// replica out of use for hours.
	duration max_length = std::chrono::minutes{10};

	/// VMs resume sending at times spread over this part of the period's length after its end, but over no
	/// longer than `max_resume_spread`: if all resumed at the same moment, they would overload the replica
	/// again.
	double resume_spread = 0.1;
	duration max_resume_spread = std::chrono::seconds{1};

	/// After the period, each VM sends one request first. If it gets no response within this time, the VM
	/// sends another one. The first byte of a response from a busy replica takes about this long.
	duration response_timeout = std::chrono::seconds{2};
};

/// \brief Tracks which replicas are in a back-off period, and until when. If a replica requests several
/// periods, the latest end counts.
class backoff_periods
{
  public:
	/// \brief Called when a replica outside a back-off period requests one, with the id of the refused
	/// request and the length of the period.
	using backoff_hook = std::function<void(const replica&, const std::string& request, duration length)>;

	explicit backoff_periods(backoff_hook began, backoff_tuning tuning = {})
		: began_(std::move(began)), tuning_(tuning)
	{
	}

	/// \brief Records that a replica requests a back-off period.
	/// \param request Id of the request that the replica refused, for the log.
	void record_backoff(const replica& sender, duration length, const std::string& request, instant now);

	/// \brief Records a response that requests no back-off period. If its request was sent after the period,
	/// the replica gets all requests again.
	/// \param sent_at When the request that got this response was sent.
	void record_response(const replica& sender, instant sent_at);

	/// \brief Records a request that is sent to a replica.
	void record_sent(const replica& target, instant now);

	/// \brief Whether a replica is in a back-off period now.
	[[nodiscard]] bool is_backing_off(const replica& target, instant now) const;

	/// \brief Whether this VM may send a request to a replica now: the replica is not in a back-off period,
	/// and the first request after one is not still waiting for its response.
	[[nodiscard]] bool allows_request(const replica& target, instant now) const;

	/// \brief Time until the first back-off period of a service's replicas ends; none: no replica is in
	/// one.
	[[nodiscard]] std::optional<duration> time_until_resumed(const service_id& service, instant now) const;

	/// \brief Drops the state of a replica that is gone or has restarted.
	void forget(const replica_id& id) { states_.erase(id); }

	/// \brief Number of replicas in a back-off period.
	[[nodiscard]] std::size_t count(instant now) const;

  private:
	struct state
	{
		replica_incarnation incarnation;
		service_id service;
		instant until;

		/// When the first request after the period was sent; none: not yet.
		std::optional<instant> first_sent;
	};

	[[nodiscard]] const state* find(const replica& target) const;

	backoff_hook began_;
	backoff_tuning tuning_;
	std::map<replica_id, state> states_;
};
} // namespace gingerdyke::routing
