// SPDX-License-Identifier: MIT
// JSON encoding of the rows in the router's own tables.
#include <algorithm>
#include <gingerdyke/control/coordinator.hpp>
#include <gingerdyke/control/row_json.hpp>

namespace gingerdyke::control
{
namespace
{
json counts_to_json(const rollout::response_counts& counts)
{
	return {{"answers", counts.responses}, {"failed", counts.failed}};
}

rollout::response_counts counts_from_json(const json& value)
{
	return {value.at("answers").get<std::uint64_t>(), value.at("failed").get<std::uint64_t>()};
}

json cells_to_json(const rollout::by_cell<rollout::response_counts>& seen)
{
	json cells = json::array();
	for (const auto& [cell, counts] : seen)
	{
		cells.push_back({cell, counts.responses, counts.failed});
	}
	return cells;
}

rollout::by_cell<rollout::response_counts> cells_from_json(const json& value)
{
	rollout::by_cell<rollout::response_counts> seen;
	for (const auto& element : value)
	{
		seen[element.at(0).get<rollout::cell_index>()] +=
			{element.at(1).get<std::uint64_t>(), element.at(2).get<std::uint64_t>()};
	}
	return seen;
}

json route_to_json(const rollout::route_evidence& seen)
{
	return {{"before", counts_to_json(seen.pre_trial)}, {"old", cells_to_json(seen.old_version)},
		{"new", cells_to_json(seen.new_version)}};
}

rollout::route_evidence route_from_json(const json& value)
{
	return {counts_from_json(value.at("before")), cells_from_json(value.at("old")),
		cells_from_json(value.at("new"))};
}

rollout::latency_histogram times_from_json(const json& value)
{
	rollout::latency_histogram times;
	for (std::size_t level = 0; level < value.size(); ++level)
	{
		times.set_count(level, value[level].get<std::uint32_t>());
	}
	return times;
}

json time_cells_to_json(const rollout::by_cell<rollout::latency_histogram>& seen)
{
	json cells = json::array();
	for (const auto& [cell, times] : seen)
	{
		cells.push_back({cell, times.counts()});
	}
	return cells;
}

rollout::by_cell<rollout::latency_histogram> time_cells_from_json(const json& value)
{
	rollout::by_cell<rollout::latency_histogram> seen;
	for (const auto& element : value)
	{
		seen[element.at(0).get<rollout::cell_index>()] += times_from_json(element.at(1));
	}
	return seen;
}

json models_to_json(const rollout::latencies_by_model& times)
{
	json models = json::array();
	for (const auto& [model, seen] : times)
	{
		models.push_back({{"model", model}, {"usual", seen.baseline.counts()},
			{"before", seen.pre_trial.counts()}, {"old", time_cells_to_json(seen.old_version)},
			{"new", time_cells_to_json(seen.new_version)}});
	}
	return models;
}

rollout::latencies_by_model models_from_json(const json& value)
{
	rollout::latencies_by_model times;
	for (const auto& element : value)
	{
		times[element.at("model").get<std::string>()] = {times_from_json(element.at("usual")),
			times_from_json(element.at("before")), time_cells_from_json(element.at("old")),
			time_cells_from_json(element.at("new"))};
	}
	return times;
}
} // namespace

std::string write_plan(const rollout::shift_plan& plan)
{
	json value{{"service", plan.service.str()}, {"from", plan.from_version}, {"to", plan.to_version},
		{"started_us", plan.started.count()}, {"length_us", plan.length.count()},
		{"state", rollout::name_of(plan.state)}, {"order", plan.order.value()}};
	if (plan.promoted)
	{
		value["promoted_us"] = plan.promoted->count();
	}
	return value.dump();
}

checked<rollout::shift_plan> read_plan(const row& from)
{
	return parse_row_value<rollout::shift_plan>(from,
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
			if (value.contains("promoted_us"))
			{
				plan.promoted = registry_time{value.at("promoted_us").get<std::int64_t>()};
			}
			const auto state = rollout::parse_shift_state(value.at("state").get<std::string>());
			if (!state)
			{
				return row_error(from, "unknown shift state");
			}
			plan.state = *state;
			return plan;
		});
}

std::string write_vm(const peer& vm)
{
	json value{{"vm", vm.vm.str()}, {"domain", vm.domain.str()}, {"address", vm.address.str()},
		{"link_mbps", vm.link_mbps}};
	if (vm.forwarding_address)
	{
		value["forwarding"] = vm.forwarding_address->str();
	}
	return value.dump();
}

checked<peer> read_vm(const row& from)
{
	return parse_row_value<peer>(from,
		[&](const json& value) -> checked<peer>
		{
			const auto at = routing::address::parse(value.at("address").get<std::string>());
			if (!at)
			{
				return row_error(from, "address is not IP:PORT");
			}
			peer read{vm_id{value.at("vm").get<std::string>()},
				failure_domain_id{value.at("domain").get<std::string>()}, *at,
				value.at("link_mbps").get<unsigned>()};
			if (value.contains("forwarding"))
			{
				const auto forwarding = routing::address::parse(value.at("forwarding").get<std::string>());
				if (!forwarding)
				{
					return row_error(from, "forwarding address is not IP:PORT");
				}
				read.forwarding_address = *forwarding;
			}
			return read;
		});
}

std::string write_evidence(const rollout::shift_evidence& evidence)
{
	json routes = json::array();
	for (const auto& [route, seen] : evidence.seen.by_route)
	{
		auto written = route_to_json(seen);
		written["route"] = route;
		routes.push_back(std::move(written));
	}
	return json{{"service", evidence.service.str()}, {"order", evidence.order.value()}, {"routes", routes},
		{"models", models_to_json(evidence.seen.first_byte_by_model)},
		{"paces", models_to_json(evidence.seen.event_intervals_by_model)},
		{"late", route_to_json(evidence.seen.peak_load_phase)}}
		.dump();
}

checked<rollout::shift_evidence> read_evidence(const row& from)
{
	return parse_row_value<rollout::shift_evidence>(from,
		[](const json& value) -> checked<rollout::shift_evidence>
		{
			rollout::shift_evidence evidence;
			evidence.service = service_id{value.at("service").get<std::string>()};
			evidence.order = row_version{value.at("order").get<std::int64_t>()};
			for (const auto& route : value.at("routes"))
			{
				evidence.seen.by_route[route.at("route").get<std::string>()] = route_from_json(route);
			}
			evidence.seen.peak_load_phase = route_from_json(value.at("late"));
			evidence.seen.first_byte_by_model = models_from_json(value.at("models"));
			evidence.seen.event_intervals_by_model = models_from_json(value.at("paces"));
			return evidence;
		});
}
} // namespace gingerdyke::control
