// SPDX-License-Identifier: MIT
// This VM's part in a trial: it sends requests to the new version only with a permit, and reports their
// outcomes.
#pragma once

#include <chrono>
#include <gingerdyke/base/effect.hpp>
#include <gingerdyke/membership/membership_view.hpp>
#include <gingerdyke/table/table.hpp>
#include <map>

namespace gingerdyke::rollout
{
/// \brief Key of the role whose owner, per version and failure domain, grants permits and evaluates evidence.
[[nodiscard]] std::string permit_key(const version_ref& version);

/// \brief Tuning of reports to the permit owner.
struct trial_gate_tuning
{
	duration report_interval = std::chrono::seconds{1};

	/// Maximum number of permits requested by one report.
	std::uint32_t max_permits_per_report = 4;
};

/// \brief Permits held and evidence gathered by this VM, for every version that it uses.
class trial_gate
{
  public:
	explicit trial_gate(const membership::membership_view& live, trial_gate_tuning tuning = {});

	/// \brief Takes a permit for one request to a version on trial; without a permit, adds one to the number
	/// requested by the next report.
	[[nodiscard]] bool take_permit(const table::version_row& version, instant now);

	/// \brief Returns a permit whose request was not executed.
	void return_permit(const version_ref& version);

	/// \brief Records the outcome of a response.
	void record_response(const table::version_row& version, bool failed);

	void on_grant(const peer::permit_grant& grant, instant now);

	/// \brief Reports changes since the last report to the permit owners.
	[[nodiscard]] effects on_tick(const table::table& table, instant now);

	/// \brief Evidence about a version gathered by this VM.
	[[nodiscard]] peer::evidence seen(const version_ref& version) const;

  private:
	struct entry
	{
		peer::evidence seen;
		bool changed{};
		std::uint32_t requested_permits{};
		std::uint32_t permits{};
		instant permits_until;
	};

	[[nodiscard]] entry& entry_of(const table::version_row& version);

	const membership::membership_view& live_;
	trial_gate_tuning tuning_;
	std::map<version_ref, entry> entries_;
	std::optional<instant> last_report_;
};
} // namespace gingerdyke::rollout
