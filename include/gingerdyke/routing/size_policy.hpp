// SPDX-License-Identifier: MIT
// Which model size answers a request first, and when its response is discarded in favour of a larger
// model's.
#pragma once

#include <algorithm>
#include <gingerdyke/routing/catalog.hpp>
#include <gingerdyke/routing/urgency.hpp>
#include <optional>

namespace gingerdyke::routing
{
/// \brief Tuning of `size_policy`.
struct size_tuning
{
	/// A response with less confidence than this (0 to 100) is discarded in favour of the largest model's
	/// response if the latter would begin immediately. With a lower value, clients get responses to requests
	/// that were too hard for the small model; with a higher one, the largest model's prompts fill the
	/// engines' queues and delay all requests.
	double escalate_below = 60;

	/// The larger model's expected first token, counted from the arrival of the request, in multiples of
	/// the route's latency objective. Up to the first value the full confidence above is required, from the
	/// second on none, with a linear decrease in between: the later the larger model's response, the less
	/// it is worth and the more it delays other requests. The second value is above 1 because the expected
	/// time is a mean: half of such responses still meet the objective.
	double full_threshold_share = 0.14;
	double zero_threshold_share = 1.4;

	/// By how much less the second value is for each priority that is more urgent at the service, and its
	/// least value: less urgent routes give their larger models up first, before these delay more urgent
	/// requests.
	double zero_threshold_step = 0.31;
	double min_zero_threshold_share = 0.78;

	/// Share of the service's slots in use up to which the confidence above is required in full, for the
	/// most and the least urgent requests. A larger model's run takes a slot for as long as several of the
	/// smallest one's: while slots are plenty it displaces no other request, after that less urgent requests
	/// leave the slots to those before them.
	double plenty_urgent = 0.75;
	double plenty_least_urgent = 0.6;

	/// By how much more of the slots in use, with a linear decrease, no confidence is required any more.
	double plenty_to_none = 0.25;
};

/// \brief Room for a larger model's run at the replicas of a service.
struct cascade_room
{
	/// Share of the slots in use, 0 to 1.
	double slots_in_use{};

	/// Place of the request in the order of priorities; 0 is the highest.
	unsigned priority{};

	/// Number of priorities of the service's routes that are more urgent than that of the request's route.
	unsigned more_urgent_priorities{};
};

/// \brief One execution of a request on one model size.
struct size_step
{
	/// Index in the route's list of models.
	std::size_t index{};

	/// The response may be discarded in favour of a larger model's.
	bool may_escalate{};
};

/// \brief Chooses model sizes for routes whose clients do not name a model.
class size_policy
{
  public:
	explicit size_policy(size_tuning tuning = {}) : tuning_(tuning) {}

	/// \brief Returns the model that answers first.
	/// \param may_escalate Whether a second execution is possible: attempts and budget are left.
	[[nodiscard]] static size_step first(const route& route, bool may_escalate)
	{
		return {0, route.models.size() > 1 && may_escalate};
	}

	/// \brief Share of the required confidence that remains, by the room there is: 1 where it is plenty, 0
	/// where there is none for a larger model.
	[[nodiscard]] double room_factor(const cascade_room& room) const
	{
		const auto plenty = by_urgency(room.priority, tuning_.plenty_urgent, tuning_.plenty_least_urgent);
		return std::clamp(1 - (room.slots_in_use - plenty) / tuning_.plenty_to_none, 0.0, 1.0);
	}

	/// \brief Returns the model to try after a response of too little confidence, or none if the step used
	/// the largest model.
	[[nodiscard]] static std::optional<size_step> after(const route& route, const size_step& step)
	{
		if (step.index + 1 >= route.models.size())
		{
			return std::nullopt;
		}
		return size_step{route.models.size() - 1, false};
	}

	/// \brief Returns the confidence below which a larger model's response is tried for.
	/// \param expected When the larger model's first token is expected, counted from the arrival of the
	/// request.
	/// \param room Room for the larger model's run.
	[[nodiscard]] double threshold(const route& route, duration expected, const cascade_room& room = {}) const
	{
		const auto objective_share =
			to_milliseconds(expected) / std::max(1.0, to_milliseconds(route.latency_objective));
		const auto zero_share = std::max(tuning_.min_zero_threshold_share,
			tuning_.zero_threshold_share - tuning_.zero_threshold_step * room.more_urgent_priorities);
		const auto threshold_share =
			(zero_share - objective_share) / (zero_share - tuning_.full_threshold_share);
		return tuning_.escalate_below * std::clamp(threshold_share, 0.0, 1.0) * room_factor(room);
	}

  private:
	size_tuning tuning_;
};
} // namespace gingerdyke::routing
