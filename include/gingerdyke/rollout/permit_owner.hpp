// SPDX-License-Identifier: MIT
// Owner of a version's trial in one failure domain: grants permits, evaluates evidence, suspends the version.
// Its state is soft: it can be rebuilt after a loss.
#pragma once

#include <chrono>
#include <gingerdyke/base/effect.hpp>
#include <gingerdyke/membership/membership_view.hpp>
#include <gingerdyke/rollout/sequential_test.hpp>
#include <gingerdyke/table/table.hpp>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace gingerdyke::rollout
{
/// \brief Tuning of trials; docs/MEASUREMENTS.md gives the reasons for the defaults.
struct permit_owner_tuning
{
	/// Lifetime of a permit. A new owner grants none until the permits of the previous owner have expired.
	duration permit_lifetime = std::chrono::seconds{5};

	/// Probability of suspending a version that is no worse than tolerated, over its whole trial.
	double false_positive_probability = 0.001;

	/// Logarithmic score at which a stable version is taken to have become bad; higher than for a trial,
	/// since the version is monitored for months.
	double change_alarm_log_score = 14.0;

	/// Number of successful responses after which the limit of outstanding permits rises by one batch.
	std::uint64_t responses_per_ramp_step = 50;

	/// Maximum number of outstanding permits, as a multiple of the table's permit batch.
	unsigned max_ramp_factor = 64;

	/// Interval between exchanges with the owners in other failure domains.
	duration exchange_interval = std::chrono::seconds{1};
};

/// \brief Effects of a step, and the versions that it suspended.
struct permit_owner_step
{
	effects out;
	std::vector<peer::suspension> suspended;
};

/// \brief State of all trials that this VM owns. It may be lost at any time: the counts are cumulative, so
/// the next reports restore them.
class permit_owner
{
  public:
	explicit permit_owner(const membership::membership_view& live, permit_owner_tuning tuning = {});

	[[nodiscard]] permit_owner_step on_request(
		const vm_id& from, const peer::permit_request& request, const table::table& table, instant now);
	[[nodiscard]] permit_owner_step on_evidence_sum(
		const peer::evidence_sum& sum, const table::table& table, instant now);
	[[nodiscard]] permit_owner_step on_tick(const table::table& table, instant now);

	/// \brief Evidence summed over the failure domains known here; for the `status` command.
	[[nodiscard]] std::map<version_ref, peer::evidence> evidence_by_version() const;

  private:
	struct trial
	{
		revision row_revision;
		instant owned_since;
		std::map<vm_id, peer::evidence> by_vm;
		std::map<failure_domain_id, peer::evidence> other_domains;
		std::uint64_t granted{};
		std::uint64_t responses_at_start{};
		std::optional<instant> last_grant;
		change_detector changes;
		bool suspended{};

		explicit trial(double tolerated) : changes(tolerated) {}
	};

	[[nodiscard]] trial* find_or_create_trial(
		const version_ref& ref, revision expected_revision, const table::table& table, instant now);
	[[nodiscard]] std::uint32_t grant(
		trial& trial, std::uint32_t requested_permits, unsigned batch, instant now) const;
	void suspend_if_bad(trial& trial, const table::version_row& version, permit_owner_step& step) const;
	[[nodiscard]] static peer::evidence domain_evidence(const trial& trial);
	[[nodiscard]] static peer::evidence total_evidence(const trial& trial);

	const membership::membership_view& live_;
	permit_owner_tuning tuning_;
	std::map<version_ref, trial> trials_;
	std::optional<instant> last_exchange_;
};
} // namespace gingerdyke::rollout
