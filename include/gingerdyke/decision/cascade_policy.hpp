// SPDX-License-Identifier: MIT
// Cascades: which model opens a request, and when its answer is given up for a stronger model's.
#pragma once

#include <array>
#include <gingerdyke/base/ids.hpp>
#include <gingerdyke/base/random.hpp>
#include <gingerdyke/base/units.hpp>
#include <map>
#include <vector>

namespace gingerdyke::decision
{
/// \brief Tuning of the policy; defaults justified in docs/MEASUREMENTS.md.
struct cascade_tuning
{
	/// Standard errors that the estimate of quality must lie above the target.
	double caution = 1.65;

	/// Share of requests whose cheap answer is asked for only to be rated.
	double explore = 0.04;

	/// Share of other answers that are rated.
	double rated_share = 0.01;

	/// Weight that evidence keeps each time another rating comes: about the last 1/(1 - keep) ratings count.
	double keep = 0.995;

	/// Ratings that the prior quality of a version counts for.
	double prior_weight = 4;
};

/// \brief One model of a cascade as it stands now.
struct cascade_step
{
	model_id model;
	micro_cost cost_per_thousand;
	double quality_prior{};
};

/// \brief What to do with one request.
struct cascade_plan
{
	/// The step that answers first.
	std::size_t first{};

	/// An answer with less confidence than this is given up for the last step's; 0: never.
	double escalate_below{};

	/// The first answer is to be rated.
	bool rate_first{};
};

/// \brief Whose evidence is whose: quality differs by workspace and class.
struct cascade_scope
{
	workspace_id workspace;
	class_id request_class;
	cascade_id cascade;

	auto operator<=>(const cascade_scope&) const = default;
};

/// \brief Learns, from sampled ratings, the cheapest plan that holds each workspace's quality target.
class cascade_policy
{
  public:
	explicit cascade_policy(random_source random, cascade_tuning tuning = {});

	/// \brief Chooses the plan for one request.
	/// \param steps The cascade's models, cheap to strong; not empty.
	/// \param target Share of answers that must be good.
	/// \param may_escalate False where the answer streams or may not be repeated.
	[[nodiscard]] cascade_plan plan(
		const cascade_scope& scope, const std::vector<cascade_step>& steps, double target, bool may_escalate);

	/// \brief Whether an answer that no plan asks to be rated is rated all the same.
	[[nodiscard]] bool samples_rating();

	/// \brief Notes how sure a model was of an answer, rated or not.
	void note_confidence(const cascade_scope& scope, const model_id& model, double confidence);

	/// \brief Notes a rating.
	/// \param confidence How sure the model was of the rated answer, 0 to 1.
	void note_rating(const cascade_scope& scope, const model_id& model, double confidence, bool good);

  private:
	static constexpr std::size_t bins = 10;

	struct step_evidence
	{
		std::array<double, bins> good{};
		std::array<double, bins> rated{};
		std::array<double, bins> seen{};
	};

	struct estimate
	{
		double cost{};
		double quality_bound{};
	};

	[[nodiscard]] estimate weigh(const cascade_scope& scope, const std::vector<cascade_step>& steps,
		std::size_t first, std::size_t threshold_bin);

	random_source random_;
	cascade_tuning tuning_;
	std::map<std::pair<cascade_scope, model_id>, step_evidence> evidence_;
};
} // namespace gingerdyke::decision
