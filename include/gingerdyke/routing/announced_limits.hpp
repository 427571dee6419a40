// SPDX-License-Identifier: MIT
// Requests a second that replicas in need ask for in their answers.
#pragma once

#include <functional>
#include <gingerdyke/base/ids.hpp>
#include <gingerdyke/base/units.hpp>
#include <gingerdyke/routing/replica_set.hpp>
#include <map>
#include <optional>

namespace gingerdyke::routing
{
/// \brief What one answer says of the limit of the replica that gave it.
struct limit_statement
{
	/// Requests a second that the replica takes from all VMs together; none: it names no limit.
	std::optional<double> requests_per_s;

	/// When the request of that answer was sent.
	instant sent_at;

	/// Id of that request, for the log.
	std::string request;
};

/// \brief What became of a replica's limit.
enum class limit_change
{
	named,
	changed,
	over,
};

/// \brief The word for a change.
[[nodiscard]] const char* name_of(limit_change change) noexcept;

/// \brief Knows the limits that replicas name.
///
/// A limit holds until the replica answers a request without naming one. Answers on different connections
/// overtake each other, so only a request that was sent after the limit was last heard of counts.
class announced_limits
{
  public:
	/// \brief Told what became of a replica's limit, and by which answer.
	using change_hook = std::function<void(const replica&, limit_change, const limit_statement&)>;

	explicit announced_limits(change_hook changed) : changed_(std::move(changed)) {}

	/// \brief Takes what a replica's answer says.
	void note_answer(const replica& from, const limit_statement& said, instant now);

	/// \brief Forgets a replica that is gone, or has started again.
	void forget(const replica_id& id) { states_.erase(id); }

	/// \brief Whether a replica names a limit.
	[[nodiscard]] bool is_limited(const replica& one) const { return find(one) != nullptr; }

	/// \brief Replicas that name a limit.
	[[nodiscard]] std::size_t size() const noexcept { return states_.size(); }

  private:
	struct state
	{
		replica_incarnation incarnation;
		double requests_per_s{};

		/// When it was last heard of.
		instant named_at;
	};

	[[nodiscard]] const state* find(const replica& one) const;

	change_hook changed_;
	std::map<replica_id, state> states_;
};
} // namespace gingerdyke::routing
