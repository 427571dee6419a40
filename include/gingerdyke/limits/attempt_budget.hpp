// SPDX-License-Identifier: MIT
// Bounds what one VM sends beyond the first attempt of each request, so that all VMs together keep a
// fleet-wide bound without agreeing on anything.
#pragma once

#include <deque>
#include <gingerdyke/base/units.hpp>

namespace gingerdyke::limits
{
/// \brief The fleet-wide bound, and the share of it that this VM takes.
struct attempt_budget_tuning
{
	/// Further attempts allowed for each request of the window, over all VMs.
	double ratio = 0.2;

	/// Length of the sliding window.
	duration window = std::chrono::seconds{10};

	/// Part of the ratio that is used. The rest covers requests that reach one window here and another one
	/// at the replica.
	double used_share = 0.92;

	/// Further attempts that are allowed on top, for this VM alone.
	double slack = 0;
};

/// \brief Counts requests and further attempts over a sliding window. A VM that keeps to the ratio of its own
/// requests keeps the sum over all VMs within the ratio of all requests.
class attempt_budget
{
  public:
	explicit attempt_budget(attempt_budget_tuning tuning) : tuning_(tuning) {}

	/// \brief Notes a caller's request.
	void note_request(instant now)
	{
		forget_old(now);
		requests_.push_back(now);
	}

	/// \brief Takes one further attempt if the budget has one.
	[[nodiscard]] bool take(instant now)
	{
		if (left(now) < 1)
		{
			return false;
		}
		further_.push_back(now);
		return true;
	}

	/// \brief Gives back the attempt that was taken last: it was not sent.
	void give_back()
	{
		if (!further_.empty())
		{
			further_.pop_back();
		}
	}

	/// \brief Further attempts that may be sent now.
	[[nodiscard]] double left(instant now)
	{
		forget_old(now);
		const auto earned = tuning_.ratio * tuning_.used_share * static_cast<double>(requests_.size());
		return earned + tuning_.slack - static_cast<double>(further_.size());
	}

  private:
	void forget_old(instant now)
	{
		const auto oldest = now - tuning_.window;
		while (!requests_.empty() && requests_.front() <= oldest)
		{
			requests_.pop_front();
		}
		while (!further_.empty() && further_.front() <= oldest)
		{
			further_.pop_front();
		}
	}

	attempt_budget_tuning tuning_;
	std::deque<instant> requests_;
	std::deque<instant> further_;
};
} // namespace gingerdyke::limits
