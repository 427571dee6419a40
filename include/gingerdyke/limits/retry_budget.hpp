// SPDX-License-Identifier: MIT
// Bounds retries to a share of recent successes, so that they can't make an overload worse.
#pragma once

#include <algorithm>

namespace gingerdyke::limits
{
/// \brief Each success earns a part of a retry; a retry spends one. A small reserve lets the first through.
class retry_budget
{
  public:
	explicit retry_budget(double per_success = 0.1, double reserve = 10)
		: per_success_(per_success), most_(reserve), level_(reserve)
	{
	}

	/// \brief Notes a success.
	void earn() noexcept { level_ = std::min(most_, level_ + per_success_); }

	/// \brief Takes one retry if there is one.
	[[nodiscard]] bool spend() noexcept
	{
		if (level_ < 1)
		{
			return false;
		}
		level_ -= 1;
		return true;
	}

  private:
	double per_success_;
	double most_;
	double level_;
};
} // namespace gingerdyke::limits
