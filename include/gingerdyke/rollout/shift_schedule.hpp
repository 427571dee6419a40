// SPDX-License-Identifier: MIT
// Traffic share of the new version over the course of a shift. Pure computation, without I/O.
#pragma once

#include <gingerdyke/base/units.hpp>
#include <optional>

namespace gingerdyke::rollout
{
/// \brief Tuning of `shift_schedule`. Points in time and durations are fractions of the shift's length unless
/// stated otherwise.
struct schedule_tuning
{
	/// Start of the trial; the new version gets no traffic before. In the first half of a shift sessions must
	/// not move to the new version, and a VM can't tell sessions that began before the shift, on any VM, from
	/// later ones.
	double trial_starts_at = 0.505;

	/// Time left when the shift is declared completed, as a fraction and as a minimum: the declaration is
	/// written to the registry, and written again if the response to the write is lost.
	double completion_margin = 0.04;
	duration min_completion_margin = std::chrono::milliseconds{800};

	/// Time before completion during which the new version gets all traffic, so that most streams on the old
	/// version end.
	double hold = 0.05;

	/// Time in which the new version's share grows from the trial share to 1.
	double ramp_up = 0.05;

	/// Bounds of the share of sessions in the trial; the share itself follows from the exposure limit. Below
	/// the minimum, a small deployment gets too few responses for a verdict.
	double min_trial_share = 0.02;
	double max_trial_share = 0.08;

	/// Fraction of the trial after which its traffic goes to fewer replicas, see `is_peak_load_phase`.
	/// Latencies are compared before that, under the usual load.
	double peak_load_after = 0.6;

	/// Fraction of the exposure limit that the schedule uses; the rest is reserved for traffic growth during
	/// the shift.
	double planned_exposure_ratio = 0.9;
};

/// \brief The share of sessions on the new version as a function of time.
///
/// A version may show a fault only under full load or late in the shift. The schedule itself therefore keeps
/// the new version's fraction of all requests during the shift below the exposure limit: a small trial share
/// for most of the time, then all traffic at the end. A share that grew linearly would give it a third of all
/// requests.
class shift_schedule
{
  public:
	/// \param length Duration of the shift.
	/// \param exposure_limit Fraction of all requests during the shift that a bad version may get.
	shift_schedule(duration length, double exposure_limit, const schedule_tuning& tuning = {});

	/// \brief The share of sessions on the new version at a point of the shift.
	/// \param elapsed Elapsed fraction of the shift's length.
	/// \param promoted_at Elapsed fraction at which the new version was promoted; none: it is still on trial,
	/// and its share does not grow.
	[[nodiscard]] double share_at(double elapsed, std::optional<double> promoted_at) const noexcept;

	/// \brief Whether the trial is in its peak-load phase, in which its traffic goes to so few replicas that
	/// each carries peak load. A version that fails only under load shows this fault here, while the other
	/// sessions are still on the old version.
	[[nodiscard]] bool is_peak_load_phase(double elapsed) const noexcept;

	/// \brief Elapsed fractions at which the trial begins and ends, and at which a shift is completed if its
	/// new version is promoted by the end of the trial.
	[[nodiscard]] double trial_starts_at() const noexcept { return trial_starts_at_; }
	[[nodiscard]] double trial_ends_at() const noexcept { return ramp_up_at_; }
	[[nodiscard]] double completes_at() const noexcept { return completes_at_; }

	/// \brief Elapsed fraction at which a shift is completed whose new version was promoted at the given
	/// elapsed fraction. The ramp-up is shortened to end at the regular completion time; if that has passed,
	/// it takes its full time.
	[[nodiscard]] double completes_at(double promoted_at) const noexcept;

  private:
	[[nodiscard]] double ramp_up_starts_at(double promoted_at) const noexcept;

	double trial_starts_at_;
	double peak_load_at_;
	double ramp_up_at_;
	double full_share_at_;
	double completes_at_;
	double trial_share_;
};
} // namespace gingerdyke::rollout
