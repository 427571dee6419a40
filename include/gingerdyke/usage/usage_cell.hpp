// SPDX-License-Identifier: MIT
// Counts of the requests that began running, by workspace and window of time.
#pragma once

#include <cstdint>
#include <gingerdyke/base/ids.hpp>
#include <gingerdyke/base/units.hpp>
#include <map>
#include <vector>

namespace gingerdyke::usage
{
/// \brief Number of a window: window k starts k times the window's length after the start of 1970.
using window_index = quantity<struct window_index_tag>;

/// \brief Time since the start of 1970.
using unix_time = std::chrono::microseconds;

/// \brief Returns the window that a moment lies in.
[[nodiscard]] constexpr window_index window_at(unix_time at, duration length) noexcept
{
	return window_index{at / length};
}

/// \brief Returns when a window ends.
[[nodiscard]] constexpr unix_time end_of(window_index window, duration length) noexcept
{
	return length * (window.value() + 1);
}

/// \brief Requests of one workspace that began running in one window.
struct usage_cell
{
	window_index window;
	workspace_id workspace;
	std::uint64_t requests{};

	auto operator<=>(const usage_cell&) const = default;
};

/// \brief Requests of one window by workspace.
using workspace_counts = std::map<workspace_id, std::uint64_t>;
} // namespace gingerdyke::usage
