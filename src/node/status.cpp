// SPDX-License-Identifier: MIT
// What operators see of a node.
#include <gingerdyke/node/status.hpp>

namespace gingerdyke::node
{
namespace
{
constexpr double microseconds_per_millisecond = 1000;

json milliseconds(duration span)
{
	return static_cast<double>(span.count()) / microseconds_per_millisecond;
}

/// For each failure domain: how many of its VMs were last heard to have this VM's revision.
json force_by_domain(const core& core)
{
	const auto& copy = core.table_copy();
	auto result = json::object();
	for (const auto& domain : core.members().domains())
	{
		unsigned heard = 0;
		unsigned in_force = 0;
		const auto vms = core.members().entries_of(domain);
		for (const auto& vm : vms)
		{
			const bool self = vm == core.self().self.vm;
			const auto known = copy.heard_revisions().find(vm);
			heard += self || known != copy.heard_revisions().end() ? 1 : 0;
			in_force += self || (known != copy.heard_revisions().end() && known->second >= copy.at()) ? 1 : 0;
		}
		result[domain.str()] = {{"vms", vms.size()}, {"heard", heard}, {"in_force", in_force},
			{"pending", vms.size() - in_force}};
	}
	return result;
}

json suspensions_of(const core& core)
{
	auto result = json::array();
	for (const auto& one : core.suspensions().list())
	{
		result.push_back({{"version", one.version.str()}, {"row_revision", one.row_revision.value()}});
	}
	return result;
}

json trials_of(const core& core)
{
	auto result = json::object();
	for (const auto& [version, sum] : core.trials().evidence_by_version())
	{
		result[version.str()] = {{"answers", sum.answers}, {"failures", sum.failures}};
	}
	return result;
}

json findings_of(const findings& list)
{
	auto result = json::array();
	for (const auto& one : list)
	{
		result.push_back(one.str());
	}
	return result;
}

json trace_of(const decision_trace& one)
{
	auto weighed = json::array();
	for (const auto& replica : one.weighed)
	{
		weighed.push_back({{"replica", replica.id.str()}, {"standing", decision::name_of(replica.why)},
			{"load", replica.load}});
	}
	return {{"attempt", one.attempt}, {"version", one.version.str()},
		{"version_standing", one.version_reason}, {"replica", one.chosen.str()},
		{"by_prefix_affinity", one.by_affinity}, {"candidates", weighed}};
}
} // namespace

json status_of(const core& core, instant now)
{
	const auto& copy = core.table_copy();
	const auto age = copy.confirmed_age(now);
	return {{"vm", core.self().self.vm.str()}, {"incarnation", core.self().incarnation},
		{"failure_domain", core.self().self.failure_domain.str()}, {"stopping", core.stopping()},
		{"table",
			{{"revision", copy.at().value()}, {"usable", copy.current() != nullptr},
				{"confirmed_age_ms", age ? milliseconds(*age) : json(nullptr)},
				{"rejected", findings_of(copy.rejected())}, {"failure_domains", force_by_domain(core)}}},
		{"member_list_revision", core.members().list_revision()},
		{"requests", {{"open", core.requests().open()}}},
		{"bills", {{"unconfirmed", core.bills().unconfirmed()}, {"at_risk", core.bills().at_risk()},
					  {"held_for_others", core.journal().held()}}},
		{"claims", {{"unsettled", core.claims().unsettled()}}}, {"suspended", suspensions_of(core)},
		{"evidence", trials_of(core)}};
}

json rows_of(const core& core)
{
	auto rows = json::object();
	for (const auto& [id, row] : core.table_copy().rows())
	{
		if (!row.removed)
		{
			rows[id.str()] = {{"revision", row.at.value()}, {"value", table::redacted(id, row.value)}};
		}
	}
	return {{"revision", core.table_copy().at().value()}, {"rows", rows}};
}

json explanation_of(const core& core, const request_id& id)
{
	const auto* trace = core.requests().explain(id);
	if (trace == nullptr)
	{
		return nullptr;
	}
	auto decisions = json::array();
	for (const auto& one : trace->decisions)
	{
		decisions.push_back(trace_of(one));
	}
	const auto& facts = trace->facts;
	return {{"request", trace->id.str()}, {"workspace", facts.workspace.str()},
		{"class", facts.request_class.str()}, {"version", facts.version.str()},
		{"outcome", name_of(facts.ran)}, {"reason", facts.reason}, {"decisions", decisions}};
}
} // namespace gingerdyke::node
