// SPDX-License-Identifier: MIT
// Which version may answer, and which one of those does.
#include <array>
#include <gingerdyke/decision/version_picker.hpp>

namespace gingerdyke::decision
{
const char* name_of(version_use use) noexcept
{
	constexpr std::array names{"open", "unknown-version", "not-allowed", "withdrawn", "suspended", "draining",
		"stale-table", "no-permit"};
	return names.at(static_cast<std::size_t>(use));
}

version_picker::version_picker(
	const rollout::suspensions& suspended, rollout::trial_gate& gate, random_source random)
	: suspended_(suspended), gate_(gate), random_(std::move(random))
{
}

version_use version_picker::use_of(
	const table::table& table, const version_ref& ref, const version_question& question) const
{
	const auto* version = table.version(ref);
	if (version == nullptr)
	{
		return version_use::unknown_version;
	}
	if (!table.allows(question.workspace, ref))
	{
		return version_use::not_allowed;
	}
	if (version->state == table::version_state::withdrawn)
	{
		return version_use::withdrawn;
	}
	if (suspended_.contains(*version))
	{
		return version_use::suspended;
	}
	if (version->state == table::version_state::draining && !question.in_session)
	{
		return version_use::draining;
	}
	const bool fresh = question.confirmed_age && *question.confirmed_age <= table.settings().trial_freshness;
	if (version->state == table::version_state::trial && !fresh)
	{
		return version_use::stale_table;
	}
	return version_use::open;
}

picked_version version_picker::pick_named(
	const table::table& table, const version_ref& ref, const version_question& question, instant now)
{
	const auto use = use_of(table, ref, question);
	if (use != version_use::open)
	{
		return {std::nullopt, false, use};
	}
	const auto& version = *table.version(ref);
	if (version.state != table::version_state::trial)
	{
		return {ref, false, use};
	}
	if (!gate_.take_permit(version, now))
	{
		return {std::nullopt, false, version_use::no_permit};
	}
	return {ref, true, use};
}

picked_version version_picker::pick_of_model(
	const table::table& table, const model_id& model, const version_question& question, instant now)
{
	picked_version result;
	std::vector<const table::version_row*> stable;
	std::vector<const table::version_row*> trial;
	double weights = 0;
	for (const auto* version : table.versions_of(model))
	{
		const auto use = use_of(table, version->ref, question);
		if (use != version_use::open)
		{
			result.why = use;
			continue;
		}
		const bool on_trial = version->state == table::version_state::trial;
		(on_trial ? trial : stable).push_back(version);
		weights += on_trial ? 0 : version->weight;
	}
	for (const auto* version : trial)
	{
		const bool chosen = stable.empty() || random_unit(random_) < version->trial_share;
		if (chosen && gate_.take_permit(*version, now))
		{
			return {version->ref, true, version_use::open};
		}
		result.why = version_use::no_permit;
	}
	auto point = random_unit(random_) * weights;
	for (const auto* version : stable)
	{
		point -= version->weight;
		if (point < 0 || version == stable.back())
		{
			return {version->ref, false, version_use::open};
		}
	}
	return result;
}
} // namespace gingerdyke::decision
