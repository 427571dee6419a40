// SPDX-License-Identifier: MIT
// A number of requests that a VM may send to a new version in its trial, beside the trial's share.
#pragma once

#include <algorithm>

namespace gingerdyke::rollout
{
/// \brief Grows evenly over a trial. VMs need not agree on it: each takes its part of what is allowed to all.
class trial_allowance
{
  public:
	/// \param phase Fraction of a request that the VM begins with, in [0, 1). If the VMs' phases are spread
	/// evenly, their parts add up to the whole, also where each is below one request.
	/// \param elapsed Elapsed fraction of the trial; nothing is allowed for the time before.
	trial_allowance(double phase, double elapsed) noexcept : requests_(phase), counted_until_(elapsed) {}

	/// \brief Takes one request from the allowance.
	/// \param elapsed Elapsed fraction of the trial, from 0 to 1.
	/// \param whole_trial Number of requests that this VM may send in a whole trial.
	/// \returns Whether there was one.
	[[nodiscard]] bool take(double elapsed, double whole_trial) noexcept
	{
		requests_ += whole_trial * std::max(0.0, elapsed - counted_until_);
		counted_until_ = std::max(counted_until_, elapsed);
		if (requests_ < 1)
		{
			return false;
		}
		requests_ -= 1;
		return true;
	}

  private:
	double requests_;
	double counted_until_;
};
} // namespace gingerdyke::rollout
