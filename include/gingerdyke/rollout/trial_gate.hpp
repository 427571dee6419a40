// SPDX-License-Identifier: MIT
// This VM's part in a trial: it sends requests to the new version only on permits, and reports how they went.
#pragma once

#include <chrono>
#include <gingerdyke/base/effect.hpp>
#include <gingerdyke/membership/membership_view.hpp>
#include <gingerdyke/table/table.hpp>
#include <map>

namespace gingerdyke::rollout
{
/// \brief The role whose owner, per version and failure domain, grants permits and weighs evidence.
[[nodiscard]] std::string permit_key(const version_ref& version);

/// \brief Pace of reports to the permit owner.
struct gate_pace
{
	duration report_interval = std::chrono::seconds{1};

	/// Permits asked for at most with one report.
	std::uint32_t most_wanted = 4;
};

/// \brief Permits held and evidence gathered by this VM, for every version that it uses.
class trial_gate
{
  public:
	explicit trial_gate(const membership::membership_view& live, gate_pace pace = {});

	/// \brief Takes a permit for one request to a version under trial; notes the wish where there is none.
	[[nodiscard]] bool take_permit(const table::version_row& version, instant now);

	/// \brief Gives back a permit whose request did not run.
	void give_back(const version_ref& version);

	/// \brief Notes how an answer went.
	void note_answer(const table::version_row& version, bool failed);

	void on_grant(const peer::permit_grant& grant, instant now);

	/// \brief Reports to the owners what changed since the last report.
	[[nodiscard]] effects on_tick(const table::table& table, instant now);

	/// \brief What this VM has seen of a version.
	[[nodiscard]] peer::evidence seen(const version_ref& version) const;

  private:
	struct entry
	{
		peer::evidence seen;
		bool changed{};
		std::uint32_t wanted{};
		std::uint32_t permits{};
		instant permits_until;
	};

	[[nodiscard]] entry& entry_of(const table::version_row& version);

	const membership::membership_view& live_;
	gate_pace pace_;
	std::map<version_ref, entry> entries_;
	std::optional<instant> last_report_;
};
} // namespace gingerdyke::rollout
