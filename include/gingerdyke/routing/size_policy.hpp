// SPDX-License-Identifier: MIT
// Which size of model answers a request first, and below which confidence its answer is given up for a larger
// model's.
#pragma once

#include <algorithm>
#include <gingerdyke/routing/catalog.hpp>
#include <optional>

namespace gingerdyke::routing
{
/// \brief Tuning of `size_policy`; docs/rounds.md has the runs behind the figures.
struct size_tuning
{
	/// An answer with less confidence than this (0 to 100) is given up for the largest model's, while the
	/// engines are idle. Of 30, 40, 50, 60 and 70 this gave the most on both users' quiet days.
	double escalate_below = 50;

	/// The same while the engines are busy: the largest model takes ten times the smallest one's time, so
	/// that each escalation delays others.
	double escalate_below_busy = 30;

	/// Relative times (see `rollout::answer_sample`) of the largest model's first bytes at which engines
	/// count as idle and as busy. An idle engine takes about 3 for the users' largest model.
	double idle_time = 4;
	double busy_time = 10;

	/// Weight of one answer in the mean relative time: about the last 16 count.
	double time_weight = 0.06;
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
		return {0, has_larger && may_escalate ? threshold() : 0};
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

	/// \brief Notes how long an answer took to begin.
	void note_answer(const route& route, const size_step& step, double relative_time)
	{
		if (route.models.size() > 1 && step.index + 1 == route.models.size())
		{
			mean_time_ += tuning_.time_weight * (relative_time - mean_time_);
		}
	}

	/// \brief Confidence below which an answer is given up now.
	[[nodiscard]] double threshold() const
	{
		const auto busy = (mean_time_ - tuning_.idle_time) / (tuning_.busy_time - tuning_.idle_time);
		const auto part = std::clamp(busy, 0.0, 1.0);
		return tuning_.escalate_below + part * (tuning_.escalate_below_busy - tuning_.escalate_below);
	}

  private:
	size_tuning tuning_;

	/// Mean relative time of the largest model's first bytes; 0 before the first.
	double mean_time_ = 0;
};
} // namespace gingerdyke::routing
