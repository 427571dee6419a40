// SPDX-License-Identifier: MIT
// Look-ups in the table.
#include <algorithm>
#include <gingerdyke/table/table.hpp>

namespace gingerdyke::table
{
namespace
{
template <typename Map, typename Key>
const typename Map::mapped_type* find_in(const Map& map, const Key& key)
{
	const auto found = map.find(key);
	return found == map.end() ? nullptr : &found->second;
}
} // namespace

const workspace_row* table::workspace_by_key(std::string_view key_digest) const
{
	const auto* id = find_in(workspace_keys_, key_digest);
	return id == nullptr ? nullptr : find_in(workspaces_, *id);
}

const operator_row* table::operator_by_key(std::string_view key_digest) const
{
	const auto* id = find_in(operator_keys_, key_digest);
	return id == nullptr ? nullptr : find_in(operators_, *id);
}

const workspace_row* table::workspace(const workspace_id& id) const
{
	return find_in(workspaces_, id);
}

const class_row* table::class_of(const class_id& id) const
{
	return find_in(classes_, id);
}

const version_row* table::version(const version_ref& ref) const
{
	return find_in(versions_, ref);
}

const service_row* table::service(const service_id& id) const
{
	return find_in(services_, id);
}

const cascade_row* table::cascade(const cascade_id& id) const
{
	return find_in(cascades_, id);
}

const replica_row* table::replica(const replica_id& id) const
{
	return find_in(replicas_, id);
}

std::vector<const version_row*> table::versions_of(const model_id& model) const
{
	std::vector<const version_row*> result;
	for (auto it = versions_.lower_bound({model, ""}); it != versions_.end() && it->first.model == model;
		 ++it)
	{
		result.push_back(&it->second);
	}
	return result;
}

const std::vector<const replica_row*>& table::replicas_of(const version_ref& ref) const
{
	static const std::vector<const replica_row*> none;
	const auto* found = find_in(replicas_by_version_, ref);
	return found == nullptr ? none : *found;
}

const std::vector<const replica_row*>& table::endpoints_of(const service_id& id) const
{
	static const std::vector<const replica_row*> none;
	const auto* found = find_in(endpoints_by_service_, id);
	return found == nullptr ? none : *found;
}

bool table::allows(const workspace_row& workspace, const version_ref& ref) const
{
	return std::any_of(workspace.allowed.begin(), workspace.allowed.end(),
		[&](const version_ref& pattern)
		{ return pattern.model == ref.model && (pattern.version == "*" || pattern.version == ref.version); });
}

json redacted(const row_id& id, json row)
{
	if (id.str() == "settings/global" && row.contains("session_key"))
	{
		row["session_key"] = kept_secret;
	}
	return row;
}
} // namespace gingerdyke::table
