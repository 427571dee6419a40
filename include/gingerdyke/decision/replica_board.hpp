// SPDX-License-Identifier: MIT
// What this VM knows of each replica, and the choice among them.
#pragma once

#include <chrono>
#include <functional>
#include <gingerdyke/base/ids.hpp>
#include <gingerdyke/base/random.hpp>
#include <gingerdyke/base/units.hpp>
#include <gingerdyke/table/rows.hpp>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace gingerdyke::decision
{
/// \brief Tuning of the choice; defaults justified in docs/MEASUREMENTS.md.
struct board_tuning
{
	/// A reported load counts less the older it is: by half after this time.
	duration load_half_life = std::chrono::seconds{1};

	/// Prefix affinity gives way where the favoured replica has more than this multiple of the mean load.
	double affinity_bound = 1.5;

	/// A replica that refused or failed is set aside this long, doubled each time up to the longest.
	duration first_pause = std::chrono::milliseconds{500};
	duration longest_pause = std::chrono::seconds{30};

	/// A replica that says that it leaves, or answers as another version, is set aside this long.
	duration leaving_pause = std::chrono::seconds{10};
};

/// \brief Why a replica was not chosen, or was.
enum class standing
{
	open,
	full,
	set_aside,
	leaving,
	tried_already,
};

/// \brief The word for a standing.
[[nodiscard]] const char* name_of(standing standing) noexcept;

/// \brief One replica as it was weighed; for `explain`.
struct weighed_replica
{
	replica_id id;
	standing why{standing::open};

	/// Expected number of requests before ours.
	double load{};
};

/// \brief A choice with what it was made from.
struct replica_choice
{
	const table::replica_row* chosen{};
	bool by_affinity{};
	std::vector<weighed_replica> weighed;
};

/// \brief Load and health of replicas as this VM sees them, from its own requests alone.
class replica_board
{
  public:
	explicit replica_board(random_source random, board_tuning tuning = {});

	/// \brief Chooses a replica: the one that holds the prompt's prefix, while it is not overloaded; else the
	/// better of two at random.
	/// \param candidates Replicas of the version.
	/// \param own_domain Replicas of other failure domains are weighed only where none is open in this one.
	/// \param prefix Hash of the prompt's prefix; 0: none.
	/// \param tried Replicas not to be chosen again.
	/// \param leaves Tells whether the platform says that a replica leaves.
	[[nodiscard]] replica_choice choose(const std::vector<const table::replica_row*>& candidates,
		const failure_domain_id& own_domain, std::uint64_t prefix, const std::vector<replica_id>& tried,
		const std::function<bool(const replica_id&)>& leaves, instant now);

	void note_dispatch(const replica_id& id);
	void note_end(const replica_id& id);

	/// \brief Notes the load that a replica reported with an answer.
	void note_load(const replica_id& id, double load, instant now);

	void note_success(const replica_id& id);
	void note_failure(const replica_id& id, instant now);
	void note_leaving(const replica_id& id, instant now);

	/// \brief Requests that this VM has open at a replica.
	[[nodiscard]] unsigned in_flight(const replica_id& id) const;

  private:
	struct state
	{
		unsigned in_flight{};
		double reported_load{};
		instant reported_at;
		unsigned failures{};
		instant set_aside_until;
		instant leaving_until;
	};

	[[nodiscard]] standing standing_of(
		const table::replica_row& row, const std::vector<replica_id>& tried, bool leaves, instant now);
	[[nodiscard]] double load_of(const state& state, instant now) const;
	[[nodiscard]] const table::replica_row* best_of(const std::vector<const table::replica_row*>& open,
		std::uint64_t prefix, instant now, bool& by_affinity);

	random_source random_;
	board_tuning tuning_;
	std::map<replica_id, state> states_;
};
} // namespace gingerdyke::decision
