// SPDX-License-Identifier: MIT
// Which size of model answers a request first, and when its answer is given up for a larger model's.
#pragma once

#include <algorithm>
#include <gingerdyke/routing/catalog.hpp>
#include <optional>

namespace gingerdyke::routing
{
/// \brief Tuning of `size_policy`.
struct size_tuning
{
	/// An answer with less confidence than this (0 to 100) is given up for the largest model's where that
	/// comes at once. Lower, callers keep answers that were too hard for the small model; higher, largest
	/// models' prompts make engines queue, and all wait.
	double escalate_below = 60;

	/// Parts of the objective at which the larger model's first token is expected, counted from the request's
	/// arrival: up to the first the whole confidence above is asked for, from the second on none. In between
	/// it falls evenly: the later the larger answer, the less it is worth, and the more it delays others.
	/// The second is above 1 since the expectation is a mean: half of such answers still begin in time.
	double early_share = 0.14;
	double late_share = 1.4;
};

/// \brief One run of a request on one size of model.
struct size_step
{
	/// Index in the route's list of models.
	std::size_t index{};

	/// Its answer may be given up for a larger model's.
	bool may_escalate{};
};

/// \brief Chooses sizes for routes whose callers leave the model open.
class size_policy
{
  public:
	explicit size_policy(size_tuning tuning = {}) : tuning_(tuning) {}

	/// \brief The model that answers first.
	/// \param may_escalate Whether a second run is possible: attempts and budget are left.
	[[nodiscard]] static size_step first(const route& route, bool may_escalate)
	{
		return {0, route.models.size() > 1 && may_escalate};
	}

	/// \brief The model after one whose answer was given up, or none where it is the largest already.
	[[nodiscard]] static std::optional<size_step> after(const route& route, const size_step& step)
	{
		if (step.index + 1 >= route.models.size())
		{
			return std::nullopt;
		}
		return size_step{route.models.size() - 1, false};
	}

	/// \brief Confidence below which an answer is given up.
	/// \param expected When the larger model's first token is expected, from the request's arrival.
	[[nodiscard]] double threshold(const route& route, duration expected) const
	{
		const auto part = to_milliseconds(expected) / std::max(1.0, to_milliseconds(route.objective));
		const auto left = (tuning_.late_share - part) / (tuning_.late_share - tuning_.early_share);
		return tuning_.escalate_below * std::clamp(left, 0.0, 1.0);
	}

  private:
	size_tuning tuning_;
};
} // namespace gingerdyke::routing
