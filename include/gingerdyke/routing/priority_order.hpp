// SPDX-License-Identifier: MIT
// Order of requests by the priorities of their workspace and their route.
#pragma once

#include <compare>
#include <vector>

namespace gingerdyke::routing
{
struct route;
struct workspace;

/// \brief Number of priorities that are told apart, by engines too.
inline constexpr unsigned priority_count = 10;

/// \brief Orders requests by their workspace's priority, and those of equal ones by their route's.
class priority_order
{
  public:
	priority_order() = default;

	/// \param routes Routes and workspaces of the configuration, which name all priorities there are.
	priority_order(const std::vector<route>& routes, const std::vector<workspace>& workspaces);

	/// \brief Returns the priority of a request, from 0, the most urgent, to `priority_count` - 1. If the
	/// configuration has more combinations than that, neighbours share one.
	/// \param of Its route, of this configuration.
	/// \param from Its workspace, of this configuration; null if it has none. A workspace without a priority
	/// takes the route's.
	[[nodiscard]] unsigned priority_of(const route& of, const workspace* from) const noexcept;

  private:
	/// One combination of priorities.
	struct level
	{
		unsigned workspace{};
		unsigned route{};

		auto operator<=>(const level&) const = default;
	};

	[[nodiscard]] static level level_of(const route& of, const workspace* from) noexcept;

	/// All combinations, the most urgent first.
	std::vector<level> levels_;
};
} // namespace gingerdyke::routing
