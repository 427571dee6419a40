// SPDX-License-Identifier: MIT
// Limits retries to a share of recent successes, so that they cannot amplify an overload.
#pragma once

#include <algorithm>

namespace gingerdyke::limits
{
/// \brief Each success earns a fraction of a retry, and a retry spends one. The initial reserve, which is
/// also the maximum, allows the first retries.
class retry_budget
{
  public:
	explicit retry_budget(double per_success = 0.1, double reserve = 10)
		: per_success_(per_success), max_balance_(reserve), balance_(reserve)
	{
	}

	/// \brief Records a success.
	void earn() noexcept { balance_ = std::min(max_balance_, balance_ + per_success_); }

	/// \brief Takes one retry from the budget if one is available.
	[[nodiscard]] bool spend() noexcept
	{
		if (balance_ < 1)
		{
			return false;
		}
		balance_ -= 1;
		return true;
	}

  private:
	double per_success_;
	double max_balance_;
	double balance_;
};
} // namespace gingerdyke::limits
