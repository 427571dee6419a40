// SPDX-License-Identifier: MIT
// Which requests are admitted while a service has too little room for all of them.
#pragma once

#include <array>
#include <gingerdyke/base/random.hpp>
#include <gingerdyke/limits/room_estimator.hpp>

namespace gingerdyke::limits
{
/// \brief Tuning of `admission`.
struct admission_tuning
{
	/// Share of its demand that each rank is granted before the rest goes by rank: no rank starves.
	double guaranteed_share = 0.05;

	/// Part of the room that these shares may take together, however much is asked for.
	double max_guaranteed_part = 0.5;

	/// Bounds of the time after which callers are asked to return: below the first they would meet the same
	/// shortage, and beyond the second nothing can be foretold.
	duration min_wait = std::chrono::milliseconds{250};
	duration max_wait = std::chrono::seconds{2};
};

/// \brief Share of the requests that is admitted, by rank.
using admitted_shares = std::array<double, rank_count>;

/// \brief Divides the room of a service among ranks.
/// \param room_per_s Work per second that can be admitted.
/// \param demand_per_s Work per second that callers ask for, by rank.
[[nodiscard]] admitted_shares divide_room(double room_per_s,
	const std::array<double, rank_count>& demand_per_s, const admission_tuning& tuning = {});

/// \brief Time after which a caller that is refused should return: until what is refused of its rank and of
/// those before it could be served.
[[nodiscard]] duration time_until_room(double room_per_s, const std::array<double, rank_count>& demand_per_s,
	admission_rank rank, const admission_tuning& tuning = {});

/// \brief Admits an exact share of a VM's requests to one service, rank by rank.
///
/// Each VM admits the same share of its own requests, so that all together admit what the service can answer,
/// also where a single VM's part is far below one request at a time.
class admission
{
  public:
	/// \param random Phase of this VM: without it all VMs would admit their first request and refuse the same
	/// later ones.
	explicit admission(const random_source& random);

	/// \brief Replaces the shares.
	void set_shares(const admitted_shares& shares) noexcept { shares_ = shares; }

	/// \brief Whether the next request of a rank is admitted.
	[[nodiscard]] bool admit(admission_rank rank) noexcept;

	[[nodiscard]] const admitted_shares& shares() const noexcept { return shares_; }

  private:
	admitted_shares shares_{};

	/// Requests of each rank that are due to be admitted; 1 admits the next.
	std::array<double, rank_count> credit_{};
};
} // namespace gingerdyke::limits
