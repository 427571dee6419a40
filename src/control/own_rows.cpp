// SPDX-License-Identifier: MIT
// Rows of our own table, as JSON.
#include <gingerdyke/control/coordinator.hpp>
#include <gingerdyke/control/row_json.hpp>

namespace gingerdyke::control
{
std::string write_plan(const rollout::shift_plan& plan)
{
	return json{{"service", plan.service.str()}, {"from", plan.from_version}, {"to", plan.to_version},
		{"started_us", plan.started.count()}, {"length_us", plan.length.count()},
		{"state", rollout::name_of(plan.state)}, {"order", plan.order.value()}}
		.dump();
}

checked<rollout::shift_plan> read_plan(const row& from)
{
	return read_json<rollout::shift_plan>(from,
		[&](const json& value) -> checked<rollout::shift_plan>
		{
			rollout::shift_plan plan;
			plan.service = service_id{value.at("service").get<std::string>()};
			plan.from_version = value.at("from").get<std::string>();
			plan.to_version = value.at("to").get<std::string>();
			plan.started = registry_time{value.at("started_us").get<std::int64_t>()};
			plan.length = duration{value.at("length_us").get<std::int64_t>()};
			plan.order = row_version{value.at("order").get<std::int64_t>()};
			plan.row = from.version;
			const auto state = rollout::parse_shift_state(value.at("state").get<std::string>());
			if (!state)
			{
				return unreadable(from, "no known state");
			}
			plan.state = *state;
			return plan;
		});
}

std::string write_vm(const peer& vm)
{
	return json{{"vm", vm.vm.str()}, {"domain", vm.domain.str()}, {"address", vm.at.str()},
		{"link_mbps", vm.link_mbps}}
		.dump();
}

checked<peer> read_vm(const row& from)
{
	return read_json<peer>(from,
		[&](const json& value) -> checked<peer>
		{
			const auto at = routing::address::parse(value.at("address").get<std::string>());
			if (!at)
			{
				return unreadable(from, "address is not IP:PORT");
			}
			return peer{vm_id{value.at("vm").get<std::string>()},
				failure_domain_id{value.at("domain").get<std::string>()}, *at,
				value.at("link_mbps").get<unsigned>()};
		});
}

std::string write_evidence(const rollout::shift_evidence& evidence)
{
	json groups = json::array();
	for (const auto& [group, counts] : evidence.by_group)
	{
		groups.push_back({{"group", group}, {"answers", counts.answers}, {"failed", counts.failed},
			{"slow", counts.slow}});
	}
	return json{{"service", evidence.service.str()}, {"order", evidence.order.value()}, {"groups", groups}}
		.dump();
}

checked<rollout::shift_evidence> read_evidence(const row& from)
{
	return read_json<rollout::shift_evidence>(from,
		[](const json& value) -> checked<rollout::shift_evidence>
		{
			rollout::shift_evidence evidence;
			evidence.service = service_id{value.at("service").get<std::string>()};
			evidence.order = row_version{value.at("order").get<std::int64_t>()};
			for (const auto& one : value.at("groups"))
			{
				evidence.by_group[one.at("group").get<std::string>()] = {
					one.at("answers").get<std::uint64_t>(), one.at("failed").get<std::uint64_t>(),
					one.at("slow").get<std::uint64_t>()};
			}
			return evidence;
		});
}
} // namespace gingerdyke::control
