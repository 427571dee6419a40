// SPDX-License-Identifier: MIT
// Estimates how much of what callers ask of a service its replicas can answer in time.
#pragma once

#include <gingerdyke/limits/service_load.hpp>
#include <optional>

namespace gingerdyke::limits
{
/// \brief Tuning of `room_estimator`.
struct room_tuning
{
	/// A service is short of room if its replicas reject more than this share of what they are sent: single
	/// rejections happen where requests coincide.
	double max_rejected_share = 0.03;

	/// A service is short of room if less than this share of its responses is in time. Callers then lose more
	/// by late answers than by the refusal of those who can't be served in time.
	double min_in_time_share = 0.85;

	/// Late responses are a sign of too little room only if responses also take this multiple of their usual
	/// time: some kinds of request are late on quiet days too, and refusals would not make them faster.
	double slow_multiple = 2;

	/// Growth per second of the usual time while responses take longer: a service that has become slower for
	/// good is not short of room for ever.
	double usual_growth_per_s = 0.02;

	/// Work, responses and rejections together, that the averaged figures must rest on: requests, or for
	/// engines thousands of tokens. With less, two late responses would be a shortage.
	double min_responses = 8;

	/// What is admitted at the beginning of a shortage, and after each further sign of it, relative to what
	/// replicas responded to: with less than they can answer, their queues drain.
	double cut_factor = 0.88;

	/// Time until the effect of a change is seen: the figures of other VMs are up to a second old, and they
	/// are averages over another.
	duration settling_time = std::chrono::milliseconds{1500};

	/// Age of what other VMs reported, and the time over which rates are averaged: as many rejections as
	/// there were when what is admitted was cut, decaying, are taken to be from before that.
	duration report_age = std::chrono::seconds{1};
	duration averaging_time = std::chrono::seconds{1};

	/// Least share of the responses at the beginning of a shortage that is admitted if no replica rejects
	/// anything: late answers alone may have other causes than load, which refusals would not cure.
	double min_share_without_rejections = 0.8;

	/// Least share of what callers ask for that is admitted: only what is admitted shows that room is back.
	double min_share_of_demand = 0.05;

	/// Increase per second of what is admitted while answers are in time, doubled each second up to the
	/// maximum, so that room that has come back is used within seconds.
	double first_growth_per_s = 0.04;
	double max_growth_per_s = 0.3;

	/// The same maximum where slots are known: room that has come back then shows by idle slots.
	double max_growth_with_slots_per_s = 0.08;

	/// Slots in use, as a share, below which replicas are idle: the estimate is then too low, and what is
	/// admitted rises at once to the second share.
	double idle_below = 0.7;
	double idle_target = 0.8;

	/// The shortage is over once this multiple of what callers ask for could be admitted.
	double surplus_factor = 1.25;
};

/// \brief What is known of the slots of a service's replicas.
struct service_slots
{
	/// Requests that the replicas run at a time, if a response takes a slot until it begins; 0: not known.
	double count{};

	/// Most slots are known to be free: a replica that rejects is one to which too many requests were sent,
	/// and others have room.
	bool are_mostly_free{};
};

/// \brief State of one service as the VMs together observe it. Deterministic: VMs with the same figures and
/// slots come to the same estimate.
class room_estimator
{
  public:
	explicit room_estimator(room_tuning tuning = {}) : tuning_(tuning) {}

	/// \brief Updates the estimate.
	/// \param total Load of all VMs together.
	/// \param window Time over which its rates are averages.
	/// \param slots Slots of the service's replicas.
	void update(const service_load& total, duration window, const service_slots& slots, instant now);

	/// \brief Work per second that can be admitted by all VMs together; none: all of it.
	[[nodiscard]] std::optional<double> admitted_per_s() const noexcept { return admitted_per_s_; }

  private:
	[[nodiscard]] bool is_rejecting(const service_load& total, instant now) const;
	[[nodiscard]] double earlier_rejections(instant now) const;
	[[nodiscard]] bool is_late(const service_load& total) const;
	[[nodiscard]] bool has_enough_responses(const service_load& total, duration window) const;
	void update_usual(const service_load& total, instant now);
	void cut(const service_load& total, bool is_rejected, instant now);
	void grow(const service_load& total, double slots, instant now);
	[[nodiscard]] double room_of_idle_slots(const service_load& total, double slots) const;

	room_tuning tuning_;
	std::optional<double> admitted_per_s_;

	/// Responses per second at the beginning of the shortage.
	double initial_responses_per_s_{};
	double growth_per_s_{};

	/// Least mean time of responses so far, raised slowly while they take longer; none: too few responses
	/// yet.
	std::optional<duration> usual_response_;
	instant cut_at_;

	/// Rejections per second in the figures when what is admitted was cut.
	double rejections_at_cut_{};
	instant updated_at_;
};
} // namespace gingerdyke::limits
