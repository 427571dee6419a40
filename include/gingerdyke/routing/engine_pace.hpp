// SPDX-License-Identifier: MIT
// How fast each engine is, compared with the other engines of its service.
#pragma once

#include <cstdint>
#include <functional>
#include <gingerdyke/routing/replica_pace.hpp>
#include <gingerdyke/routing/response_line.hpp>
#include <map>
#include <utility>
#include <vector>

namespace gingerdyke::routing
{
/// \brief Tuning of `engine_pace`.
struct engine_pace_tuning
{
	/// Half-life of a response's weight for its engine: paces change within seconds.
	duration engine_half_life = std::chrono::seconds{3};

	/// Half-life of a response's weight for what is common to the engines of a service.
	duration service_half_life = std::chrono::seconds{60};

	/// Natural logarithms of times beyond this bound count as the bound: a request that was stuck says
	/// little of its engine.
	double max_log = 2.5;

	/// Largest factor; the smallest is its inverse.
	double max_factor = 4;

	/// The factors take effect when engines were seen to differ by this many standard errors, and cease to
	/// below the second number.
	double errors_to_begin = 3.5;
	double errors_to_end = 1;

	/// Comparisons of responses without which nothing is said of a service's spread: the error of fewer is
	/// itself too uncertain.
	double min_comparisons = 20;

	/// The standard deviation of paces below which engines count as equal, as a natural logarithm.
	double min_spread = 0.12;

	/// Weight below which what is known of an engine says nothing.
	double min_weight = 0.1;

	/// Engines without responses for longer than this are dropped.
	duration state_lifetime = std::chrono::minutes{1};

	/// Largest weight that all other VMs together may report of one engine.
	double max_weight = 1000;

	/// Engines in one report.
	std::size_t max_reported = 512;
};

/// \brief State of a service's paces, for the log and metrics.
struct pace_state
{
	service_id service;

	/// Whether engines are compared by their own pace.
	bool is_in_effect{};

	/// Standard deviation of the engines' paces, as a natural logarithm.
	double spread{};
};

/// \brief Learns the pace of each engine's process from the responses of this VM and, through their reports,
/// of others. What the earlier responses of engines say of their next ones tells the spread of paces from the
/// noise of single responses; as long as they say nothing, all factors are 1.
class engine_pace
{
  public:
	/// \brief Called when the factors of a service take effect or cease to.
	using change_hook = std::function<void(const pace_state& changed)>;

	explicit engine_pace(change_hook changed, engine_pace_tuning tuning = {});

	/// \brief Records a response of an engine.
	/// \param work Prompt tokens to process before its first token, those of its own prompt included, as
	/// processed by the largest model.
	/// \param took Time from sending the request to the first token.
	void record(const replica& engine, double work, duration took, instant now);

	/// \brief Returns the time that an engine takes, relative to its service; above 1: slower.
	[[nodiscard]] double factor(const replica& engine, instant now) const;

	/// \brief Returns this VM's own observations for other VMs; of many, those with the largest weight.
	[[nodiscard]] std::vector<replica_pace> own(instant now) const;

	/// \brief Replaces what other VMs observe.
	void set_peer_paces(const std::vector<replica_pace>& paces, instant now);

	/// \brief Drops the state of a replica that is gone or has restarted.
	void forget(const replica_id& id);

	/// \brief Returns the state of each service with responses.
	[[nodiscard]] std::vector<pace_state> states() const;

  private:
	/// Mean of logarithms, and its weight at a moment.
	struct decayed_mean
	{
		double mean{};
		double weight{};
		instant at;
	};

	using process = std::pair<replica_id, replica_incarnation>;

	/// A response of an engine of which something was known before.
	struct known_response
	{
		double log{};

		/// Logarithm expected of the engine before, and the part of it that is not noise.
		double expected{};
		double share{};
		instant at;
	};

	/// Sums over the latest responses of known engines, all expected by the same reports of other VMs.
	struct response_window
	{
		unsigned count{};
		double sum_log{};
		double sum_expected{};
		double sum_share{};
		std::uint64_t reports{};
		instant since;
	};

	/// What the engines of a service have in common: decayed sums over its responses.
	struct service_pace
	{
		response_line line;
		double responses{};
		double sum_log{};

		/// Of comparisons of a response with those of the window before it: their number, what share of it
		/// is not noise, the squares of the differences of logarithms, and the products of these with the
		/// differences expected, by share, and their squares.
		double comparisons{};
		double comparison_shares{};
		double sum_square{};
		double sum_product{};
		double sum_product_square{};
		response_window window;

		/// Of responses of known engines, decayed as quickly as an engine's mean.
		double recent{};
		double recent_expected{};
		bool is_in_effect{};
		instant at;
	};

	[[nodiscard]] decayed_mean known_of(const replica& engine, instant now) const;
	[[nodiscard]] decayed_mean decayed(const decayed_mean& mean, instant now) const;
	void decay(service_pace& service, instant now) const;
	void record_known(service_pace& service, const known_response& response) const;
	static void compare(service_pace& service, const known_response& response);
	void update_effect(const service_id& id, service_pace& service);
	void drop_unused(instant now);
	[[nodiscard]] double shrunk(const service_pace& service, const decayed_mean& mean) const;
	[[nodiscard]] static double variance_of_paces(const service_pace& service);

	change_hook changed_;
	engine_pace_tuning tuning_;
	std::map<service_id, service_pace> services_;
	std::map<process, decayed_mean> own_;
	std::map<process, decayed_mean> peers_;
	std::uint64_t peer_reports_ = 0;
	instant dropped_at_;
};
} // namespace gingerdyke::routing
