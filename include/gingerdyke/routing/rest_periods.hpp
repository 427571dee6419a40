// SPDX-License-Identifier: MIT
// Times for which replicas want nothing from this VM, as they say where they refuse a request.
#pragma once

#include <functional>
#include <gingerdyke/base/ids.hpp>
#include <gingerdyke/base/units.hpp>
#include <gingerdyke/routing/replica_set.hpp>
#include <map>
#include <optional>
#include <string>

namespace gingerdyke::routing
{
/// \brief Tuning of `rest_periods`.
struct rest_tuning
{
	/// Longer rests count as this one: no overload takes longer, and a wrong value must not take a replica
	/// out of use for hours.
	duration longest = std::chrono::minutes{10};
};

/// \brief Knows which replicas want nothing from this VM, and until when. The longest of several rests
/// counts.
class rest_periods
{
  public:
	/// \brief Told when a replica asks for rest, or for a longer one, by which request, and for how long.
	using rest_hook = std::function<void(const replica&, const std::string& request, duration left)>;

	explicit rest_periods(rest_hook began, rest_tuning tuning = {})
		: began_(std::move(began)), tuning_(tuning)
	{
	}

	/// \brief Takes a replica's word that it wants nothing for a time.
	/// \param request Id of the request that it refused, for the log.
	void note_rest(const replica& from, duration span, const std::string& request, instant now);

	/// \brief Forgets a replica that is gone, or has started again.
	void forget(const replica_id& id) { states_.erase(id); }

	/// \brief Replicas that want nothing now.
	[[nodiscard]] std::size_t count(instant now) const;

  private:
	struct state
	{
		replica_incarnation incarnation;
		instant until;
	};

	rest_hook began_;
	rest_tuning tuning_;
	std::map<replica_id, state> states_;
};
} // namespace gingerdyke::routing
