// SPDX-License-Identifier: MIT
// From stored rows to the typed table: first each row against its schema, then the rows against each other.
#include "schema.hpp"
#include <algorithm>
#include <array>
#include <chrono>
#include <gingerdyke/table/table.hpp>

namespace gingerdyke::table
{
namespace
{
constexpr std::array state_names{"trial", "stable", "draining", "withdrawn"};
constexpr double default_trial_share = 0.05;
constexpr double default_tolerated_failures = 0.02;
constexpr double default_quality_prior = 0.5;
constexpr unsigned default_slots = 32;
constexpr std::int64_t default_trial_freshness_ms = 30'000;
constexpr unsigned default_permit_batch = 4;

duration milliseconds_of(const json& row, const char* column, std::int64_t otherwise)
{
	return std::chrono::milliseconds{row.value(column, otherwise)};
}

std::vector<version_ref> versions_in(const json& list)
{
	std::vector<version_ref> result;
	for (const auto& text : list)
	{
		result.push_back(version_ref::parse(text.get<std::string>()));
	}
	return result;
}
} // namespace

/// \brief Builds a table from rows and collects findings on the way.
class compiler
{
  public:
	compiler(const json_source& source, const row_set& rows, revision at, revision trusted)
		: source_(source), rows_(rows), trusted_(trusted)
	{
		table_.at_ = at;
	}

	[[nodiscard]] checked<table> run()
	{
		for (const auto& [id, row] : rows_)
		{
			if (!row.removed)
			{
				read_row(id, row);
			}
		}
		check_meaning();
		if (!findings_.empty())
		{
			return tl::make_unexpected(std::move(findings_));
		}
		index_replicas();
		return std::move(table_);
	}

  private:
	static std::string pointer_of(const row_id& id) { return "/rows/" + escape_pointer_token(id.str()); }

	void find(const std::string& pointer, std::string message)
	{
		findings_.push_back({source_.location_of(pointer), std::move(message)});
	}

	void read_row(const row_id& id, const stored_row& row)
	{
		const auto slash = id.str().find('/');
		const auto kind = id.str().substr(0, slash);
		const auto schema = impl::row_schemas().find(kind);
		if (slash == std::string::npos || slash + 1 == id.str().size() || schema == impl::row_schemas().end())
		{
			find(pointer_of(id),
				"a row's id is KIND/NAME with a known kind (workspace, operator, class, version, "
				"replica, service, cascade, settings)");
			return;
		}
		const auto before = findings_.size();
		if (row.at > trusted_)
		{
			schema->second.check(source_, pointer_of(id), findings_);
		}
		if (findings_.size() == before)
		{
			add(kind, id.str().substr(slash + 1), row);
		}
	}

	void add(const std::string& kind, const std::string& name, const stored_row& row)
	{
		using adder = void (compiler::*)(const std::string&, const stored_row&);
		static const std::map<std::string, adder, std::less<>> adders{
			{"workspace", &compiler::add_workspace},
			{"operator", &compiler::add_operator},
			{"class", &compiler::add_class},
			{"version", &compiler::add_version},
			{"replica", &compiler::add_replica},
			{"service", &compiler::add_service},
			{"cascade", &compiler::add_cascade},
			{"settings", &compiler::add_settings},
		};
		(this->*adders.at(kind))(name, row);
	}

	void add_workspace(const std::string& name, const stored_row& stored)
	{
		const auto& row = stored.value;
		workspace_row result;
		result.id = workspace_id{name};
		result.key_digests = row.at("keys_sha256").get<std::vector<std::string>>();
		result.allowed = versions_in(row.at("allowed"));
		for (const auto& service : row.value("services", json::array()))
		{
			result.services.emplace_back(service.get<std::string>());
		}
		result.default_class = class_id{row.at("default_class").get<std::string>()};
		result.requests_per_second = row.value("requests_per_second", 0.0);
		result.quality_target = row.value("quality_target", 0.0);
		for (const auto& digest : result.key_digests)
		{
			claim_key(digest, "workspace/" + name);
			table_.workspace_keys_[digest] = result.id;
		}
		table_.workspaces_.emplace(result.id, std::move(result));
	}

	void add_operator(const std::string& name, const stored_row& stored)
	{
		operator_row result;
		result.id = operator_id{name};
		result.key_digests = stored.value.at("keys_sha256").get<std::vector<std::string>>();
		for (const auto& digest : result.key_digests)
		{
			claim_key(digest, "operator/" + name);
			table_.operator_keys_[digest] = result.id;
		}
		table_.operators_.emplace(result.id, std::move(result));
	}

	/// A key names one row only: else it would be unclear who pays.
	void claim_key(const std::string& digest, const std::string& owner)
	{
		const auto [known, added] = key_owners_.emplace(digest, owner);
		if (!added)
		{
			find(pointer_of(row_id{owner}) + "/keys_sha256",
				"the key is that of " + known->second + " already");
		}
	}

	void add_class(const std::string& name, const stored_row& stored)
	{
		const auto& row = stored.value;
		const class_id id{name};
		table_.classes_.emplace(
			id, class_row{id, row.at("rank").get<int>(), milliseconds_of(row, "queue_limit_ms", 0)});
	}

	void add_version(const std::string& name, const stored_row& stored)
	{
		const auto& row = stored.value;
		version_row result;
		result.ref = version_ref::parse(name);
		if (result.ref.version.empty() || result.ref.model.empty() || result.ref.version == "*")
		{
			find(pointer_of(row_id{"version/" + name}), "a version row's id is version/MODEL@VERSION");
			return;
		}
		const auto state = row.at("state").get<std::string>();
		const auto known = std::find(state_names.begin(), state_names.end(), state);
		result.state = static_cast<version_state>(known - state_names.begin());
		result.trial_share = row.value("trial_share", default_trial_share);
		result.cost_per_thousand = micro_cost{row.at("micro_cost_per_1k_tokens").get<std::int64_t>()};
		result.weight = row.value("weight", 1.0);
		result.tolerated_failures = row.value("tolerated_failures", default_tolerated_failures);
		result.quality_prior = row.value("quality_prior", default_quality_prior);
		result.at = stored.at;
		table_.versions_.emplace(result.ref, std::move(result));
	}

	void add_replica(const std::string& name, const stored_row& stored)
	{
		const auto& row = stored.value;
		replica_row result;
		result.id = replica_id{name};
		result.failure_domain = failure_domain_id{row.at("failure_domain").get<std::string>()};
		result.address = row.at("address").get<std::string>();
		result.versions = versions_in(row.at("versions"));
		result.slots = row.value("slots", default_slots);
		result.checks_fences = row.value("checks_fences", false);
		table_.replicas_.emplace(result.id, std::move(result));
	}

	void add_service(const std::string& name, const stored_row& stored)
	{
		const auto& row = stored.value;
		service_row result;
		result.id = service_id{name};
		for (const auto& one : row.at("endpoints"))
		{
			result.endpoints.push_back({failure_domain_id{one.at("failure_domain").get<std::string>()},
				one.at("address").get<std::string>(), vm_id{one.value("vm", "")}});
		}
		for (const auto& one : row.value("not_repeatable", json::array()))
		{
			result.not_repeatable.push_back(
				{one.at("method").get<std::string>(), one.at("path_prefix").get<std::string>()});
		}
		result.cost_per_call = micro_cost{row.value("micro_cost_per_call", std::int64_t{0})};
		table_.services_.emplace(result.id, std::move(result));
	}

	void add_cascade(const std::string& name, const stored_row& stored)
	{
		cascade_row result;
		result.id = cascade_id{name};
		for (const auto& step : stored.value.at("steps"))
		{
			result.steps.emplace_back(step.get<std::string>());
		}
		table_.cascades_.emplace(result.id, std::move(result));
	}

	void add_settings(const std::string& name, const stored_row& stored)
	{
		if (name != "global")
		{
			find(pointer_of(row_id{"settings/" + name}), "the only settings row is settings/global");
			return;
		}
		const auto& row = stored.value;
		table_.settings_.session_key = row.at("session_key").get<std::string>();
		table_.settings_.trial_freshness =
			milliseconds_of(row, "trial_freshness_ms", default_trial_freshness_ms);
		table_.settings_.permit_batch = row.value("permit_batch", default_permit_batch);
	}

	void check_meaning()
	{
		if (table_.settings_.session_key.empty() && findings_.empty())
		{
			find("/rows", "the row settings/global with a session_key is missing");
		}
		for (const auto& [id, workspace] : table_.workspaces_)
		{
			check_workspace(workspace);
		}
		for (const auto& [id, replica] : table_.replicas_)
		{
			check_replica(replica);
		}
		for (const auto& [id, cascade] : table_.cascades_)
		{
			check_cascade(cascade);
		}
	}

	void check_workspace(const workspace_row& workspace)
	{
		const auto pointer = pointer_of(row_id{"workspace/" + workspace.id.str()});
		for (std::size_t i = 0; i < workspace.allowed.size(); ++i)
		{
			const auto& ref = workspace.allowed[i];
			const bool known = ref.version == "*" ? has_model(ref.model) : table_.versions_.contains(ref);
			if (!known)
			{
				find(pointer + "/allowed/" + std::to_string(i), "no version row for " + ref.str());
			}
		}
		for (std::size_t i = 0; i < workspace.services.size(); ++i)
		{
			if (!table_.services_.contains(workspace.services[i]))
			{
				find(pointer + "/services/" + std::to_string(i),
					"no row service/" + workspace.services[i].str());
			}
		}
		if (!table_.classes_.contains(workspace.default_class))
		{
			find(pointer + "/default_class", "no row class/" + workspace.default_class.str());
		}
	}

	void check_replica(const replica_row& replica)
	{
		for (std::size_t i = 0; i < replica.versions.size(); ++i)
		{
			if (!table_.versions_.contains(replica.versions[i]))
			{
				find(pointer_of(row_id{"replica/" + replica.id.str()}) + "/versions/" + std::to_string(i),
					"no row version/" + replica.versions[i].str());
			}
		}
	}

	void check_cascade(const cascade_row& cascade)
	{
		const auto pointer = pointer_of(row_id{"cascade/" + cascade.id.str()});
		if (has_model(model_id{cascade.id.str()}))
		{
			find(pointer, "a model has the same name: callers could not tell them apart");
		}
		for (std::size_t i = 0; i < cascade.steps.size(); ++i)
		{
			if (!has_model(cascade.steps[i]))
			{
				find(pointer + "/steps/" + std::to_string(i),
					"no version row of model " + cascade.steps[i].str());
			}
		}
	}

	[[nodiscard]] bool has_model(const model_id& model) const
	{
		const auto first = table_.versions_.lower_bound(version_ref{model, ""});
		return first != table_.versions_.end() && first->first.model == model;
	}

	void index_replicas()
	{
		for (const auto& [id, replica] : table_.replicas_)
		{
			for (const auto& ref : replica.versions)
			{
				table_.replicas_by_version_[ref].push_back(&replica);
			}
		}
		for (const auto& [id, service] : table_.services_)
		{
			for (const auto& endpoint : service.endpoints)
			{
				index_endpoint(id, endpoint);
			}
		}
	}

	void index_endpoint(const service_id& service, const service_endpoint& endpoint)
	{
		replica_row row;
		row.id = replica_id{endpoint.vm.empty() ? service.str() + "/" + endpoint.address : endpoint.vm.str()};
		row.failure_domain = endpoint.failure_domain;
		row.address = endpoint.address;
		row.slots = default_slots;
		const auto added = table_.endpoints_.emplace(row.id, row).first;
		table_.endpoints_by_service_[service].push_back(&added->second);
	}

	const json_source& source_;
	const row_set& rows_;
	revision trusted_;
	table table_;
	findings findings_;
	std::map<std::string, std::string, std::less<>> key_owners_;
};

checked<table> table::compile(const row_set& rows, revision at, revision trusted)
{
	auto unchecked = json::object();
	for (const auto& [id, row] : rows)
	{
		if (!row.removed && row.at > trusted)
		{
			unchecked[id.str()] = row.value;
		}
	}
	const auto source = json_source::from_value("table", {{"rows", std::move(unchecked)}});
	return compiler{source, rows, at, trusted}.run();
}

checked<table> table::compile(const json_source& declarations, revision at)
{
	const auto& value = declarations.value();
	if (!value.is_object() || !value.contains("rows") || !value.at("rows").is_object())
	{
		return tl::make_unexpected(findings{
			{declarations.location_of(""), "expected an object with \"rows\": {\"KIND/NAME\": {...}}"}});
	}
	findings extra;
	for (const auto& [key, unused] : value.items())
	{
		if (key != "rows" && key != "note")
		{
			extra.push_back({declarations.location_of("/" + escape_pointer_token(key)), "unknown key"});
		}
	}
	const auto rows = rows_of(declarations);
	auto compiled = compiler{declarations, rows, at, revision{-1}}.run();
	if (extra.empty())
	{
		return compiled;
	}
	if (!compiled)
	{
		extra.insert(extra.end(), compiled.error().begin(), compiled.error().end());
	}
	return tl::make_unexpected(std::move(extra));
}

row_set rows_of(const json_source& declarations)
{
	row_set rows;
	for (const auto& [id, value] : declarations.value().at("rows").items())
	{
		rows.emplace(row_id{id}, stored_row{value, revision{}, false});
	}
	return rows;
}
} // namespace gingerdyke::table
