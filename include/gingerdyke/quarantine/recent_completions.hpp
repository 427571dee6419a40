// SPDX-License-Identifier: MIT
// Completions of prompts with certain parts a short time ago.
#pragma once

#include <cstdint>
#include <gingerdyke/base/units.hpp>
#include <gingerdyke/quarantine/content_key.hpp>
#include <gingerdyke/quarantine/replica_runs.hpp>
#include <list>
#include <map>
#include <vector>

namespace gingerdyke::quarantine
{
/// \brief Tuning of `recent_completions`.
struct recent_completions_tuning
{
	/// Time for which a completion is evidence for a part that is suspected later.
	duration lifetime = std::chrono::seconds{10};

	/// Time for which a part counts as known after its last completion.
	duration memory = std::chrono::minutes{5};

	/// Number of completions kept for each part, and of parts; those that were completed longest ago are
	/// dropped first.
	std::size_t max_completions = 4;
	std::size_t max_parts = 4096;
};

/// \brief Remembers which parts replicas have recently written answers on, whether or not they are suspected.
class recent_completions
{
  public:
	explicit recent_completions(recent_completions_tuning tuning = {}) : tuning_(tuning) {}

	/// \brief A completed request with a part.
	struct completion
	{
		process_instance id;

		/// When its answer began.
		instant began_at;
	};

	/// \brief Records that a replica completed a request with a part.
	void add(const content_key& part, const completion& completed, instant now);

	/// \brief Returns the completions of a part that are not too old.
	[[nodiscard]] std::vector<completion> of(const content_key& part, instant now) const;

	/// \brief Whether a part was completed within the time for which it counts as known.
	[[nodiscard]] bool is_known(const content_key& part, instant now) const;

  private:
	struct kept_completion
	{
		completion completed;
		instant at;
	};

	struct entry
	{
		std::vector<kept_completion> completions;

		/// Place in `by_age_`.
		std::list<content_key>::iterator place;
	};

	recent_completions_tuning tuning_;
	std::map<content_key, entry> by_part_;

	/// The parts; the one that was completed longest ago comes first.
	std::list<content_key> by_age_;
};
} // namespace gingerdyke::quarantine
