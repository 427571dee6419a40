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

	/// VMs come back over this part of the rest after its end, but over no longer than the time below: all at
	/// one moment would overload the replica again.
	double spread = 0.1;
	duration longest_spread = std::chrono::seconds{1};

	/// After a rest one request goes first. Where it gets no answer for this long another one goes: as long
	/// as the first bytes of an answer take at a busy replica.
	duration answer_time = std::chrono::seconds{2};
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

	/// \brief Takes an answer that asks for no rest: after a rest, the replica takes all again.
	/// \param sent_at When the request of that answer was sent.
	void note_answer(const replica& from, instant sent_at);

	/// \brief Notes a request that is sent to a replica.
	void note_sent(const replica& one, instant now);

	/// \brief Whether a replica wants nothing from this VM now.
	[[nodiscard]] bool is_resting(const replica& one, instant now) const;

	/// \brief Whether this VM may send a replica a request now: it does not rest, nor is the first request
	/// after its rest still without an answer.
	[[nodiscard]] bool takes(const replica& one, instant now) const;

	/// \brief How long until the first resting replica of a service is back; none: none of them rests.
	[[nodiscard]] std::optional<duration> time_until_back(const service_id& service, instant now) const;

	/// \brief Forgets a replica that is gone, or has started again.
	void forget(const replica_id& id) { states_.erase(id); }

	/// \brief Replicas that want nothing now.
	[[nodiscard]] std::size_t count(instant now) const;

  private:
	struct state
	{
		replica_incarnation incarnation;
		service_id service;
		instant until;

		/// When the first request after the rest was sent; none: not yet.
		std::optional<instant> first_sent;
	};

	[[nodiscard]] const state* find(const replica& one) const;

	rest_hook began_;
	rest_tuning tuning_;
	std::map<replica_id, state> states_;
};
} // namespace gingerdyke::routing
