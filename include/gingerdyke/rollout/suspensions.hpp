// SPDX-License-Identifier: MIT
// Versions found bad: a set that only grows within a row's revision, so that gossip can spread it anywhere.
#pragma once

#include <gingerdyke/peer/message.hpp>
#include <gingerdyke/table/table.hpp>
#include <set>
#include <vector>

namespace gingerdyke::rollout
{
/// \brief The suspensions known here. Only an operator's edit of the version's row lifts one.
class suspensions
{
  public:
	/// \brief Adds a suspension.
	/// \returns Whether it was new.
	bool add(const peer::suspension& one) { return set_.insert(one).second; }

	/// \brief Whether a version is suspended at its row's present revision.
	[[nodiscard]] bool holds(const table::version_row& version) const
	{
		return set_.contains({version.ref, version.at});
	}

	/// \brief Drops those of rows that were edited since.
	void drop_lifted(const table::table& table)
	{
		std::erase_if(set_,
			[&](const peer::suspension& one)
			{
				const auto* version = table.version(one.version);
				return version == nullptr || version->at > one.row_revision;
			});
	}

	[[nodiscard]] std::vector<peer::suspension> list() const { return {set_.begin(), set_.end()}; }

	/// \brief Those that a message names and that are not known here.
	[[nodiscard]] std::vector<peer::suspension> unknown_of(const std::vector<peer::suspension>& told) const
	{
		std::vector<peer::suspension> result;
		for (const auto& one : told)
		{
			if (!set_.contains(one))
			{
				result.push_back(one);
			}
		}
		return result;
	}

  private:
	std::set<peer::suspension> set_;
};
} // namespace gingerdyke::rollout
