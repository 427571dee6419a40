// SPDX-License-Identifier: MIT
// How a shift's share grows over its time: the decision alone.
#pragma once

#include <gingerdyke/base/units.hpp>
#include <optional>

namespace gingerdyke::rollout
{
/// \brief Tuning of `shift_schedule`, in parts of the shift's time unless said otherwise.
struct schedule_tuning
{
	/// Nothing goes to the new version before this. In the first half a session must not move to it, and
	/// sessions that began before, on whatever VM, can't be told from others.
	double trial_at = 0.505;

	/// Time that is left when the shift is declared completed, and the least of it: the declaration is
	/// written, and written once more where its answer is lost.
	double spare = 0.04;
	duration least_spare = std::chrono::milliseconds{800};

	/// Time for which the new version gets everything before that, so that most streams on the old one end.
	double hold = 0.05;

	/// Time in which its share grows from that of the trial to everything.
	double growth = 0.05;

	/// Share of sessions in the trial: bounds of what the exposure limit leaves for it. With less, a small
	/// deployment sees too few answers to judge by.
	double least_trial_share = 0.02;
	double most_trial_share = 0.08;

	/// Part of the trial after which its traffic goes to fewer replicas, see `is_at_peak`: before it times
	/// are compared, under the load of every day.
	double peak_after = 0.6;

	/// Part of the exposure limit that the schedule plans for: the rest is for traffic that grows meanwhile.
	double planned_exposure = 0.9;
};

/// \brief The share of sessions on the new version by time.
///
/// A version may hide that it is bad until it bears the whole load, or until late. So the schedule itself
/// keeps the new version's part of all requests in the shift's time below the exposure limit: a small trial
/// share for long, then everything at the end. A share that grew evenly gave it a third of all requests.
class shift_schedule
{
  public:
	/// \param length Time of the shift.
	/// \param exposure_limit Part of all requests in that time that a bad version may get.
	shift_schedule(duration length, double exposure_limit, const schedule_tuning& tuning = {});

	/// \brief The share after a part of the time.
	/// \param promoted The part after which the new version was shown to be good; none: it is still on trial,
	/// and its share does not grow.
	[[nodiscard]] double share_at(double part, std::optional<double> promoted) const noexcept;

	/// \brief Whether the trial's traffic goes to so few replicas that each bears the load of a peak. A
	/// version that fails under load only fails there while the others are still on the old one.
	[[nodiscard]] bool is_at_peak(double part) const noexcept;

	/// \brief Parts of the time at which the trial begins and ends, and at which a shift whose new version is
	/// good by then is completed.
	[[nodiscard]] double trial_at() const noexcept { return trial_at_; }
	[[nodiscard]] double trial_ends_at() const noexcept { return grow_at_; }
	[[nodiscard]] double complete_at() const noexcept { return complete_at_; }

	/// \brief The part at which a shift is completed whose new version was promoted after a part of the time:
	/// growth is shortened to end in time; where that is over already, it has its whole time.
	[[nodiscard]] double complete_at(double promoted) const noexcept;

  private:
	[[nodiscard]] double growth_begins_at(double promoted) const noexcept;

	double trial_at_;
	double peak_at_;
	double grow_at_;
	double full_at_;
	double complete_at_;
	double trial_share_;
};
} // namespace gingerdyke::rollout
