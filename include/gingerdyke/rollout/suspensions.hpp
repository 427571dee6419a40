// SPDX-License-Identifier: MIT
// Suspended versions: a set that only grows within a revision of a version's row, so that gossip can spread
// it in any order.
#pragma once

#include <gingerdyke/peer/message.hpp>
#include <gingerdyke/table/table.hpp>
#include <set>
#include <vector>

namespace gingerdyke::rollout
{
/// \brief The suspensions known to this VM. Only an operator's edit of the version's row lifts a suspension.
class suspensions
{
  public:
	/// \brief Adds a suspension.
	/// \returns Whether it was new.
	bool add(const peer::suspension& suspension) { return set_.insert(suspension).second; }

	/// \brief Whether a version is suspended at the current revision of its row.
	[[nodiscard]] bool contains(const table::version_row& version) const
	{
		return set_.contains({version.ref, version.at});
	}

	/// \brief Removes the suspensions of rows that were edited or deleted since.
	void remove_lifted(const table::table& table)
	{
		std::erase_if(set_,
			[&](const peer::suspension& suspension)
			{
				const auto* version = table.version(suspension.version);
				return version == nullptr || version->at > suspension.row_revision;
			});
	}

	[[nodiscard]] std::vector<peer::suspension> list() const { return {set_.begin(), set_.end()}; }

	/// \brief The suspensions of a received list that are not known here.
	[[nodiscard]] std::vector<peer::suspension> filter_unknown(
		const std::vector<peer::suspension>& received) const
	{
		std::vector<peer::suspension> result;
		for (const auto& suspension : received)
		{
			if (!set_.contains(suspension))
			{
				result.push_back(suspension);
			}
		}
		return result;
	}

  private:
	std::set<peer::suspension> set_;
};
} // namespace gingerdyke::rollout
