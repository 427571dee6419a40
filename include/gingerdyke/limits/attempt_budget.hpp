// SPDX-License-Identifier: MIT
// Limits the additional attempts of one VM's requests, so that all VMs together keep to a fleet-wide limit
// without coordination.
#pragma once

#include <cstddef>
#include <deque>
#include <gingerdyke/base/units.hpp>

namespace gingerdyke::limits
{
/// \brief The fleet-wide limit, and the share of it that this VM uses.
struct attempt_budget_tuning
{
	/// Additional attempts allowed per request in the window, over all VMs.
	double ratio = 0.2;

	/// Length of the sliding window.
	duration window = std::chrono::seconds{10};

	/// Share of the ratio that is used. The rest is a margin for requests that fall into one window at this
	/// VM and into another window at the replica.
	double used_share = 0.92;

	/// Additional attempts that are allowed on top, for this VM alone.
	double slack = 0;
};

/// \brief A VM's share of additional attempts that are allowed to all VMs together.
/// \param fleet_slack Additional attempts of all VMs.
/// \param vms Number of VMs known so far.
[[nodiscard]] constexpr double slack_share(double fleet_slack, std::size_t vms) noexcept
{
	// A VM that has just started knows few of the others.
	constexpr std::size_t least_vms = 100;
	return fleet_slack / static_cast<double>(vms > least_vms ? vms : least_vms);
}

/// \brief Counts requests and additional attempts over a sliding window. If each VM keeps to the ratio for
/// its own requests, the sum over all VMs keeps to the ratio for all requests.
class attempt_budget
{
  public:
	explicit attempt_budget(attempt_budget_tuning tuning) : tuning_(tuning) {}

	/// \brief Sets the additional attempts that are allowed on top, for this VM alone.
	void set_slack(double slack) noexcept { tuning_.slack = slack; }

	/// \brief Records a client's request.
	void record_request(instant now)
	{
		drop_expired(now);
		requests_.push_back(now);
	}

	/// \brief Withdraws a request that was recorded, because another VM sends it.
	void withdraw_request()
	{
		if (!requests_.empty())
		{
			requests_.pop_back();
		}
	}

	/// \brief Takes one additional attempt from the budget if one is available.
	[[nodiscard]] bool take(instant now)
	{
		if (available(now) < 1)
		{
			return false;
		}
		additional_.push_back(now);
		return true;
	}

	/// \brief Puts the attempt that was taken last back into the budget, because it was not sent.
	void refund()
	{
		if (!additional_.empty())
		{
			additional_.pop_back();
		}
	}

	/// \brief Number of additional attempts that may be sent now.
	[[nodiscard]] double available(instant now)
	{
		drop_expired(now);
		const auto earned = tuning_.ratio * tuning_.used_share * static_cast<double>(requests_.size());
		return earned + tuning_.slack - static_cast<double>(additional_.size());
	}

  private:
	void drop_expired(instant now)
	{
		const auto oldest = now - tuning_.window;
		while (!requests_.empty() && requests_.front() <= oldest)
		{
			requests_.pop_front();
		}
		while (!additional_.empty() && additional_.front() <= oldest)
		{
			additional_.pop_front();
		}
	}

	attempt_budget_tuning tuning_;
	std::deque<instant> requests_;
	std::deque<instant> additional_;
};
} // namespace gingerdyke::limits
