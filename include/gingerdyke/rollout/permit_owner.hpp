// SPDX-License-Identifier: MIT
// The soft owner of a version's trial in one failure domain: grants permits, weighs evidence, suspends.
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
/// \brief Tuning of trials; defaults justified in docs/MEASUREMENTS.md.
struct owner_tuning
{
	/// Life of a permit; a new owner grants nothing until the permits of the old one have expired.
	duration permit_lifetime = std::chrono::seconds{5};

	/// Chance of suspending a version that is no worse than tolerated, over its whole trial.
	double false_alarm = 0.001;

	/// Score at which a version that was stable is taken to have turned bad; higher than for a trial, since
	/// it is looked at for months.
	double log_change_alarm = 14.0;

	/// Good answers after which twice the permits may be out; and so on.
	std::uint64_t ramp_answers = 50;

	/// Most permits out at once, as a multiple of the table's batch.
	unsigned highest_ramp = 64;

	/// Pause between exchanges with the owners of other failure domains.
	duration exchange_interval = std::chrono::seconds{1};
};

/// \brief Effects, and the versions found bad by this step.
struct owner_step
{
	effects out;
	std::vector<peer::suspension> suspended;
};

/// \brief State of all trials that this VM owns. All of it can be lost: the counts come again with the next
/// reports, since they only grow.
class permit_owner
{
  public:
	explicit permit_owner(const membership::membership_view& live, owner_tuning tuning = {});

	[[nodiscard]] owner_step on_request(
		const vm_id& from, const peer::permit_request& request, const table::table& table, instant now);
	[[nodiscard]] owner_step on_sum(const peer::evidence_sum& sum, const table::table& table, instant now);
	[[nodiscard]] owner_step on_tick(const table::table& table, instant now);

	/// \brief Sums over all failure domains that are known here; for `status`.
	[[nodiscard]] std::map<version_ref, peer::evidence> sums() const;

  private:
	struct trial
	{
		revision row_revision;
		instant owned_since;
		std::map<vm_id, peer::evidence> by_vm;
		std::map<failure_domain_id, peer::evidence> other_domains;
		std::uint64_t granted{};
		std::uint64_t answers_at_start{};
		std::optional<instant> last_grant;
		change_detector changes;
		bool suspended{};

		explicit trial(double tolerated) : changes(tolerated) {}
	};

	[[nodiscard]] trial* trial_of(
		const version_ref& ref, revision row, const table::table& table, instant now);
	[[nodiscard]] std::uint32_t grant(trial& trial, std::uint32_t wanted, unsigned batch, instant now) const;
	void judge(trial& trial, const table::version_row& version, owner_step& step) const;
	[[nodiscard]] static peer::evidence domain_sum(const trial& trial);
	[[nodiscard]] static peer::evidence whole_sum(const trial& trial);

	const membership::membership_view& live_;
	owner_tuning tuning_;
	std::map<version_ref, trial> trials_;
	std::optional<instant> last_exchange_;
};
} // namespace gingerdyke::rollout
