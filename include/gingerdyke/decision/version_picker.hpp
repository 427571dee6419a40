// SPDX-License-Identifier: MIT
// Which version may answer, and which one of those does.
#pragma once

#include <gingerdyke/base/random.hpp>
#include <gingerdyke/rollout/suspensions.hpp>
#include <gingerdyke/rollout/trial_gate.hpp>
#include <gingerdyke/table/table.hpp>
#include <optional>
#include <string>
#include <vector>

namespace gingerdyke::decision
{
/// \brief Whether new work may go to a version.
enum class version_use
{
	open,
	unknown_version,
	not_allowed,
	withdrawn,
	suspended,
	draining,
	stale_table,
	no_permit,
};

/// \brief The word for a use.
[[nodiscard]] const char* name_of(version_use use) noexcept;

/// \brief What the choice of a version depends on.
struct version_question
{
	const table::workspace_row& workspace;

	/// The work belongs to a session that is open already.
	bool in_session{};

	/// How long ago the table was confirmed; none: never.
	std::optional<duration> confirmed_age;
};

/// \brief The version picked for a request, or why there is none.
struct picked_version
{
	std::optional<version_ref> version;

	/// A permit was taken, to be given back if the request does not run.
	bool on_permit{};

	/// Why not, where there is none.
	version_use why{version_use::unknown_version};
};

/// \brief Picks versions under the table's rules.
class version_picker
{
  public:
	version_picker(const rollout::suspensions& suspended, rollout::trial_gate& gate, random_source random);

	/// \brief Whether a version may be used, leaving permits aside. Asked at each dispatch.
	[[nodiscard]] version_use use_of(
		const table::table& table, const version_ref& ref, const version_question& question) const;

	/// \brief Picks the version for a session that holds one, or for a caller that names one.
	[[nodiscard]] picked_version pick_named(
		const table::table& table, const version_ref& ref, const version_question& question, instant now);

	/// \brief Picks among the versions of a model.
	[[nodiscard]] picked_version pick_of_model(
		const table::table& table, const model_id& model, const version_question& question, instant now);

  private:
	const rollout::suspensions& suspended_;
	rollout::trial_gate& gate_;
	random_source random_;
};
} // namespace gingerdyke::decision
