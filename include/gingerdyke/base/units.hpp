// SPDX-License-Identifier: MIT
// Strong types for amounts and times.
#pragma once

#include <chrono>
#include <compare>
#include <cstdint>

namespace gingerdyke
{
/// \brief A whole number of one unit, told apart from other units by its tag.
template <typename Tag>
class quantity
{
  public:
	constexpr quantity() = default;

	constexpr explicit quantity(std::int64_t value) noexcept : value_(value) {}

	/// \brief The bare number.
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

/// \brief Generated or prompt tokens.
using tokens = quantity<struct tokens_tag>;

/// \brief Money in millionths of the operator's currency.
using micro_cost = quantity<struct cost_tag>;

/// \brief Position in the history of the table: the table service's commit sequence.
using revision = quantity<struct revision_tag>;

/// \brief Fence that grows each time a lease changes hands.
using epoch = quantity<struct epoch_tag>;

/// \brief All spans of time inside the state machines.
using duration = std::chrono::microseconds;

/// \brief A span in milliseconds, for logs.
[[nodiscard]] constexpr double to_milliseconds(duration span) noexcept
{
	return std::chrono::duration<double, std::milli>(span).count();
}

/// \brief A part or a multiple of a span, cut to whole microseconds.
[[nodiscard]] constexpr duration scaled(duration span, double by) noexcept
{
	return duration{static_cast<duration::rep>(static_cast<double>(span.count()) * by)};
}

/// \brief Tag clock of the state machines; time is always handed in, never read.
struct node_clock
{
	using rep = std::chrono::microseconds::rep;
	using period = std::chrono::microseconds::period;
	using duration = std::chrono::microseconds;
	using time_point = std::chrono::time_point<node_clock>;
};

/// \brief A moment on one VM's monotonic clock; moments of two VMs can't be compared.
using instant = node_clock::time_point;

/// \brief Cost of a number of tokens at a price per thousand, rounded up to a millionth.
[[nodiscard]] constexpr micro_cost price(tokens used, micro_cost per_thousand) noexcept
{
	constexpr std::int64_t thousand = 1000;
	return micro_cost{(used.value() * per_thousand.value() + thousand - 1) / thousand};
}
} // namespace gingerdyke
