// SPDX-License-Identifier: MIT
// How many replicas of a group have to fall silent before the group as a whole counts as unreachable.
#pragma once

#include <algorithm>
#include <cstddef>

namespace gingerdyke::routing
{
/// \brief Number of silent replicas that outweighs the chance that just these are down.
///
/// In a large group two silent replicas say little: many may be down while the others answer, and a VM that
/// sends few requests hears of the others too rarely to be told otherwise.
/// \param members Replicas of one service in one failure domain.
[[nodiscard]] constexpr std::size_t required_silent_replicas(std::size_t members) noexcept
{
	constexpr std::size_t least = 2;
	constexpr std::size_t most = 16;
	constexpr std::size_t members_per_required = 3;
	return std::clamp(members / members_per_required, least, most);
}
} // namespace gingerdyke::routing
