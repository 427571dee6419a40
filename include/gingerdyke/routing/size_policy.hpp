// SPDX-License-Identifier: MIT
// Which size of model answers a request first, and below which confidence its answer is given up for a larger
// model's.
#pragma once

#include <gingerdyke/routing/catalog.hpp>
#include <optional>

namespace gingerdyke::routing
{
/// \brief Tuning of `size_policy`.
struct size_tuning
{
	/// An answer with less confidence than this (0 to 100) is given up for the largest model's. Trials with
	/// 20, 30 and 40 gave 0.73, 0.76 and 0.81 of the worth of streams (docs/rounds.md).
	double escalate_below = 40;
};

/// \brief One run of a request on one size of model.
struct size_step
{
	/// Index in the route's list of models.
	std::size_t index{};

	/// Give the answer up below this confidence; 0: keep it whatever it says.
	double escalate_below{};
};

/// \brief Chooses sizes for routes whose callers leave the model open.
class size_policy
{
  public:
	explicit size_policy(size_tuning tuning = {}) : tuning_(tuning) {}

	/// \brief The model that answers first.
	/// \param may_escalate Whether a second run is possible: attempts and budget are left.
	[[nodiscard]] size_step first(const route& route, bool may_escalate) const
	{
		const bool has_larger = route.models.size() > 1;
		return {0, has_larger && may_escalate ? tuning_.escalate_below : 0};
	}

	/// \brief The model after one whose answer was given up, or none where it is the largest already.
	[[nodiscard]] std::optional<size_step> after(const route& route, const size_step& step) const
	{
		if (step.index + 1 >= route.models.size())
		{
			return std::nullopt;
		}
		return size_step{route.models.size() - 1, 0};
	}

  private:
	size_tuning tuning_;
};
} // namespace gingerdyke::routing
