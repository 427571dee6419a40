// SPDX-License-Identifier: MIT
// A bound that depends on the priority of a request.
#pragma once

#include <algorithm>

namespace gingerdyke::routing
{
/// \brief Priority from which on requests are equally urgent; 0 is the highest.
inline constexpr unsigned least_priority = 4;

/// \brief Returns a value between that of the most urgent and that of the least urgent requests.
/// \param priority Priority of the request.
[[nodiscard]] constexpr double by_urgency(unsigned priority, double most_urgent, double least_urgent) noexcept
{
	const auto distance = std::min(priority, least_priority) / double{least_priority};
	return most_urgent + (least_urgent - most_urgent) * distance;
}
} // namespace gingerdyke::routing
