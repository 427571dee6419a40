// SPDX-License-Identifier: MIT
// Random number sources. The host passes them to the state machines, so that a run can be reproduced from its
// seed.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>

namespace gingerdyke
{
/// \brief Returns 64 uniformly distributed random bits.
using random_source = std::function<std::uint64_t()>;

/// \brief Random number from 0 to `bound - 1`; 0 if the bound is 0.
[[nodiscard]] inline std::size_t random_below(const random_source& random, std::size_t bound)
{
	return bound == 0 ? 0 : static_cast<std::size_t>(random() % bound);
}

/// \brief Maps the upper 53 bits of a hash, as many as a double holds exactly, to the interval [0, 1).
[[nodiscard]] inline double to_unit_interval(std::uint64_t hash) noexcept
{
	constexpr unsigned shift = 11;
	constexpr double scale = 1.0 / 9007199254740992.0;
	return static_cast<double>(hash >> shift) * scale;
}

/// \brief Random number, uniformly distributed in [0, 1).
[[nodiscard]] inline double random_unit(const random_source& random)
{
	return to_unit_interval(random());
}

/// \brief SplitMix64 pseudorandom number generator.
class seeded_random
{
  public:
	explicit seeded_random(std::uint64_t seed) noexcept : state_(seed) {}

	std::uint64_t operator()() noexcept
	{
		state_ += 0x9e3779b97f4a7c15ULL;
		auto z = state_;
		z = (z ^ (z >> 30U)) * 0xbf58476d1ce4e5b9ULL;
		z = (z ^ (z >> 27U)) * 0x94d049bb133111ebULL;
		return z ^ (z >> 31U);
	}

  private:
	std::uint64_t state_;
};
} // namespace gingerdyke
