// SPDX-License-Identifier: MIT
// Strong types for quantities and times.
#pragma once

#include <chrono>
#include <compare>
#include <cstdint>

namespace gingerdyke
{
/// \brief An integer quantity of one unit. The tag makes quantities of different units distinct types.
template <typename Tag>
class quantity
{
  public:
	constexpr quantity() = default;

	constexpr explicit quantity(std::int64_t value) noexcept : value_(value) {}

	/// \brief The number without its unit.
	[[nodiscard]] constexpr std::int64_t value() const noexcept { return value_; }

	constexpr auto operator<=>(const quantity&) const = default;

	constexpr quantity& operator+=(quantity other) noexcept
	{
		value_ += other.value_;
		return *this;
	}

	friend constexpr quantity operator+(quantity a, quantity b) noexcept
	{
		return quantity{a.value_ + b.value_};
	}

	friend constexpr quantity operator-(quantity a, quantity b) noexcept
	{
		return quantity{a.value_ - b.value_};
	}

  private:
	std::int64_t value_{};
};

/// \brief Number of prompt or generated tokens.
using tokens = quantity<struct tokens_tag>;

/// \brief Amount of money in millionths of the operator's currency unit.
using micro_cost = quantity<struct cost_tag>;

/// \brief Revision of the table: sequence number of a commit at the table service.
using revision = quantity<struct revision_tag>;

/// \brief Fencing token: increases each time a lease changes its holder.
using epoch = quantity<struct epoch_tag>;

/// \brief Duration type of the state machines.
using duration = std::chrono::microseconds;

/// \brief Converts a duration to milliseconds, for logs.
[[nodiscard]] constexpr double to_milliseconds(duration span) noexcept
{
	return std::chrono::duration<double, std::milli>(span).count();
}

/// \brief Multiplies a duration by a factor and truncates the result to whole microseconds.
[[nodiscard]] constexpr duration scaled(duration span, double factor) noexcept
{
	return duration{static_cast<duration::rep>(static_cast<double>(span.count()) * factor)};
}

/// \brief Clock type of the state machines. It has no `now()`: the host passes the time in.
struct node_clock
{
	using rep = std::chrono::microseconds::rep;
	using period = std::chrono::microseconds::period;
	using duration = std::chrono::microseconds;
	using time_point = std::chrono::time_point<node_clock>;
};

/// \brief Point in time on one VM's monotonic clock; not comparable between VMs.
using instant = node_clock::time_point;

/// \brief Cost of tokens at a price per thousand tokens, rounded up.
[[nodiscard]] constexpr micro_cost token_cost(tokens used, micro_cost per_thousand) noexcept
{
	constexpr std::int64_t thousand = 1000;
	return micro_cost{(used.value() * per_thousand.value() + thousand - 1) / thousand};
}
} // namespace gingerdyke
