// SPDX-License-Identifier: MIT
// What the replicas of an emulated service answer, and how fast.
#pragma once

#include "shift_emulator.hpp"
#include <gingerdyke/base/random.hpp>
#include <gingerdyke/rollout/version_shift.hpp>
#include <gingerdyke/routing/replica_set.hpp>
#include <vector>

namespace gingerdyke::emulator
{
/// \brief Length of a disturbance that does not last for the whole shift.
inline constexpr duration disturbance_length = std::chrono::seconds{7};

/// \brief One replica of the emulated service.
struct engine
{
	routing::replica_ptr replica;
	double speed{1};
	bool is_slowed{};
	bool is_failing{};
	bool is_breaking{};

	/// Requests per second, as an exponential moving average.
	double rate{};
};

/// \brief What VMs observe of one response.
struct emulated_response
{
	std::vector<rollout::response_sample> samples;

	/// The response ends early.
	bool breaks_off{};

	/// It is failed or slow because of the new version.
	bool is_bad{};
};

/// \brief What is drawn once for a simulated shift.
struct drawn_slowness
{
	/// Start of the time in which the slowed replicas are slow, after the order; responses break off from
	/// then on, too.
	duration replicas_from{};

	/// How many times as long the responses of a slow version take.
	double of_version{1};
};

/// \brief Draws the responses of both versions' replicas.
class response_model
{
  public:
	response_model(
		const shift_setup& setup, random_source random, instant order_time, drawn_slowness slowness);

	[[nodiscard]] emulated_response respond(const engine& target, bool is_new, instant now);

  private:
	[[nodiscard]] emulated_response respond_as_model(const engine& target, bool is_new);
	[[nodiscard]] emulated_response respond_as_plain(const engine& target, bool is_new);
	[[nodiscard]] double random_fraction() const { return random_unit(random_); }
	[[nodiscard]] double random_between(double from, double to) const;
	[[nodiscard]] double random_normal() const;
	[[nodiscard]] bool is_replica_slow(const engine& target) const;
	[[nodiscard]] bool is_old_disturbed() const;
	[[nodiscard]] bool is_overloaded() const;
	[[nodiscard]] bool is_broken_by_disturbance(const engine& target) const;
	void break_off(emulated_response& response, const engine& target, bool is_new) const;
	[[nodiscard]] double load_of(const engine& target) const;
	[[nodiscard]] double plain_latency_at(const engine& target) const;
	[[nodiscard]] double latency_at(const engine& target, bool is_new) const;
	[[nodiscard]] double event_interval_at(const engine& target, bool is_new) const;
	[[nodiscard]] double queue_length(const engine& target, bool is_new) const;
	[[nodiscard]] double slowdown_of(const engine& target, bool is_new) const;
	[[nodiscard]] double failure_ratio(const engine& target, bool is_new, bool is_first_route) const;
	[[nodiscard]] double replica_failure_ratio(const engine& target) const;
	[[nodiscard]] double version_failure_ratio(const engine& target, bool is_first_route) const;

	const shift_setup& setup_;
	random_source random_;
	instant order_time_;
	drawn_slowness slowness_;
	instant now_;
};
} // namespace gingerdyke::emulator
